"""Tests for shares of fleet-wide limits with late, duplicated and reordered reports."""

import unittest
from random import Random

from chivetrack.components.limits.const import DEMAND_INTERVAL_S, SHARE_GROWTH_DELAY_S
from chivetrack.components.limits.models import DemandReport
from chivetrack.components.limits.shares import ShareTracker
from chivetrack.helpers.codec import pack, unpack

STEP_S = 0.1
MAX_DELAY_S = SHARE_GROWTH_DELAY_S - DEMAND_INTERVAL_S


class FakeFleet:
    """Share trackers of several routers and a network with delays below the growth delay."""

    def __init__(self, *, routers: int, seed: int) -> None:
        self.random = Random(seed)
        names = [f"r{number}" for number in range(routers)]
        self.trackers = {name: ShareTracker(router_id=name) for name in names}
        for tracker in self.trackers.values():
            tracker.set_routers(names)
        self.rates = dict.fromkeys(names, 0.0)
        self.wire: list[tuple[float, str, str, DemandReport]] = []
        self.offsets = {name: self.random.randrange(5) for name in names}
        self.now = 0.0
        self.step = 0
        self.incarnation = 0

    def advance(self) -> None:
        self.step += 1
        self.now = self.step * STEP_S
        for name, tracker in self.trackers.items():
            for _ in range(int(self.rates[name] * STEP_S + self.random.random())):
                tracker.record_request("gallery", self.now)
            if self.step % 5 == self.offsets[name]:
                self.send(name, tracker.collect_demands(self.now))
        self.random.shuffle(self.wire)
        due = [entry for entry in self.wire if entry[0] <= self.now]
        self.wire = [entry for entry in self.wire if entry[0] > self.now]
        for _, source, target, report in due:
            self.trackers[target].merge_demands(source, report)

    def send(self, source: str, report: DemandReport) -> None:
        for target in self.trackers:
            for _ in range(self.random.choice((1, 1, 2))):
                at = self.now + self.random.uniform(0.0, MAX_DELAY_S)
                self.wire.append((at, source, target, report))

    def restart(self) -> None:
        """Restart a random router, with a probability of 1 %; it has no reports yet."""
        if self.random.random() < 0.01:
            name = self.random.choice(list(self.trackers))
            self.incarnation += 1
            self.trackers[name] = ShareTracker(router_id=name, incarnation=self.incarnation)
            self.trackers[name].set_routers(self.trackers)

    def surge(self) -> None:
        """Change the traffic of a random router, with a probability of 3 %."""
        if self.random.random() < 0.03:
            name = self.random.choice(list(self.rates))
            self.rates[name] = self.random.choice((0.0, 0.0, 1.0, 20.0, 200.0))


class ShareBookTest(unittest.TestCase):
    def test_shares_never_add_up_to_more_than_the_limit(self) -> None:
        """A surge moves between routers while reports are up to 1 s late.

        Routers restart meanwhile, and their traffic continues at once.

        A router that used its new demand at once would get a large share while the other
        routers still use theirs, and the workspace would run far above its limit.
        """
        for seed in range(12):
            fleet = FakeFleet(routers=9, seed=seed)
            for _ in range(600):
                fleet.surge()
                fleet.restart()
                fleet.advance()
                total = sum(tracker.get_share("gallery") for tracker in fleet.trackers.values())
                self.assertLessEqual(total, 1.0 + 1e-9)

    def test_concurrency_exceeds_limit_by_at_most_a_tenth_or_two(self) -> None:
        """The same for concurrency limits in whole requests, including very small ones."""
        for limit in (1, 4, 50, 400):
            worst = 0
            for seed in range(8):
                fleet = FakeFleet(routers=9, seed=seed)
                for _ in range(400):
                    fleet.surge()
                    fleet.advance()
                    units = [
                        tracker.allot_units("gallery", limit) for tracker in fleet.trackers.values()
                    ]
                    worst = max(worst, sum(units))
            with self.subTest(limit=limit):
                self.assertLessEqual(worst, limit + max(2, limit // 10))

    def test_units_add_up_to_limit_when_all_reports_have_arrived(self) -> None:
        fleet = FakeFleet(routers=30, seed=1)
        fleet.rates = {name: float(number % 7) for number, name in enumerate(fleet.rates)}
        for _ in range(300):
            fleet.advance()
        fleet.rates = dict.fromkeys(fleet.rates, 0.0)
        for _ in range(2000):
            fleet.advance()
        for limit in (0, 1, 4, 29, 1000):
            units = [tracker.allot_units("gallery", limit) for tracker in fleet.trackers.values()]
            self.assertEqual(sum(units), limit)

    def test_share_follows_demand(self) -> None:
        fleet = FakeFleet(routers=3, seed=1)
        fleet.rates = {"r0": 60.0, "r1": 20.0, "r2": 0.0}
        for _ in range(300):
            fleet.advance()
        shares = [tracker.get_share("gallery") for tracker in fleet.trackers.values()]
        for share, expected in zip(shares, (0.70, 0.26, 0.03), strict=True):
            self.assertAlmostEqual(share, expected, delta=0.07)

    def test_fault_table_of_reports(self) -> None:
        """Old reports, reports of unknown routers and the router's own are ignored."""
        tracker = ShareTracker(router_id="me")
        tracker.set_routers(["r2"])

        def make(sequence: int, incarnation: int = 1) -> DemandReport:
            return DemandReport(
                incarnation=incarnation, sequence=sequence, demands={"gallery": 1.0}
            )

        cases = [
            ("first", "r2", make(5), True),
            ("doubled", "r2", make(5), False),
            ("reordered", "r2", make(4), False),
            ("restarted", "r2", make(1, 2), True),
            ("late", "r2", make(6), False),
            ("own", "me", make(1), False),
            ("unknown", "r3", make(1), False),
        ]
        for name, source, report, expected in cases:
            with self.subTest(name):
                self.assertIs(tracker.merge_demands(source, unpack(pack(report))), expected)
        tracker.set_routers([])
        self.assertEqual(tracker.get_share("gallery"), 1.0)

    def test_demand_of_a_removed_router_is_dropped(self) -> None:
        tracker = ShareTracker(router_id="me")
        tracker.set_routers(["r2"])
        report = DemandReport(incarnation=1, sequence=1, demands={"gallery": 99.0})
        tracker.merge_demands("r2", report)
        tracker.set_routers([])
        tracker.set_routers(["r2"])
        for now in (0.0, SHARE_GROWTH_DELAY_S):
            tracker.collect_demands(now)
        self.assertEqual(tracker.get_share("gallery"), 0.5)
