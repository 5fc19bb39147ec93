"""Tests for the limiter: limits, the queue, fair queueing and load shedding."""

import unittest
from collections import Counter
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chivetrack.components.limits.const import MAX_RETRY_AFTER_S, MIN_GATES_TO_PRUNE
from chivetrack.components.limits.limiter import Limiter
from chivetrack.components.limits.models import (
    Admit,
    LimitedRequest,
    Shed,
    Wait,
    WorkspaceLimit,
)
from chivetrack.components.limits.shares import ShareTracker
from chivetrack.exceptions import Ran
from tests.components.limits.test_shares import FakeFleet


def make_limiter(*, capacity: int = 4, queue_capacity: int = 100, seed: int = 1) -> Limiter:
    return Limiter(
        shares=ShareTracker(router_id="me"),
        random=Random(seed),
        capacity=capacity,
        queue_capacity=queue_capacity,
    )


class LimiterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.limiter = make_limiter()
        self.number = 0

    def submit(self, workspace="a", *, now=0.0, deadline=100.0, priority=0):
        self.number += 1
        request = LimitedRequest(
            request_id=f"{workspace}-{self.number}",
            workspace=workspace,
            deadline=deadline,
            priority=priority,
        )
        return self.limiter.submit(request, now)

    def fill(self, count: int = 4) -> list[str]:
        effects = [self.submit("filler")[-1] for _ in range(count)]
        self.assertEqual({type(effect) for effect in effects}, {Admit})
        return [effect.request_id for effect in effects]

    def test_request_that_cannot_meet_its_deadline_is_shed_at_once(self) -> None:
        """Guards against queueing an infeasible request until its deadline.

        All slots are busy for one second each and the caller has 1.2 s left. In the queue
        it would get no answer until the deadline, with no time left to use another
        router. It must learn now that the request did not run and when to retry.
        """
        self.fill()
        self.assertIsInstance(self.submit(deadline=3.0)[-1], Wait)
        effect = self.submit(deadline=1.2)[-1]
        assert isinstance(effect, Shed)
        self.assertEqual((effect.fault.code, effect.fault.status), ("overloaded", 503))
        self.assertIs(effect.fault.ran, Ran.NO)
        self.assertGreaterEqual(effect.fault.retry_after_s or 0.0, 1.0)

    def test_waiting_request_is_shed_when_it_becomes_infeasible(self) -> None:
        """An engine slows down after the request was queued, and no slot becomes free."""
        self.fill()
        waiting = self.submit(deadline=3.0)[-1]
        self.assertEqual(self.limiter.advance(1.9), [])
        (effect,) = self.limiter.advance(2.1)
        self.assertIsInstance(effect, Shed)
        self.assertEqual(effect.request_id, waiting.request_id)

    def test_retry_after_has_jitter_and_is_seeded(self) -> None:
        def shed_many(seed: int) -> list[float | None]:
            self.limiter = make_limiter(seed=seed)
            self.fill()
            return [self.submit(deadline=1.0)[-1].fault.retry_after_s for _ in range(50)]

        first = shed_many(1)
        self.assertEqual(first, shed_many(1))
        self.assertGreater(len(set(first)), 45)
        self.assertGreater(max(first) - min(first), 0.5)
        self.assertLessEqual(max(first), 2 * MAX_RETRY_AFTER_S)

    def test_higher_priority_goes_first(self) -> None:
        """An urgent request arrives behind queued requests of a lower priority."""
        running = self.fill()
        for _ in range(3):
            self.submit("drafts")
        urgent = self.submit("notes", priority=5)[-1]
        self.assertEqual(
            self.limiter.finish(running[0], 1.0), [Admit(request_id=urgent.request_id)]
        )

    def test_surge_does_not_delay_other_workspaces(self) -> None:
        """One workspace sends fifty requests at once, then another sends five.

        In a first-in, first-out queue the second would wait for all fifty.
        """
        running = self.fill()
        for _ in range(50):
            self.submit("surge")
        for _ in range(5):
            self.submit("calm")
        admitted: list[str] = []
        for step in range(10):
            (effect,) = self.limiter.finish(running.pop(0), 0.1 * step)
            running.append(effect.request_id)
            admitted.append(effect.request_id.split("-")[0])
        self.assertEqual(Counter(admitted), {"surge": 5, "calm": 5})

    def test_idle_time_earns_no_credit(self) -> None:
        """A workspace sends forty requests after being idle for 34 admissions.

        If its virtual time continued from its last request, all forty would be admitted
        before the requests of the other workspace.
        """
        running = self.fill()
        for _ in range(50):
            self.submit("surge")
        admitted: list[str] = []
        for step in range(44):
            if step == 34:
                for _ in range(40):
                    self.submit("idle")
            (effect,) = self.limiter.finish(running.pop(0), 0.01 * step)
            running.append(effect.request_id)
            admitted.append(effect.request_id.split("-")[0])
        self.assertEqual(Counter(admitted[34:]), {"surge": 5, "idle": 5})

    def test_admissions_are_proportional_to_weights(self) -> None:
        self.limiter.configure("heavy", WorkspaceLimit(weight=3.0), 0.0)
        running = self.fill()
        for _ in range(40):
            self.submit("heavy")
            self.submit("light")
        admitted: list[str] = []
        for step in range(20):
            (effect,) = self.limiter.finish(running.pop(0), 0.1 * step)
            running.append(effect.request_id)
            admitted.append(effect.request_id.split("-")[0])
        self.assertEqual(Counter(admitted), {"heavy": 15, "light": 5})

    def test_full_queue_drops_request_of_workspace_that_fills_it(self) -> None:
        """The queue is full of one workspace's requests when another sends its first."""
        self.limiter = make_limiter(queue_capacity=10)
        self.fill()
        waiting = [self.submit("surge")[-1].request_id for _ in range(10)]
        shed, wait = self.submit("calm")
        self.assertEqual((type(shed), shed.request_id), (Shed, waiting[-1]))
        self.assertIsInstance(wait, Wait)
        self.assertIsInstance(self.submit("surge")[-1], Shed)
        self.assertEqual(self.limiter.queued, 10)

    def test_rate_and_concurrency(self) -> None:
        self.limiter = make_limiter(capacity=1000)
        self.limiter.configure("rated", WorkspaceLimit(rate_per_s=2.0, burst=3.0), 0.0)
        self.limiter.configure("slotted", WorkspaceLimit(concurrency=2), 0.0)
        rated = [self.submit("rated", deadline=1.1)[-1] for _ in range(5)]
        self.assertEqual([type(effect) for effect in rated], [Admit] * 3 + [Shed] * 2)
        self.assertEqual((rated[-1].fault.code, rated[-1].fault.status), ("rate_limited", 429))
        self.assertIsInstance(self.submit("rated", now=0.5, deadline=1.6)[-1], Admit)
        slotted = [self.submit("slotted", deadline=1.4)[-1] for _ in range(3)]
        self.assertEqual([type(effect) for effect in slotted], [Admit, Admit, Shed])
        self.assertEqual(slotted[-1].fault.code, "concurrency_limited")
        self.limiter.finish(slotted[0].request_id, 1.0)
        self.assertIsInstance(self.submit("slotted", now=1.0)[-1], Admit)

    def test_rate_limited_request_waits_for_its_token(self) -> None:
        self.limiter.configure("rated", WorkspaceLimit(rate_per_s=1.0), 0.0)
        self.submit("rated")
        waiting = self.submit("rated")[-1]
        self.assertIsInstance(waiting, Wait)
        self.assertIsNotNone(self.limiter.find_due(0.0))
        self.assertEqual(self.limiter.advance(0.9), [])
        self.assertEqual(self.limiter.advance(1.0), [Admit(request_id=waiting.request_id)])

    def test_gates_of_idle_workspaces_are_pruned(self) -> None:
        self.limiter = make_limiter(capacity=10)
        for number in range(5 * MIN_GATES_TO_PRUNE):
            (effect,) = self.submit(f"w{number}", now=float(number))
            self.limiter.finish(effect.request_id, float(number))
        self.assertLessEqual(len(self.limiter._gates), 2 * MIN_GATES_TO_PRUNE)

    def run_fleet(self, steps: int, count_requests) -> list[float]:
        """Return the times of admissions; the limit is 20 requests per second."""
        fleet = FakeFleet(routers=9, seed=3)
        limiters = {
            name: Limiter(shares=tracker, random=Random(1), capacity=1000)
            for name, tracker in fleet.trackers.items()
        }
        for limiter in limiters.values():
            limiter.configure("gallery", WorkspaceLimit(rate_per_s=20.0, burst=18.0), 0.0)
        admitted: list[float] = []
        for step in range(steps):
            fleet.advance()
            now = fleet.now
            for router, limiter in enumerate(limiters.values()):
                effects = limiter.advance(now)
                for number in range(count_requests(step, router)):
                    request = LimitedRequest(
                        request_id=f"{step}-{router}-{number}",
                        workspace="gallery",
                        deadline=now + 2.5,
                    )
                    effects += limiter.submit(request, now)
                for effect in effects:
                    if isinstance(effect, Admit):
                        admitted.append(now)
                        limiter.finish(effect.request_id, now)
        return admitted

    def test_fleet_wide_rate_holds_within_its_margin(self) -> None:
        """The traffic of a workspace moves to other routers every 10 s.

        In any interval the fleet may admit at most the rate, one burst and one request for
        each router. While traffic moves, at least two thirds of the limit must be usable;
        once it is steady, nearly all.
        """
        admitted = self.run_fleet(600, lambda step, r: 4 * ((r < 2) == (step % 200 < 100)))
        for start in range(50):
            count = sum(1 for at in admitted if start <= at < start + 10)
            self.assertLessEqual(count, 20 * 10 + 18)
        self.assertGreater(len(admitted), 20 * 60 * 2 / 3)
        rested = self.run_fleet(400, lambda step, r: 4 * (3 <= r < 6))
        self.assertGreater(sum(1 for at in rested if at >= 10.0), 0.95 * 20 * 30)

    def test_sparse_traffic_reaches_nearly_the_whole_limit(self) -> None:
        """Three requests per second arrive at each of nine routers, at random times.

        If every fluctuation of the demand were published, the shares would add up to much
        less than one, and requests would be refused below the workspace's limit.
        """
        random = Random(5)
        admitted = self.run_fleet(900, lambda step, r: int(random.random() < 0.3))
        self.assertGreater(sum(1 for at in admitted if at >= 10.0), 0.95 * 20 * 80)


