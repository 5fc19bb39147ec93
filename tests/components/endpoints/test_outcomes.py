"""Outcomes of attempts at endpoints, counted over the whole fleet."""

import unittest
from collections import deque
from random import Random

from chivetrack.components.distribution.messages import EndpointLoad
from chivetrack.components.endpoints.const import FLEET_HOLD_S, FLEET_WINDOW_S
from chivetrack.components.endpoints.outcomes import HoldChange, OutcomeTable

ROUTERS = 87
STEP_S = 0.3
DELAY_STEPS = 2


class Fleet:
    """Routers that send to one endpoint and receive each other's counts 0.6 s late."""

    def __init__(self) -> None:
        self.random = Random(3)
        self.changes: list[HoldChange] = []
        self.tables = [
            OutcomeTable(random=Random(n), on_hold_change=self.changes.append)
            for n in range(ROUTERS)
        ]
        self.delayed_counts: deque[list[tuple[int, int]]] = deque(maxlen=DELAY_STEPS)
        self.now = 0.0
        self.sent = 0

    def send_requests(self, duration_s: float, *, ok: bool, per_s: float = 8.0) -> int:
        """Send requests through random routers and return how many reached the endpoint."""
        before = self.sent
        for _ in range(round(duration_s / STEP_S)):
            self.now += STEP_S
            for _ in range(round(per_s * STEP_S)):
                table = self.random.choice(self.tables)
                if table.lets_through("e1", self.now):
                    self.sent += 1
                    table.record_outcome("e1", ok=ok, now=self.now)
            self.exchange_counts()
        return self.sent - before

    def exchange_counts(self) -> None:
        self.delayed_counts.append([table.count_own("e1", self.now) for table in self.tables])
        counts = self.delayed_counts[0]
        answered = sum(own_answered for own_answered, _ in counts)
        failed = sum(own_failed for _, own_failed in counts)
        for table, own in zip(self.tables, counts, strict=True):
            load = EndpointLoad(
                endpoint_id="e1", running=0, answered=answered - own[0], failed=failed - own[1]
            )
            table.handle_peer_counts([load], now=self.now)


class OutcomeTableTest(unittest.TestCase):
    def test_crashed_endpoint_among_many_routers(self) -> None:
        """An engine that gets eight requests per second is down for six seconds.

        Each of 87 routers sends it one request in eleven seconds. With circuit breakers per
        router, all 48 requests would fail. With exchanged counts, the routers stop after 1.5 s
        except for a few probes, and resume soon after the engine answers again.
        """
        fleet = Fleet()
        self.assertEqual(fleet.send_requests(6.0, ok=True), 40)
        self.assertLessEqual(fleet.send_requests(6.0, ok=False), 20)
        self.assertTrue(any(change.is_held for change in fleet.changes))
        fleet.send_requests(6.0, ok=True)
        self.assertGreaterEqual(fleet.send_requests(3.0, ok=True), 18)

    def test_endpoint_that_fails_some_requests_keeps_the_rest(self) -> None:
        """Half of the requests fail; holding the endpoint back would fail the others too."""
        table = OutcomeTable(random=Random(1), on_hold_change=self.fail)
        for number in range(50):
            table.record_outcome("e1", ok=number % 2 == 0, now=0.1)
        self.assertTrue(table.lets_through("e1", 0.1))

    def test_few_failures_do_not_hold_back(self) -> None:
        table = OutcomeTable(random=Random(1), on_hold_change=self.fail)
        table.record_outcome("e1", ok=False, now=0.0)
        table.record_outcome("e1", ok=False, now=0.0)
        self.assertTrue(table.lets_through("e1", 0.1))

    def test_hold_ends_without_probes(self) -> None:
        """Without requests for the service, no probe can show that the endpoint has recovered."""
        table = OutcomeTable(random=Random(1), on_hold_change=lambda change: None)
        for _ in range(9):
            table.record_outcome("e1", ok=False, now=0.0)
        self.assertFalse(all(table.lets_through("e1", 0.1) for _ in range(9)))
        later = 0.1 + FLEET_WINDOW_S + FLEET_HOLD_S + 0.1
        self.assertTrue(all(table.lets_through("e1", later) for _ in range(9)))

    def test_new_incarnation_starts_without_counts(self) -> None:
        table = OutcomeTable(random=Random(1), on_hold_change=lambda change: None)
        for _ in range(9):
            table.record_outcome("e1", ok=False, now=0.0)
        table.forget("e1")
        self.assertTrue(all(table.lets_through("e1", 0.1) for _ in range(9)))
