"""At-most-once execution with claims in the log, under lost answers and router crashes."""

import random
import unittest

import chivetrack.components.pipeline.filters  # noqa: F401
from chivetrack.components.claims.coordinator import ClaimCoordinator
from chivetrack.components.controllers.host import ControllerHost
from chivetrack.components.limits.limiter import Limiter
from chivetrack.components.limits.shares import ShareTracker
from chivetrack.components.pipeline.admission import AdmissionControl
from chivetrack.components.pipeline.models import (
    AnswerEnded,
    AttemptAnswered,
    AttemptFailed,
    CallerGone,
    Refuse,
    RelayAnswer,
    ReplayAnswer,
    RequestArrived,
    StartAttempt,
)
from chivetrack.components.proposals.client import ProposalClient
from chivetrack.components.proposals.models import ForwardProposal, ProposalAnswer, Verdict
from chivetrack.components.store.store import Store
from chivetrack.components.upstream.models import AttemptOutcome
from chivetrack.core import Effect, Event, MessageReceived, SendMessage, TimeReached
from chivetrack.exceptions import Ran
from chivetrack.node import RouterNode
from tests.components.pipeline.fakes import FlowBench, make_request

SEEDS = 400
STEPS = 80


class FakeLog:
    """Store behind a network that refuses, loses and delays messages."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._index = 0
        self.store = Store()

    def handle_proposal(self, message: ForwardProposal) -> ProposalAnswer | None:
        draw = self._rng.random()
        if draw < 0.15:
            return ProposalAnswer(message.number, Verdict.REFUSED)
        if draw < 0.3:
            return None
        self._index += 1
        result = self.store.apply(self._index, message.data)
        if draw < 0.45:
            return None
        return ProposalAnswer(message.number, Verdict.ACCEPTED, result)


class FakeRouter:
    """Router node with fake components; ``name`` is unique to one start of its process."""

    def __init__(self, name: str, rng: random.Random) -> None:
        self.name = name
        self.bench = FlowBench()
        proposals = ProposalClient(instance_id=name, replicas=["a", "b"], random=rng)
        self.node = RouterNode(
            flow=self.bench.flow,
            proposals=proposals,
            claims=ClaimCoordinator(
                make_holder=lambda request_id: f"{name}/{request_id}",
                to_wall_ms=lambda now: int(now * 1000),
            ),
            admission=self.make_admission(rng),
            controllers=ControllerHost(runners=(), proposals=proposals),
            components=(),
        )

    @staticmethod
    def make_admission(rng: random.Random) -> AdmissionControl:
        limiter = Limiter(shares=ShareTracker(router_id="r"), random=rng, capacity=100)
        return AdmissionControl(limiter=limiter, limits=NoLimits())


class NoLimits:
    def find_limit(self, workspace: object) -> None:
        return None


class World:
    """Two routers, one log and one caller that resends the same keyed request."""

    def __init__(self, test: unittest.TestCase, seed: int) -> None:
        self.test = test
        self.rng = random.Random(seed)
        self.log = FakeLog(self.rng)
        self.now = 1.0
        self.started = 0
        self.routers = [self.start_router() for _ in range(2)]
        self.pending_answers: list[tuple[FakeRouter, ProposalAnswer]] = []
        self.attempts: list[tuple[FakeRouter, StartAttempt]] = []
        self.requests = 0
        self.runs = 0
        self.answer: bytes | None = None

    def start_router(self) -> FakeRouter:
        self.started += 1
        return FakeRouter(f"router-{self.started}", self.rng)

    def send_event(self, router: FakeRouter, event: Event) -> None:
        self.apply_effects(router, router.node.handle(event, now=self.now))

    def apply_effects(self, router: FakeRouter, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage):
                assert isinstance(effect.message, ForwardProposal)
                answer = self.log.handle_proposal(effect.message)
                if answer is not None:
                    self.pending_answers.append((router, answer))
            elif isinstance(effect, StartAttempt):
                self.attempts.append((router, effect))
            elif isinstance(effect, RelayAnswer):
                self.finish(router, effect.request_id)
            elif isinstance(effect, ReplayAnswer):
                self.test.assertEqual(effect.answer.body, self.answer, "not the first answer")
            elif isinstance(effect, Refuse) and effect.fault.ran is Ran.YES:
                self.test.assertEqual(self.runs, 1, "reported as executed, but it was not")

    def finish(self, router: FakeRouter, request_id: str) -> None:
        whole = self.rng.random() < 0.8
        body = f"answer {self.runs}".encode()
        if whole:
            self.answer = body
        event = AnswerEnded(
            request_id=request_id, attempt=self.current, whole=whole, status=200, body=body
        )
        self.send_event(router, event)

    def run_attempt(self) -> None:
        router, start = self.attempts.pop(self.rng.randrange(len(self.attempts)))
        if router not in self.routers:
            # The router crashed after sending its request, so the endpoint may execute it.
            self.count_run(self.rng.random() < 0.5)
            return
        number = start.attempt.number
        draw = self.rng.random()
        if draw < 0.4:
            outcome = self.rng.choice([AttemptOutcome.NOT_SENT, AttemptOutcome.REFUSED])
            self.fail(router, start, outcome)
        elif draw < 0.6:
            self.count_run(self.rng.random() < 0.5)
            self.fail(router, start, AttemptOutcome.MAYBE_RAN)
        else:
            self.count_run(True)
            self.current = number
            event = AttemptAnswered(request_id=start.request_id, attempt=number, status=200)
            self.send_event(router, event)

    def count_run(self, ran: bool) -> None:
        self.runs += ran
        self.test.assertLessEqual(self.runs, 1, "ran twice")

    def fail(self, router: FakeRouter, start: StartAttempt, outcome: AttemptOutcome) -> None:
        event = AttemptFailed(
            request_id=start.request_id,
            attempt=start.attempt.number,
            outcome=outcome,
            message="injected",
        )
        self.send_event(router, event)

    def step(self) -> None:
        self.now += self.rng.random()
        choice = self.rng.random()
        router = self.rng.choice(self.routers)
        if choice < 0.2:
            self.requests += 1
            request = make_request(idempotency_key="quote-7")
            self.send_event(router, RequestArrived(request_id=f"q{self.requests}", request=request))
        elif choice < 0.5 and self.pending_answers:
            target, answer = self.pending_answers.pop(self.rng.randrange(len(self.pending_answers)))
            if target in self.routers:
                self.send_event(target, MessageReceived(source="a", message=answer))
        elif choice < 0.75 and self.attempts:
            self.run_attempt()
        elif choice < 0.8:
            self.send_event(
                router, CallerGone(request_id=f"q{self.rng.randint(1, 1 + self.requests)}")
            )
        elif choice < 0.85:
            self.routers[self.routers.index(router)] = self.start_router()
        else:
            self.send_event(router, TimeReached())


class AtMostOnceFuzzTest(unittest.TestCase):
    def test_a_keyed_request_runs_at_most_once(self) -> None:
        """A caller sends a request with an idempotency key, gets no answer and resends it.

        The resends go through two routers that crash and restart. The log refuses commands
        and loses commands and answers, and callers disconnect. In any order of events, the
        request runs at most once, and a replayed answer is the first one.
        """
        ran = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                world = World(self, seed)
                for _ in range(STEPS):
                    world.step()
                ran += world.runs
        self.assertGreater(ran, SEEDS // 4, "too few requests were executed")
