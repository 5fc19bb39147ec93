"""Tests of the lease holder: whether it may act, and until when."""

import unittest
from random import Random

from chivetrack.components.controllers import const
from chivetrack.components.controllers.lease import LeaseHolder
from chivetrack.components.controllers.models import ProposalEnded, Propose
from chivetrack.components.store.commands import AcquireLease, ReleaseLease, Stamp, stamp_time
from chivetrack.components.store.store import Store
from chivetrack.core import TimeReached
from chivetrack.exceptions import Fault
from chivetrack.helpers.codec import pack, unpack

LOST = Fault(code="outcome_unknown", message="lost", status=503)


class LeaseTest(unittest.TestCase):
    """One holder and a real store; each test delivers the answers explicitly."""

    def setUp(self) -> None:
        self.store = Store()
        self.index = 0
        self.holder = self.make_holder("one/1")

    def make_holder(self, run: str) -> LeaseHolder:
        return LeaseHolder(name="drains", instance_run=run, random=Random(1))

    def apply(self, data: bytes, at: float) -> bytes:
        self.index += 1
        return self.store.apply(self.index, pack(stamp_time(unpack(data), round(at * 1000))))

    def request_lease(self, now: float, holder: LeaseHolder | None = None) -> Propose:
        effects = (holder or self.holder).handle(TimeReached(), now=now)
        (request,) = [effect for effect in effects if isinstance(effect, Propose)]
        return request

    def answer(self, request: Propose, *, applied: float, now: float) -> None:
        result = self.apply(request.data, applied)
        ended = ProposalEnded(submission_id=request.submission_id, result=result)
        self.holder.handle(ended, now=now)

    def acquire(self, now: float) -> None:
        self.answer(self.request_lease(now), applied=now, now=now)
        self.assertTrue(self.holder.is_held(now))

    def test_acquires_and_renews_at_a_third(self) -> None:
        self.acquire(0.0)
        third = const.LEASE_DURATION_S / 3
        effects = self.holder.handle(TimeReached(), now=third - 0.1)
        self.assertFalse([effect for effect in effects if isinstance(effect, Propose)])
        self.answer(self.request_lease(third), applied=third, now=third)
        self.assertTrue(self.holder.is_held(const.LEASE_DURATION_S + 1.0))
        self.assertEqual(1, self.holder.fencing)

    def test_counts_from_the_time_of_the_request(self) -> None:
        """Guards against two holders at once when the answer to a request is slow.

        The answer takes 2 s. If the holder counted the lease from its arrival, it would
        act for up to 2 s after the store may have granted the lease to another instance.
        """
        request = self.request_lease(0.0)
        self.answer(request, applied=0.0, now=2.0)
        self.assertTrue(self.holder.is_held(2.0))
        self.assertFalse(self.holder.is_held(const.LEASE_DURATION_S))

    def test_steps_down_before_expiry_even_if_its_clock_is_slow(self) -> None:
        """A clock that runs 1 % slow shows 8.91 s when the 9 s of the store have passed."""
        self.acquire(0.0)
        slow = const.LEASE_DURATION_S * (1.0 - const.CLOCK_DRIFT)
        self.assertFalse(self.holder.is_held(slow))

    def test_frozen_past_its_lease(self) -> None:
        """A process that was frozen for a minute steps down at the first event.

        Another instance may hold the lease by then. The answer to a renewal from before
        the freeze, delivered after it, must not make the lease valid again.
        """
        self.acquire(0.0)
        renewal = self.request_lease(3.0)
        result = self.apply(renewal.data, 3.0)
        late = ProposalEnded(submission_id=renewal.submission_id, result=result)
        self.holder.handle(late, now=63.0)
        self.assertFalse(self.holder.is_held(63.0))

    def test_reacquires_with_another_fencing_number(self) -> None:
        """A write of an earlier term must not be accepted as one of the new term.

        The holder steps down shortly before the store expires the lease and requests it
        again immediately. For the old holder id the store would extend the same grant, and
        a write of the first term that is still in flight would be applied in the second.
        """
        self.acquire(0.0)
        stamp = self.holder.make_stamp()
        end = self.holder.valid_until
        self.answer(self.request_lease(end), applied=end, now=end)
        self.assertFalse(self.holder.is_held(end))
        again = const.LEASE_DURATION_S + 10.0
        self.answer(self.request_lease(again), applied=again, now=again)
        self.assertTrue(self.holder.is_held(again))
        self.assertNotEqual(stamp.fencing, self.holder.fencing)

    def test_lost_answers(self) -> None:
        """After a lost answer, the next request finds the holder's own grant and keeps it."""
        request = self.request_lease(0.0)
        self.apply(request.data, 0.0)
        lost = ProposalEnded(submission_id=request.submission_id, fault=LOST)
        self.holder.handle(lost, now=3.0)
        self.assertFalse(self.holder.is_held(3.0))
        self.answer(self.request_lease(4.0), applied=4.0, now=4.0)
        self.assertTrue(self.holder.is_held(4.0))
        self.assertEqual(1, self.holder.fencing)

    def test_requests_again_without_an_answer(self) -> None:
        self.request_lease(0.0)
        self.assertIsNotNone(self.request_lease(const.ANSWER_TIMEOUT_S))

    def test_waits_while_another_instance_holds_the_lease(self) -> None:
        other = self.make_holder("two/1")
        self.apply(self.request_lease(0.0, other).data, 0.0)
        self.answer(self.request_lease(0.0), applied=0.0, now=0.0)
        self.assertFalse(self.holder.is_held(0.0))
        soon = const.STANDBY_RETRY_DELAY_S * (1.0 - const.JITTER) - 0.01
        effects = self.holder.handle(TimeReached(), now=soon)
        self.assertFalse([effect for effect in effects if isinstance(effect, Propose)])

    def test_steps_down_when_the_store_refuses_renewal(self) -> None:
        self.acquire(0.0)
        release = ReleaseLease(Stamp(0), "drains", "one/1/0", self.holder.fencing)
        self.apply(pack(release), 1.0)
        self.apply(pack(AcquireLease(Stamp(0), "drains", "two/1/0", 9000)), 1.0)
        self.answer(self.request_lease(3.0), applied=3.0, now=3.0)
        self.assertFalse(self.holder.is_held(3.0))

    def test_release_frees_the_lease_for_good(self) -> None:
        self.acquire(0.0)
        (release,) = self.holder.release(now=1.0)
        assert isinstance(release, Propose)
        self.apply(release.data, 1.0)
        self.assertIsNone(self.store.get_lease("drains"))
        self.assertFalse(self.holder.is_held(1.0))
        self.assertEqual([], self.holder.handle(TimeReached(), now=20.0))
