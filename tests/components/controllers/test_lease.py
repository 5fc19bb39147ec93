"""The lease holder: who may act, and until when."""

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
    """One holder and a real store, with each answer given by hand."""

    def setUp(self) -> None:
        self.store = Store()
        self.index = 0
        self.holder = self.make_holder("one/1")

    def make_holder(self, run: str) -> LeaseHolder:
        return LeaseHolder(name="drains", instance_run=run, random=Random(1))

    def apply(self, data: bytes, at: float) -> bytes:
        self.index += 1
        return self.store.apply(self.index, pack(stamp_time(unpack(data), round(at * 1000))))

    def ask(self, now: float, holder: LeaseHolder | None = None) -> Propose:
        effects = (holder or self.holder).handle(TimeReached(), now=now)
        (ask,) = [effect for effect in effects if isinstance(effect, Propose)]
        return ask

    def answer(self, ask: Propose, *, applied: float, now: float) -> None:
        result = self.apply(ask.data, applied)
        ended = ProposalEnded(submission_id=ask.submission_id, result=result)
        self.holder.handle(ended, now=now)

    def acquire(self, now: float) -> None:
        self.answer(self.ask(now), applied=now, now=now)
        self.assertTrue(self.holder.is_held(now))

    def test_acquires_and_renews_at_a_third(self) -> None:
        self.acquire(0.0)
        third = const.LEASE_DURATION_S / 3
        effects = self.holder.handle(TimeReached(), now=third - 0.1)
        self.assertFalse([effect for effect in effects if isinstance(effect, Propose)])
        self.answer(self.ask(third), applied=third, now=third)
        self.assertTrue(self.holder.is_held(const.LEASE_DURATION_S + 1.0))
        self.assertEqual(1, self.holder.fencing)

    def test_counts_from_before_it_asked(self) -> None:
        """Two holders at once: the store counts from the grant, the holder from the answer.

        The grant's answer is 2 s on the way. Counted from its arrival, the holder acts
        for 2 s after the store may have given the lease to another.
        """
        ask = self.ask(0.0)
        self.answer(ask, applied=0.0, now=2.0)
        self.assertTrue(self.holder.is_held(2.0))
        self.assertFalse(self.holder.is_held(const.LEASE_DURATION_S))

    def test_steps_down_before_expiry_even_if_its_clock_is_slow(self) -> None:
        """A clock that loses 1 % shows 8.91 s when the store's 9 s are over."""
        self.acquire(0.0)
        slow = const.LEASE_DURATION_S * (1.0 - const.CLOCK_DRIFT)
        self.assertFalse(self.holder.is_held(slow))

    def test_frozen_past_its_lease(self) -> None:
        """The holder is stopped for a minute and woken: the first event finds it out.

        Another one holds the lease by then. A renewal answered long ago, delivered on
        waking, must not bring the belief back either.
        """
        self.acquire(0.0)
        renewal = self.ask(3.0)
        result = self.apply(renewal.data, 3.0)
        late = ProposalEnded(submission_id=renewal.submission_id, result=result)
        self.holder.handle(late, now=63.0)
        self.assertFalse(self.holder.is_held(63.0))

    def test_comes_back_under_another_number(self) -> None:
        """A write from before the freeze must not pass for one of the new term.

        The holder steps down a little before the store's expiry and asks again at once.
        Under its old name the store would extend the same grant, and a write of the
        first term, still on its way, would be applied in the second.
        """
        self.acquire(0.0)
        stamp = self.holder.make_stamp()
        end = self.holder.valid_until
        self.answer(self.ask(end), applied=end, now=end)
        self.assertFalse(self.holder.is_held(end))
        again = const.LEASE_DURATION_S + 10.0
        self.answer(self.ask(again), applied=again, now=again)
        self.assertTrue(self.holder.is_held(again))
        self.assertNotEqual(stamp.fencing, self.holder.fencing)

    def test_lost_answers(self) -> None:
        """Asked, applied, answer lost: the next try finds the own grant and keeps it."""
        ask = self.ask(0.0)
        self.apply(ask.data, 0.0)
        lost = ProposalEnded(submission_id=ask.submission_id, fault=LOST)
        self.holder.handle(lost, now=3.0)
        self.assertFalse(self.holder.is_held(3.0))
        self.answer(self.ask(4.0), applied=4.0, now=4.0)
        self.assertTrue(self.holder.is_held(4.0))
        self.assertEqual(1, self.holder.fencing)

    def test_asks_again_if_nothing_ever_answers(self) -> None:
        self.ask(0.0)
        self.assertIsNotNone(self.ask(const.ANSWER_TIMEOUT_S))

    def test_stands_by_while_another_holds_it(self) -> None:
        other = self.make_holder("two/1")
        self.apply(self.ask(0.0, other).data, 0.0)
        self.answer(self.ask(0.0), applied=0.0, now=0.0)
        self.assertFalse(self.holder.is_held(0.0))
        soon = const.STANDBY_RETRY_DELAY_S * (1.0 - const.JITTER) - 0.01
        effects = self.holder.handle(TimeReached(), now=soon)
        self.assertFalse([effect for effect in effects if isinstance(effect, Propose)])

    def test_steps_down_when_the_store_says_so(self) -> None:
        self.acquire(0.0)
        release = ReleaseLease(Stamp(0), "drains", "one/1/0", self.holder.fencing)
        self.apply(pack(release), 1.0)
        self.apply(pack(AcquireLease(Stamp(0), "drains", "two/1/0", 9000)), 1.0)
        self.answer(self.ask(3.0), applied=3.0, now=3.0)
        self.assertFalse(self.holder.is_held(3.0))

    def test_release_frees_the_lease_and_ends_it(self) -> None:
        self.acquire(0.0)
        (release,) = self.holder.release(now=1.0)
        assert isinstance(release, Propose)
        self.apply(release.data, 1.0)
        self.assertIsNone(self.store.get_lease("drains"))
        self.assertFalse(self.holder.is_held(1.0))
        self.assertEqual([], self.holder.handle(TimeReached(), now=20.0))
