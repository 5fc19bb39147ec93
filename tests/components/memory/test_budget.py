"""Tests of the memory budget: who gets room, and who gives way."""

import random
import unittest

from chivetrack.components.memory.budget import MemoryBudget, Phase, Share
from chivetrack.components.memory.const import (
    CONNECTION_BYTES,
    SMALL_BYTES,
    SMALL_SHARE,
    STALLED_AFTER_S,
)
from chivetrack.const import MEBIBYTE

LIMIT = 32 * MEBIBYTE
FULL = round(LIMIT * (1 - SMALL_SHARE))


class BudgetCase(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = MemoryBudget(limit=LIMIT, max_connections=100)
        self.gave_way: list[str] = []

    def open(self, name: str, phase: Phase = Phase.RECEIVING) -> Share:
        share = self.budget.open(lambda: self.gave_way.append(name))
        assert share is not None
        self.budget.enter(share, phase)
        return share

    def fill(self, name: str, size: int, *, now: float = 0.0) -> Share:
        share = self.open(name)
        self.assertTrue(self.budget.reserve(share, size, now=now))
        return share


class ReserveTest(BudgetCase):
    def test_single_request_gets_all_that_is_for_large_ones(self) -> None:
        """Guards against the refusal of a legal request in calm."""
        self.fill("only", FULL - CONNECTION_BYTES)
        self.assertEqual(self.gave_way, [])

    def test_request_that_stalls_gives_way(self) -> None:
        """Guards against bodies that stop short of their end and keep others out."""
        self.fill("stalled", 12 * MEBIBYTE)
        self.fill("other", 14 * MEBIBYTE, now=STALLED_AFTER_S)
        self.fill("new", 8 * MEBIBYTE, now=STALLED_AFTER_S)
        self.assertEqual(self.gave_way, ["stalled"])

    def test_largest_gives_way_to_a_smaller_one(self) -> None:
        """Guards against small requests that are refused for large ones that still arrive."""
        self.fill("large", 20 * MEBIBYTE)
        self.fill("other", 7 * MEBIBYTE)
        self.fill("new", 2 * MEBIBYTE)
        self.assertEqual(self.gave_way, ["large"])

    def test_new_request_is_refused_if_it_is_the_largest(self) -> None:
        """Guards against a large request that ends many smaller ones."""
        for number in range(5):
            self.fill(str(number), 5 * MEBIBYTE)
        share = self.open("new")
        self.assertFalse(self.budget.reserve(share, 6 * MEBIBYTE, now=0.5))
        self.assertEqual(self.gave_way, [])

    def test_request_that_was_read_whole_never_gives_way(self) -> None:
        """Guards against a refusal that says "did not run" of a request that runs."""
        share = self.fill("running", FULL - 2 * CONNECTION_BYTES)
        self.budget.enter(share, Phase.SERVING)
        new = self.open("new")
        self.assertFalse(self.budget.reserve(new, MEBIBYTE, now=60.0))
        self.assertEqual(self.gave_way, [])

    def test_small_requests_have_room_beside_large_ones(self) -> None:
        """Guards against small requests that wait behind large ones that run."""
        share = self.fill("running", FULL - CONNECTION_BYTES)
        self.budget.enter(share, Phase.SERVING)
        for number in range(10):
            self.fill(str(number), SMALL_BYTES)

    def test_request_that_gave_way_gets_nothing_more(self) -> None:
        """Guards against a refused request that goes on."""
        victim = self.fill("victim", 20 * MEBIBYTE)
        self.fill("new", 19 * MEBIBYTE, now=2.0)
        self.assertFalse(self.budget.reserve(victim, 1, now=2.0))
        self.assertEqual(victim.held, CONNECTION_BYTES)


class ConnectionTest(BudgetCase):
    def test_connection_that_never_sent_a_byte_gives_way_first(self) -> None:
        """Guards against silent connections that use up the descriptors."""
        kept = self.open("kept")
        self.budget.enter(kept, Phase.WAITING)
        for number in range(99):
            self.open(str(number), Phase.WAITING)
        self.open("new")
        self.assertEqual(self.gave_way, ["0"])

    def test_connection_that_was_used_gives_way_last(self) -> None:
        """Guards against a kept connection that is closed before a silent one."""
        kept = self.open("kept", Phase.WAITING)
        self.budget.enter(kept, Phase.SERVING)
        self.budget.enter(kept, Phase.WAITING)
        for number in range(99):
            self.open(str(number), Phase.WAITING)
        for _ in range(99):
            self.open("new", Phase.SERVING)
        self.assertNotIn("kept", self.gave_way)
        self.open("last", Phase.SERVING)
        self.assertIn("kept", self.gave_way)

    def test_new_connection_is_refused_if_all_are_busy(self) -> None:
        """Guards against a connection that ends others' requests."""
        for number in range(100):
            self.open(str(number))
        self.assertIsNone(self.budget.open(lambda: None))
        self.assertEqual(self.budget.refused_count, 1)

    def test_closed_connections_leave_nothing(self) -> None:
        """Guards against an account that fills up by what has long gone."""
        rng = random.Random(1)
        shares = [self.open(str(number)) for number in range(50)]
        for _ in range(5000):
            share = rng.choice(shares)
            action = rng.randrange(4)
            if action == 0:
                self.budget.enter(share, rng.choice(list(Phase)))
            elif action == 1:
                self.budget.release(share)
            else:
                self.budget.reserve(share, rng.randrange(2 * MEBIBYTE), now=rng.random() * 5)
            self.assertLessEqual(self.budget.held, LIMIT)
            self.assertEqual(self.budget.held, sum(one.held for one in shares))
        for share in shares:
            self.budget.close(share)
        self.assertEqual((self.budget.held, self.budget.connection_count), (0, 0))


if __name__ == "__main__":
    unittest.main()
