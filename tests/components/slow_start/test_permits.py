"""Tests for the permits of cold endpoints and for tracking cold endpoints."""

import random
import unittest

from benchmarks.slow_start import COLD_S, PER_S, find_peak_count, simulate
from chivetrack.components.slow_start.cold import ColdEndpointTracker
from chivetrack.components.slow_start.const import FLEET_HALF_LIFE_S, STARTUP_DELAY_S
from chivetrack.components.slow_start.permits import FleetShare, PermitLedger
from tests.components.announcements.test_table import make_record

# Requests that a cold endpoint can handle within one second: 1.5 times its rate plus five.
MOST_IN_A_SECOND = 1.5 * PER_S + 5


class ColdEndpointTest(unittest.TestCase):
    def test_burst_on_an_idle_zone(self) -> None:
        """A zone comes back cold during a burst, and every router would choose its idle engines.

        Each router sends few requests, but their sum would crash the engines. With any number
        of routers, an engine must get no more than it can handle, and nearly its full rate if
        there are enough requests.
        """
        for routers in (9, 62, 200, 400):
            for requested_per_s in (60.0, 300.0):
                with self.subTest(routers=routers, requested_per_s=requested_per_s):
                    runs = [
                        simulate("permits", routers, requested_per_s, seed) for seed in range(40)
                    ]
                    self.assertLessEqual(max(map(find_peak_count, runs)), MOST_IN_A_SECOND)
                    mean = sum(map(len, runs)) / len(runs) / COLD_S
                    self.assertGreaterEqual(mean, 0.8 * PER_S)

    def test_partitioned_fleet_stays_within_the_rate(self) -> None:
        """Replicas on both sides of a partition know only their own routers for 5 s.

        If each side took its routers for the whole fleet, both together would send twice the
        rate.
        """
        rng = random.Random(1)
        times: list[float] = []
        for _ in range(2):
            share = FleetShare()
            share.record(62, now=0.0)
            share.record(31, now=5.0)
            ledger = PermitLedger(started_at=-9.0)
            requested = sorted(rng.uniform(5.0, 8.0) for _ in range(900))
            times += [
                at
                for at in requested
                if ledger.request("e", per_s=PER_S, share=share.compute(31, now=at), now=at) == 0
            ]
        self.assertLessEqual(find_peak_count(sorted(times)), MOST_IN_A_SECOND)

    def test_replica_that_has_just_started_grants_nothing(self) -> None:
        """Without reports of other replicas it would grant the rate of the whole fleet."""
        ledger = PermitLedger(started_at=10.0)
        self.assertGreater(
            ledger.request("e", per_s=PER_S, share=1.0, now=10.0 + STARTUP_DELAY_S / 2), 0
        )
        self.assertEqual(ledger.request("e", per_s=PER_S, share=1.0, now=10.0 + STARTUP_DELAY_S), 0)

    def test_endpoint_without_a_limit_gets_all_requests(self) -> None:
        ledger = PermitLedger(started_at=-9.0)
        self.assertEqual(
            [ledger.request("e", per_s=0, share=0.2, now=0.0) for _ in range(9)], [0.0] * 9
        )

    def test_waiting_routers_get_different_times(self) -> None:
        ledger = PermitLedger(started_at=-9.0)
        waits = [ledger.request("e", per_s=PER_S, share=0.5, now=0.0) for _ in range(4)]
        self.assertEqual(waits, sorted(set(waits)))

    def test_share_of_a_replica_follows_its_routers(self) -> None:
        share = FleetShare()
        share.record(12, now=0.0)
        self.assertEqual(share.compute(3, now=0.0), 0.25)
        share.record(6, now=FLEET_HALF_LIFE_S)
        self.assertEqual(share.compute(3, now=FLEET_HALF_LIFE_S), 0.5)

    def test_newly_assigned_router_gets_a_share(self) -> None:
        """The replica has not counted any assigned router yet. With a share of zero the router
        would wait and leave the endpoint idle, although its share of the rate is unused."""
        share = FleetShare()
        share.record(3, now=0.0)
        self.assertAlmostEqual(share.compute(0, now=0.0), 1 / 3)


class ColdTableTest(unittest.TestCase):
    def test_cold_time_follows_the_newest_record(self) -> None:
        table = ColdEndpointTracker()
        table.handle_record(make_record(cold_s=2.0), now=10.0)
        self.assertTrue(table.is_cold("e1", 11.9))
        self.assertFalse(table.is_cold("e1", 12.0))
        table.handle_record(make_record(2, cold_s=2.0), now=12.0)
        table.handle_record(make_record(3), now=12.5)
        self.assertFalse(table.is_cold("e1", 12.5))

    def test_cold_endpoint_is_reported_by_an_answer(self) -> None:
        table = ColdEndpointTracker()
        table.handle_record(make_record(), now=9.0)
        table.record_cold("e1", 1.5, now=10.0)
        self.assertTrue(table.is_cold("e1", 11.4))
        self.assertFalse(table.is_cold("e1", 11.5))

    def test_endpoints_of_a_zone_taken_back_are_assumed_cold(self) -> None:
        """The endpoints have just become cold, and their heartbeats report it a second later."""
        table = ColdEndpointTracker()
        table.handle_record(make_record(), now=9.0)
        table.assume_cold(["e1"], until=12.6)
        self.assertTrue(table.is_cold("e1", 10.0))
        table.handle_record(make_record(2), now=10.0)
        self.assertTrue(table.is_cold("e1", 10.1))
        self.assertFalse(table.is_cold("e1", 12.6))

    def test_refusal_holds_while_the_endpoint_is_cold(self) -> None:
        table = ColdEndpointTracker()
        table.record_refusal("e1", until=13.0)
        self.assertEqual(table.find_wait("e1", 10.0), 0.0)
        table.handle_record(make_record(cold_s=2.0), now=10.0)
        self.assertEqual(table.find_wait("e1", 10.5), 2.5)


if __name__ == "__main__":
    unittest.main()