class LimiterMachine(RuleBasedStateMachine):
    """Requests arrive, wait, finish and are cancelled in random order.

    Checks that each request is admitted or shed once, that running requests never exceed
    the capacity or the workspace's concurrency, and that a shed request is reported as
    not run.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.limiter = make_limiter(capacity=3, queue_capacity=5)
        self.limits = {"a": 2, "b": 2}
        for name, units in self.limits.items():
            self.limiter.configure(name, WorkspaceLimit(concurrency=units), 0.0)
        self.number = 0
        self.waiting: set[str] = set()
        self.running: list[str] = []
        self.deadlines: dict[str, float] = {}

    def apply_effects(self, effects) -> None:
        for effect in effects:
            assert effect.request_id not in self.running
            if isinstance(effect, Wait):
                self.waiting.add(effect.request_id)
                continue
            self.waiting.discard(effect.request_id)
            if isinstance(effect, Admit):
                self.running.append(effect.request_id)
            else:
                assert isinstance(effect, Shed)
                assert effect.fault.ran is Ran.NO
                assert effect.fault.retry_after_s

    @rule(
        workspace=st.sampled_from(["a", "b", "c"]),
        budget=st.floats(0.1, 20.0),
        priority=st.integers(0, 1),
    )
    def submit(self, workspace: str, budget: float, priority: int) -> None:
        self.number += 1
        name = f"{workspace}-{self.number}"
        self.deadlines[name] = self.now + budget
        request = LimitedRequest(
            request_id=name,
            workspace=workspace,
            deadline=self.now + budget,
            priority=priority,
        )
        effects = self.limiter.submit(request, self.now)
        assert [e.request_id for e in effects].count(name) == 1
        self.apply_effects(effects)

    @rule(pick=st.integers(0, 9))
    def finish(self, pick: int) -> None:
        if self.running:
            name = self.running.pop(pick % len(self.running))
            self.apply_effects(self.limiter.finish(name, self.now))
            assert self.limiter.finish(name, self.now) == []

    @rule(pick=st.integers(0, 9))
    def cancel(self, pick: int) -> None:
        if self.waiting:
            name = sorted(self.waiting)[pick % len(self.waiting)]
            self.limiter.cancel(name)
            self.waiting.discard(name)

    @rule(step=st.floats(0.0, 3.0))
    def pass_time(self, step: float) -> None:
        self.now += step
        self.apply_effects(self.limiter.advance(self.now))

    @invariant()
    def limits_and_deadlines_hold(self) -> None:
        assert self.limiter.queued == len(self.waiting) <= 5
        assert len(self.running) <= 3
        counts = Counter(name[0] for name in self.running)
        assert all(counts[name] <= units for name, units in self.limits.items())
        assert all(self.deadlines[name] > self.now for name in self.waiting)


LimiterMachine.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
LimiterFuzzTest = LimiterMachine.TestCase
