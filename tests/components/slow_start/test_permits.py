"""What reaches a cold endpoint from fleets of several sizes, and what routers know of it."""

import random
import unittest

from benchmarks.slow_start import COLD_S, PER_S, find_peak_count, simulate
from chivetrack.components.slow_start.cold import ColdTable
from chivetrack.components.slow_start.const import FLEET_HALVES_S, SETTLE_S
from chivetrack.components.slow_start.permits import FleetShare, PermitBook
from tests.components.announcements.test_table import make_record

# What an endpoint bears for a moment: half as many again, and five.
MOST_IN_A_SECOND = 1.5 * PER_S + 5


class ColdEndpointTest(unittest.TestCase):
    def test_burst_on_an_idle_zone(self) -> None:
        """A zone comes back cold in a burst; every router would choose its idle engines.

        Each sends a sliver, the sum crashes them. Whatever the number of routers, an engine
        gets no more than it bears, and nearly as much where there is work.
        """
        for routers in (9, 62, 200, 400):
            for wanted_per_s in (60.0, 300.0):
                with self.subTest(routers=routers, wanted_per_s=wanted_per_s):
                    runs = [simulate("permits", routers, wanted_per_s, seed) for seed in range(40)]
                    self.assertLessEqual(max(map(find_peak_count, runs)), MOST_IN_A_SECOND)
                    mean = sum(map(len, runs)) / len(runs) / COLD_S
                    self.assertGreaterEqual(mean, 0.8 * PER_S)

    def test_fleet_that_is_cut_in_two(self) -> None:
        """Replicas on both sides see their own routers alone, for 5 s.

        If each took its routers for all, both sides together would send twice the rate.
        """
        rng = random.Random(1)
        times: list[float] = []
        for _ in range(2):
            share = FleetShare()
            share.note(62, now=0.0)
            share.note(31, now=5.0)
            book = PermitBook(started_at=-9.0)
            asked = sorted(rng.uniform(5.0, 8.0) for _ in range(900))
            times += [
                at
                for at in asked
                if book.ask("e", per_s=PER_S, share=share.find(31, now=at), now=at) == 0
            ]
        self.assertLessEqual(find_peak_count(sorted(times)), MOST_IN_A_SECOND)

    def test_replica_that_has_just_started_grants_nothing(self) -> None:
        """It knows of no other replica's routers yet and would take all permits for its own."""
        book = PermitBook(started_at=10.0)
        self.assertGreater(book.ask("e", per_s=PER_S, share=1.0, now=10.0 + SETTLE_S / 2), 0)
        self.assertEqual(book.ask("e", per_s=PER_S, share=1.0, now=10.0 + SETTLE_S), 0)

    def test_endpoint_without_a_limit(self) -> None:
        book = PermitBook(started_at=-9.0)
        self.assertEqual([book.ask("e", per_s=0, share=0.2, now=0.0) for _ in range(9)], [0.0] * 9)

    def test_routers_that_wait_are_told_different_times(self) -> None:
        book = PermitBook(started_at=-9.0)
        waits = [book.ask("e", per_s=PER_S, share=0.5, now=0.0) for _ in range(4)]
        self.assertEqual(waits, sorted(set(waits)))

    def test_part_of_a_replica_follows_its_routers(self) -> None:
        share = FleetShare()
        share.note(12, now=0.0)
        self.assertEqual(share.find(3, now=0.0), 0.25)
        share.note(6, now=FLEET_HALVES_S)
        self.assertEqual(share.find(3, now=FLEET_HALVES_S), 0.5)

    def test_router_that_has_just_come_to_a_replica(self) -> None:
        """Its replica has counted no close router yet; told to wait for a second, it would
        leave the endpoint idle, although its part of the rate is free."""
        share = FleetShare()
        share.note(3, now=0.0)
        self.assertAlmostEqual(share.find(0, now=0.0), 1 / 3)


class ColdTableTest(unittest.TestCase):
    def test_what_an_endpoint_says(self) -> None:
        table = ColdTable()
        table.note_record(make_record(cold_s=2.0), now=10.0)
        self.assertTrue(table.is_cold("e1", 11.9))
        self.assertFalse(table.is_cold("e1", 12.0))
        table.note_record(make_record(2, cold_s=2.0), now=12.0)
        table.note_record(make_record(3), now=12.5)
        self.assertFalse(table.is_cold("e1", 12.5))

    def test_endpoint_that_becomes_cold_again_and_says_so_in_an_answer(self) -> None:
        table = ColdTable()
        table.note_record(make_record(), now=9.0)
        table.note_told("e1", 1.5, now=10.0)
        self.assertTrue(table.is_cold("e1", 11.4))
        self.assertFalse(table.is_cold("e1", 11.5))

    def test_zone_that_is_taken_back(self) -> None:
        """Its endpoints became cold a moment ago, and their heartbeats say so a second late."""
        table = ColdTable()
        table.note_record(make_record(), now=9.0)
        table.assume(["e1"], until=12.6)
        self.assertTrue(table.is_cold("e1", 10.0))
        table.note_record(make_record(2), now=10.0)
        self.assertTrue(table.is_cold("e1", 10.1))
        self.assertFalse(table.is_cold("e1", 12.6))

    def test_refusal_holds_while_the_endpoint_is_cold(self) -> None:
        table = ColdTable()
        table.note_refused("e1", until=13.0)
        self.assertEqual(table.find_wait("e1", 10.0), 0.0)
        table.note_record(make_record(cold_s=2.0), now=10.0)
        self.assertEqual(table.find_wait("e1", 10.5), 2.5)


if __name__ == "__main__":
    unittest.main()
