"""Tests for the request flow: retries, claims and exactly one final answer."""

import random
import unittest

import chivetrack.components.pipeline.filters  # noqa: F401
from chivetrack.components.pipeline.models import (
    AcquireClaim,
    AnswerEnded,
    AttemptAnswered,
    AttemptFailed,
    CallerGone,
    ClaimAnswered,
    DeadlineReached,
    EndClaim,
    ExitDecided,
    QueueLeft,
    Refuse,
    RelayAnswer,
    ReplayAnswer,
    RequestArrived,
    RequestEvent,
    StartAttempt,
    StoredAnswer,
)
from chivetrack.components.upstream.models import AttemptOutcome
from chivetrack.core import Effect
from chivetrack.exceptions import Ran
from tests.components.pipeline.fakes import FlowBench, make_request

NOT_IDEMPOTENT = {"x_idempotent": "false"}
KEYED = {"idempotency_key": "quote-7"}


def fail(outcome: AttemptOutcome, attempt: int = 1) -> AttemptFailed:
    return AttemptFailed(request_id="r", attempt=attempt, outcome=outcome, message="played")


class FlowTest(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = FlowBench()

    def send(self, event: RequestEvent, now: float = 1.0) -> list[Effect]:
        return self.bench.flow.handle(event, now=now)

    def arrive(self, **headers: str) -> list[Effect]:
        return self.send(RequestArrived(request_id="r", request=make_request(**headers)))

    def answer_claim(self, **answer: object) -> list[Effect]:
        event = ClaimAnswered(request_id="r", workspace="hakata", key="quote-7", **answer)  # type: ignore
        return self.send(event)

    def assert_idle(self) -> None:
        self.assertEqual(self.bench.flow.open_count, 0)
        self.assertEqual(sum(self.bench.load.counts.values()), 0)
        self.assertEqual(self.bench.limiter.held, set())

    def test_retry_goes_to_another_endpoint(self) -> None:
        (first,) = self.arrive()
        (second,) = self.send(fail(AttemptOutcome.MAYBE_RAN))
        assert isinstance(first, StartAttempt)
        assert isinstance(second, StartAttempt)
        self.assertNotEqual(first.attempt.endpoint_id, second.attempt.endpoint_id)
        self.assertEqual(sum(self.bench.load.counts.values()), 1)

    def test_non_idempotent_is_sent_again_only_if_it_did_not_run(self) -> None:
        """Guards against running a non-idempotent request twice.

        The connection to an engine breaks. If no byte was sent, or the engine states that
        the request did not run, another engine gets it. If it may have run, the caller is
        told so and decides itself.
        """
        table = [
            (AttemptOutcome.NOT_SENT, True),
            (AttemptOutcome.REFUSED, True),
            (AttemptOutcome.MAYBE_RAN, False),
        ]
        for outcome, again in table:
            with self.subTest(outcome):
                self.bench = FlowBench()
                self.arrive(**NOT_IDEMPOTENT)
                (effect,) = self.send(fail(outcome))
                self.assertIsInstance(effect, StartAttempt if again else Refuse)
                if isinstance(effect, Refuse):
                    self.assertIs(effect.fault.ran, Ran.MAYBE)
                    self.assert_idle()

    def test_bad_status_of_a_non_idempotent_request_is_relayed(self) -> None:
        self.arrive(**NOT_IDEMPOTENT)
        (effect,) = self.send(AttemptAnswered(request_id="r", attempt=1, status=503))
        self.assertIsInstance(effect, RelayAnswer)

    def test_no_endpoint_left_does_not_hide_that_request_may_have_run(self) -> None:
        """The only engine crashes during its answer, and there is no other endpoint.

        If the fault said that the request did not run, the caller would send a request
        again that may have run.
        """
        self.bench.placer.names = ("engine-1",)
        self.arrive()
        (refuse,) = self.send(fail(AttemptOutcome.MAYBE_RAN))
        assert isinstance(refuse, Refuse)
        self.assertEqual((refuse.fault.code, refuse.fault.ran), ("no_endpoint", Ran.MAYBE))

    def test_no_attempt_is_made_before_the_claim(self) -> None:
        (claim,) = self.arrive(**KEYED)
        self.assertIsInstance(claim, AcquireClaim)
        self.assertEqual(sum(self.bench.load.counts.values()), 0)
        (start,) = self.answer_claim()
        self.assertIsInstance(start, StartAttempt)

    def test_resend_gets_the_first_answer(self) -> None:
        self.arrive(**KEYED)
        stored = StoredAnswer(status=200, content_type="application/json", body=b"{}")
        (effect,) = self.answer_claim(stored=stored)
        assert isinstance(effect, ReplayAnswer)
        self.assertEqual(effect.answer, stored)
        self.assert_idle()

    def test_exit_says_whether_the_request_may_have_run(self) -> None:
        """Guards against an exit that hides a run, or that denies a safe retry."""
        table = [(0, 503, Ran.NO), (1, 502, Ran.MAYBE)]
        for sent_attempt, status, ran in table:
            with self.subTest(ran):
                self.bench = FlowBench()
                self.arrive(**KEYED)
                self.answer_claim()
                refuse, end = self.send(ExitDecided(request_id="r", sent_attempt=sent_attempt))
                assert isinstance(refuse, Refuse)
                assert isinstance(end, EndClaim)
                fault = refuse.fault
                self.assertEqual((fault.status, fault.ran), (status, ran))
                self.assertEqual(fault.code, "instance_stopping")
                self.assertEqual(end.did_not_run, ran is Ran.NO)
                self.assert_idle()

    def test_claim_is_released_only_if_no_attempt_ran(self) -> None:
        """A request with a key fails, and its caller sends it again to another router.

        The key may be released only if no attempt can have run. Otherwise the outcome must
        be recorded as unknown, or the resend would run the request a second time.
        """
        table = [
            ([AttemptOutcome.NOT_SENT] * 3, True),
            ([AttemptOutcome.REFUSED] * 3, True),
            ([AttemptOutcome.MAYBE_RAN], False),
            ([AttemptOutcome.NOT_SENT, AttemptOutcome.MAYBE_RAN], False),
        ]
        for outcomes, freed in table:
            with self.subTest(outcomes):
                self.bench = FlowBench()
                self.arrive(**KEYED)
                self.answer_claim()
                for number, outcome in enumerate(outcomes, start=1):
                    effects = self.send(fail(outcome, number))
                refuse, end = effects
                assert isinstance(refuse, Refuse)
                assert isinstance(end, EndClaim)
                self.assertIs(end.did_not_run, freed)
                self.assertIs(refuse.fault.ran, Ran.NO if freed else Ran.MAYBE)

    def test_caller_gone_while_an_attempt_runs_leaves_the_claim_unknown(self) -> None:
        """A caller disconnects while an engine runs its request.

        Whether the request completes is unknown, so the key must not be released: a resend
        would run the request, and bill it, a second time.
        """
        self.arrive(**KEYED)
        self.answer_claim()
        (end,) = self.send(CallerGone(request_id="r"))
        assert isinstance(end, EndClaim)
        self.assertFalse(end.did_not_run)
        self.assert_idle()

    def test_claim_granted_after_the_caller_left_is_released(self) -> None:
        """A caller disconnects while its claim is pending, and the claim is granted late.

        No attempt was made, so the key is released. Otherwise a resend would be refused as
        in progress until the claim expires.
        """
        self.arrive(**KEYED)
        self.send(CallerGone(request_id="r"))
        (end,) = self.answer_claim()
        assert isinstance(end, EndClaim)
        self.assertTrue(end.did_not_run)

    def test_deadline_while_waiting_is_answered_at_once(self) -> None:
        self.arrive(**KEYED)
        (refuse,) = self.send(DeadlineReached(request_id="r"), now=99.0)
        assert isinstance(refuse, Refuse)
        self.assertEqual(refuse.fault.code, "deadline_exceeded")
        self.assertIs(refuse.fault.ran, Ran.NO)

    def test_admission_after_the_deadline_is_refused(self) -> None:
        self.bench.limiter.queue_next = True
        self.assertEqual(self.arrive(), [])
        (refuse,) = self.send(QueueLeft(request_id="r"), now=99.0)
        assert isinstance(refuse, Refuse)
        self.assert_idle()

    def test_late_end_of_an_earlier_attempt_does_nothing(self) -> None:
        """The first attempt fails, the second runs, and the first reports its end again.

        If that counted as the end of the second attempt, a third would run concurrently.
        """
        self.arrive()
        self.send(fail(AttemptOutcome.NOT_SENT))
        self.assertEqual(self.send(fail(AttemptOutcome.NOT_SENT)), [])
        self.assertEqual(self.bench.load.counts["engine-2"], 1)

    def test_late_events_of_an_ended_request_do_nothing(self) -> None:
        """An engine answers after its request was abandoned.

        The answer must not reach another caller, and the request must not be subtracted
        from the endpoint's load twice.
        """
        self.arrive()
        self.send(DeadlineReached(request_id="r"), now=99.0)
        late = [
            AttemptAnswered(request_id="r", attempt=1, status=200),
            AnswerEnded(request_id="r", attempt=1, whole=True),
            fail(AttemptOutcome.MAYBE_RAN),
            CallerGone(request_id="r"),
        ]
        for event in late:
            self.assertEqual(self.send(event), [])
        self.assert_idle()


class Oracle:
    """Checks the invariants of one request over any sequence of events."""

    def __init__(self, test: unittest.TestCase, keyed: bool, idempotent: bool) -> None:
        self.test = test
        self.keyed = keyed
        self.idempotent = idempotent
        self.granted = False
        self.may_have_run = False
        self.finals = 0
        self.claim_ends = 0

    def check(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, StartAttempt):
                self.test.assertEqual(self.finals, 0, "an attempt after the final answer")
                self.test.assertTrue(self.granted or not self.keyed, "an attempt without a claim")
                second = self.may_have_run and not self.idempotent
                self.test.assertFalse(second, "a second run of a non-idempotent request")
            elif isinstance(effect, Refuse | ReplayAnswer):
                self.finals += 1
                if isinstance(effect, Refuse) and effect.fault.ran is Ran.NO:
                    self.test.assertFalse(
                        self.may_have_run, "reported as not run, but may have run"
                    )
            elif isinstance(effect, EndClaim):
                self.claim_ends += 1
                if effect.did_not_run:
                    self.test.assertFalse(
                        self.may_have_run, "released the key of a request that may have run"
                    )
        self.test.assertLessEqual(self.finals, 1)
        self.test.assertLessEqual(self.claim_ends, 1)


class FlowFuzzTest(unittest.TestCase):
    def test_any_order_of_events(self) -> None:
        """Requests get seeded random events, some of them duplicated, late or out of order.

        An oracle checks after each event: one final answer, no second run of a
        non-idempotent request, "did not run" only if true, and no key released of a request
        that may have run. At the end all resources must be released.
        """
        for seed in range(1500):
            with self.subTest(seed=seed):
                self.run_seed(seed)

    def run_seed(self, seed: int) -> None:
        rng = random.Random(seed)
        bench = FlowBench()
        keyed = rng.random() < 0.5
        idempotent = not keyed and rng.random() < 0.5
        oracle = Oracle(self, keyed, idempotent)
        bench.limiter.queue_next = rng.random() < 0.3
        headers = KEYED if keyed else {} if idempotent else NOT_IDEMPOTENT
        now = 1.0
        arrived = RequestArrived(request_id="r", request=make_request(**headers))
        oracle.check(bench.flow.handle(arrived, now=now))
        asked = False
        for _ in range(12):
            now += rng.random() * 6
            exchange = bench.flow.find_exchange("r")
            event = self.choose_event(rng, exchange, oracle, asked)
            asked = asked or isinstance(event, ClaimAnswered)
            oracle.check(bench.flow.handle(event, now=now))
        oracle.check(bench.flow.handle(CallerGone(request_id="r"), now=now))
        self.assertEqual(bench.flow.open_count, 0)
        self.assertEqual(sum(bench.load.counts.values()), 0)
        self.assertEqual(bench.limiter.held, set())
        self.assertEqual(len(bench.ended), 1)

    def choose_event(self, rng, exchange, oracle, asked) -> RequestEvent:
        position = exchange.position if exchange else 0
        in_attempt = exchange is not None and len(exchange.attempts) > len(exchange.outcomes)
        if exchange and position == 5 and not in_attempt:
            return QueueLeft(request_id="r")
        if exchange and position == 6 and not in_attempt and not asked:
            oracle.granted = rng.random() < 0.8
            stored = None if oracle.granted else StoredAnswer(status=200, content_type="", body=b"")
            return ClaimAnswered(request_id="r", workspace="hakata", key="quote-7", stored=stored)
        if in_attempt and rng.random() < 0.8:
            return self.choose_attempt_event(rng, oracle, exchange.attempt.number)
        return rng.choice([CallerGone(request_id="r"), DeadlineReached(request_id="r")])

    def choose_attempt_event(self, rng, oracle, current: int) -> RequestEvent:
        late = current > 1 and rng.random() < 0.3
        attempt = current - 1 if late else current
        kind = rng.randrange(5)
        if kind == 0:
            oracle.may_have_run |= not late
            status = rng.choice([200, 400, 503])
            return AttemptAnswered(request_id="r", attempt=attempt, status=status)
        if kind == 1:
            oracle.may_have_run |= not late
            whole = rng.random() < 0.5
            return AnswerEnded(request_id="r", attempt=attempt, whole=whole, status=200, body=b"x")
        outcome = rng.choice(list(AttemptOutcome)[:3])
        oracle.may_have_run |= outcome is AttemptOutcome.MAYBE_RAN and not late
        return fail(outcome, attempt)
