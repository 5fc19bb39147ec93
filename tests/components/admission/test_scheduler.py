"""Tests of the scheduler of a plain service's slots."""

import unittest
from random import Random

from chivetrack.components.admission.const import MAX_RETRY_AFTER_S, MIN_LEASE_S, UNNAMED_S
from chivetrack.components.admission.messages import (
    SlotAnswer,
    SlotCandidate,
    SlotRelease,
    SlotRequest,
    SlotState,
)
from chivetrack.components.admission.scheduler import AddressedAnswer, SlotScheduler
from chivetrack.components.admission.schedulers import SlotSchedulers

ROOM = 9  # six slots and three requests that wait at the endpoint


def make_request(number: int, *endpoint_ids: str, **changes: float | str) -> SlotRequest:
    """Return a request that may wait for a second."""
    fields = {"workspace": "w", "rank": 0, "target_s": 1.0, "hold_s": 4.0, **changes}
    candidates = tuple(SlotCandidate(one, 6) for one in endpoint_ids or ("e1",))
    return SlotRequest(  # type: ignore[arg-type]
        number=number, service="portal", candidates=candidates, **fields
    )


class SchedulerCase(unittest.TestCase):
    def setUp(self) -> None:
        self.scheduler = SlotScheduler(random=Random(1))

    def ask(
        self, number: int, *endpoint_ids: str, now: float = 0.0, **changes: float | str
    ) -> list[SlotAnswer]:
        request = make_request(number, *endpoint_ids, **changes)
        return self.list_answers(self.scheduler.request("r1", request, now=now))

    def release(
        self, number: int, *, now: float = 0.0, **changes: float | bool
    ) -> list[SlotAnswer]:
        release = SlotRelease(number=number, service="portal", **changes)  # type: ignore[arg-type]
        return self.list_answers(self.scheduler.release("r1", release, now=now))

    def list_answers(self, answers: list[AddressedAnswer]) -> list[SlotAnswer]:
        return [one.answer for one in answers]

    def fill(self, count: int = ROOM) -> None:
        for number in range(100, 100 + count):
            self.assertEqual(self.ask(number)[0].state, SlotState.GRANTED)


class SlotSchedulerTest(SchedulerCase):
    def test_slots_go_to_the_endpoint_that_answers_first(self) -> None:
        """Guards against requests that queue at one endpoint while another one is idle."""
        granted = [self.ask(number, "e1", "e2")[0].endpoint_id for number in range(12)]
        self.assertEqual((granted.count("e1"), granted.count("e2")), (6, 6))

    def test_full_service_queues_and_grants_in_turn(self) -> None:
        """Guards against a slot that is given to a second request before it is free."""
        self.fill()
        self.assertEqual(self.ask(1)[0].state, SlotState.QUEUED)
        self.assertEqual(self.ask(2)[0].state, SlotState.QUEUED)
        (answer,) = self.release(100, took_s=0.05)
        self.assertEqual((answer.number, answer.state), (1, SlotState.GRANTED))

    def test_request_that_would_be_late_is_refused_at_once(self) -> None:
        """Guards against a caller that waits and is then answered after its latency target."""
        self.fill()
        states = [self.ask(n, target_s=0.1)[0].state for n in range(60)]
        self.assertEqual(states[-1], SlotState.REFUSED)
        self.assertEqual(self.scheduler.waiting_count, states.count(SlotState.QUEUED))

    def test_refused_callers_return_at_different_times(self) -> None:
        """Guards against callers that were refused together and return together."""
        self.fill()
        answers = [self.ask(n, target_s=0.1)[0] for n in range(80)]
        returns = [one.wait_s for one in answers if one.state is SlotState.REFUSED]
        self.assertEqual(len(set(returns)), len(returns))
        self.assertLessEqual(max(returns), MAX_RETRY_AFTER_S)

    def test_caller_with_little_time_left_returns_within_it(self) -> None:
        """Guards against a return that comes after the caller has given up."""
        self.fill()
        answers = [self.ask(n, target_s=0.1, hold_s=0.9)[0] for n in range(80)]
        returns = [one.wait_s for one in answers if one.state is SlotState.REFUSED]
        self.assertLessEqual(max(returns), 0.3)

    def test_slow_endpoint_gets_one_request_until_it_recovers(self) -> None:
        """Guards against slots of an endpoint that takes several times as long as the others."""
        for _ in range(20):
            granted = [self.ask(n, "e1", "e2")[0].endpoint_id for n in range(ROOM + 1)]
            for number, endpoint_id in enumerate(granted):
                self.release(number, took_s=0.4 if endpoint_id == "e2" else 0.05)
        granted = [self.ask(n, "e1", "e2")[0].endpoint_id for n in range(ROOM + 1)]
        self.assertEqual(granted.count("e2"), 1)


