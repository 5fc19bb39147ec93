"""Endpoints that fail for the fleet as a whole."""

import unittest
from collections import deque
from random import Random

from chivetrack.components.distribution.messages import EndpointLoad
from chivetrack.components.endpoints.const import FLEET_HOLD_S, FLEET_WINDOW_S
from chivetrack.components.endpoints.outcomes import HoldChange, OutcomeTable

ROUTERS = 87
STEP_S = 0.3
LATE_STEPS = 2


class Fleet:
    """Routers that send to one endpoint and are told each other's counts 0.6 s late."""

    def __init__(self) -> None:
        self.random = Random(3)
        self.changes: list[HoldChange] = []
        self.tables = [
            OutcomeTable(random=Random(n), on_hold_change=self.changes.append)
            for n in range(ROUTERS)
        ]
        self.late: deque[list[tuple[int, int]]] = deque(maxlen=LATE_STEPS)
        self.now = 0.0
        self.sent = 0

    def play(self, duration_s: float, *, ok: bool, per_s: float = 8.0) -> int:
        """Offer requests at random routers; return how many reached the endpoint."""
        before = self.sent
        for _ in range(round(duration_s / STEP_S)):
            self.now += STEP_S
            for _ in range(round(per_s * STEP_S)):
                table = self.random.choice(self.tables)
                if table.lets_through("e1", self.now):
                    self.sent += 1
                    table.record_outcome("e1", ok=ok, now=self.now)
            self.tell()
        return self.sent - before

    def tell(self) -> None:
        self.late.append([table.count_own("e1", self.now) for table in self.tables])
        counts = self.late[0]
        answered = sum(one for one, _ in counts)
        failed = sum(one for _, one in counts)
        for table, own in zip(self.tables, counts, strict=True):
            load = EndpointLoad(
                endpoint_id="e1", running=0, answered=answered - own[0], failed=failed - own[1]
            )
            table.handle_peer_counts([load], now=self.now)


class OutcomeTableTest(unittest.TestCase):
    def test_crashed_endpoint_among_many_routers(self) -> None:
        """An engine that gets eight requests a second crashes for six seconds.

        Each of 87 routers sends it one in eleven seconds. Left to their own breakers all 48
        requests would fail there once; told by each other, the routers stop after 1.5 s but for a
        few probes, and soon after it answers again it has all its requests back.
        """
        fleet = Fleet()
        self.assertEqual(fleet.play(6.0, ok=True), 40)
        self.assertLessEqual(fleet.play(6.0, ok=False), 20)
        self.assertTrue(any(change.is_held for change in fleet.changes))
        fleet.play(6.0, ok=True)
        self.assertGreaterEqual(fleet.play(3.0, ok=True), 18)

    def test_endpoint_that_fails_some_requests_keeps_the_rest(self) -> None:
        """A share of answers fails everywhere; held back, the others would be lost too."""
        table = OutcomeTable(random=Random(1), on_hold_change=self.fail)
        for number in range(50):
            table.record_outcome("e1", ok=number % 2 == 0, now=0.1)
        self.assertTrue(table.lets_through("e1", 0.1))

    def test_few_failures_prove_nothing(self) -> None:
        table = OutcomeTable(random=Random(1), on_hold_change=self.fail)
        table.record_outcome("e1", ok=False, now=0.0)
        table.record_outcome("e1", ok=False, now=0.0)
        self.assertTrue(table.lets_through("e1", 0.1))

    def test_nothing_is_held_for_ever(self) -> None:
        """Nobody asks for the service meanwhile, so no probe shows that it is well again."""
        table = OutcomeTable(random=Random(1), on_hold_change=lambda change: None)
        for _ in range(9):
            table.record_outcome("e1", ok=False, now=0.0)
        self.assertFalse(all(table.lets_through("e1", 0.1) for _ in range(9)))
        later = 0.1 + FLEET_WINDOW_S + FLEET_HOLD_S + 0.1
        self.assertTrue(all(table.lets_through("e1", later) for _ in range(9)))

    def test_new_lifetime_starts_clean(self) -> None:
        table = OutcomeTable(random=Random(1), on_hold_change=lambda change: None)
        for _ in range(9):
            table.record_outcome("e1", ok=False, now=0.0)
        table.forget("e1")
        self.assertTrue(all(table.lets_through("e1", 0.1) for _ in range(9)))