class FailureTest(SchedulerCase):
    def test_slots_of_a_killed_router_are_free_again(self) -> None:
        """Guards against a service that loses its slots to routers that were killed."""
        self.fill()
        self.ask(1)
        self.assertEqual(self.scheduler.wake(now=MIN_LEASE_S / 2), [])
        answers = self.list_answers(self.scheduler.wake(now=MIN_LEASE_S + 0.01))
        self.assertEqual([one.state for one in answers], [SlotState.GRANTED])

    def test_endpoint_that_hangs_gets_few_requests(self) -> None:
        """Guards against slots that seem free since the leases of a hanging endpoint expire."""
        now, granted = 0.0, []
        for number in range(400):
            now += 0.01
            answer, *_ = self.ask(number, "e1", "e2", now=now)
            granted.append(answer.endpoint_id)
            if answer.endpoint_id == "e1":
                self.release(number, now=now + 0.05, took_s=0.05)
        self.assertLess(granted[200:].count("e2"), 10)

    def test_request_that_was_withdrawn_gets_no_slot(self) -> None:
        """Guards against a slot that waits for a caller who has left."""
        self.fill()
        self.ask(1)
        self.ask(2)
        self.release(1)
        (answer,) = self.release(100)
        self.assertEqual(answer.number, 2)

    def test_endpoint_that_rejects_gets_nothing_for_a_service_time(self) -> None:
        """Guards against requests to an endpoint whose slots a replaced leader has granted."""
        self.assertEqual(self.ask(1, "e1", "e2", now=1.0)[0].endpoint_id, "e1")
        self.release(1, now=1.0, is_rejected=True)
        granted = [self.ask(n, "e1", "e2", now=1.01)[0].endpoint_id for n in range(2, 8)]
        self.assertEqual(set(granted), {"e2"})
        self.assertEqual(self.ask(9, "e1", "e2", now=1.2)[0].endpoint_id, "e1")

    def test_leader_that_is_replaced_answers_what_waits(self) -> None:
        """Guards against routers that wait for a queue which nobody serves any more."""
        schedulers = SlotSchedulers(random=Random(1))
        for number in range(ROOM + 2):
            schedulers.request("r1", make_request(number), now=0.0)
        answers = self.list_answers(schedulers.clear())
        self.assertEqual([one.number for one in answers], [ROOM, ROOM + 1])
        self.assertEqual({one.state for one in answers}, {SlotState.NOT_LEADING})

    def test_endpoint_that_has_left_is_forgotten(self) -> None:
        """Guards against memory that grows with each release of a service."""
        self.ask(1, "e1", now=1.0)
        self.release(1, now=1.1)
        self.ask(2, "e2", now=2.0 + UNNAMED_S)
        self.assertEqual(list(self.scheduler._endpoints), ["e2"])

    def test_second_release_frees_nothing(self) -> None:
        """Guards against a release that comes twice and frees the slot of another request."""
        self.fill()
        self.release(100)
        self.release(100)
        self.assertEqual(self.scheduler.count_running(), ROOM - 1)

    def test_retry_that_is_late_already_waits_for_one_service_time(self) -> None:
        """Guards against a retry after a failed run that is refused although a slot frees soon."""
        self.fill()
        self.assertEqual(self.ask(1, target_s=0.0)[0].state, SlotState.QUEUED)


if __name__ == "__main__":
    unittest.main()
