"""Tests of a replica's evidence of crashes over restarts."""

import time
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

import gevent

from chivetrack.components.quarantine import evidence
from chivetrack.components.quarantine.const import (
    CRASHES_TO_QUARANTINE_PART,
    PART_EVIDENCE_RETENTION_S,
)
from chivetrack.components.quarantine.evidence import CrashEvidence
from chivetrack.components.quarantine.fingerprint import make_service_fingerprint
from chivetrack.components.quarantine.models import (
    AnsweredReport,
    Quarantine,
    QuarantineOrder,
    ReleaseOrder,
)
from chivetrack.daemon.fleet import quarantine_host
from chivetrack.daemon.fleet.quarantine_host import QuarantineHost
from chivetrack.helpers.events import EventLog
from tests.components.quarantine.test_evidence import PART, make_part_report

WRITE_DELAY_S = 0.01
WRITE_TIMEOUT_S = 5.0
SERVICE = make_service_fingerprint("llm")


class QuarantineHostTest(unittest.TestCase):
    """A leading replica whose orders take effect at once."""

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(TemporaryDirectory(prefix="chivetrack-")))
        self.enterContext(mock.patch.object(quarantine_host, "_WRITE_DELAY_S", WRITE_DELAY_S))
        self.enterContext(mock.patch.object(evidence, "ASK_DURATION_S", 0.0))
        self.quarantine = Quarantine()
        self.orders: list[QuarantineOrder] = []
        self.crashes = 0
        self.start()
        self.addCleanup(lambda: self.wait_written())

    def start(self) -> None:
        """Start a process of the replica with the disk of the one before."""
        self.evidence = CrashEvidence()
        self.host = QuarantineHost(
            folder=self.folder,
            evidence=self.evidence,
            is_leader=lambda: True,
            get_quarantine=lambda: self.quarantine,
            order=self.orders.append,
            events=EventLog(instance="p1"),
        )
        self.host.load()

    def restart(self) -> None:
        self.wait_written()
        self.start()
        self.host.handle_quarantine(self.quarantine)

    def wait_written(self) -> None:
        """Wait until a write that began after the last change has ended."""
        with gevent.Timeout(WRITE_TIMEOUT_S):
            while self.host.is_storing:
                gevent.sleep(WRITE_DELAY_S)

    def crash(self, count: int) -> None:
        for _ in range(count):
            self.crashes += 1
            report = make_part_report(f"i-{self.crashes}", b"%d" % self.crashes)
            self.evidence.record([report], now=time.monotonic())
        self.evidence.record_answered([AnsweredReport(SERVICE, 1.0)], now=time.monotonic())
        self.host.order_due()

    def list_held(self) -> set[str]:
        """Return the parts that have been ordered to be held."""
        self.host.order_due()
        gevent.sleep(0)
        return {order.part for order in self.orders}

    def apply(self, command: QuarantineOrder | ReleaseOrder) -> None:
        self.quarantine, _ = self.quarantine.apply(command, self.quarantine.revision + 1)

    def test_crashes_count_although_all_processes_were_killed_between(self) -> None:
        """Guards against a part that ends endpoints again after each loss of all memory."""
        for _ in range(CRASHES_TO_QUARANTINE_PART):
            self.assertEqual(self.list_held(), set())
            self.crash(1)
            self.restart()
        self.assertEqual(self.list_held(), {"5eed"})

    def test_answer_counts_although_its_router_and_the_replica_were_killed(self) -> None:
        """Guards against a sound part held since the answers to it were forgotten."""
        self.crash(CRASHES_TO_QUARANTINE_PART - 1)
        self.evidence.record_answered([AnsweredReport(PART, 0.0)], now=time.monotonic())
        self.host.order_due()
        self.restart()
        self.crash(1)
        self.assertEqual(self.list_held(), set())

    def test_crashes_are_as_old_after_a_restart_as_before(self) -> None:
        """Guards against a part held for unrelated crashes of hours."""
        self.crash(CRASHES_TO_QUARANTINE_PART - 1)
        self.wait_written()
        later = time.time() + PART_EVIDENCE_RETENTION_S
        with mock.patch("chivetrack.daemon.fleet.state_file.time.time", return_value=later):
            self.start()
        self.crash(1)
        self.assertEqual(self.list_held(), set())

    def test_released_part_does_not_come_back_with_a_restart(self) -> None:
        """Guards against a release that is undone by the crashes on a replica's disk."""
        self.crash(CRASHES_TO_QUARANTINE_PART)
        self.list_held()
        self.apply(self.orders[0])
        self.orders.clear()
        self.host.handle_quarantine(self.quarantine)
        self.apply(ReleaseOrder(PART))
        self.host.handle_quarantine(self.quarantine)
        self.restart()
        self.assertEqual(self.list_held(), set())

    def test_part_held_and_released_while_a_replica_was_down_does_not_come_back(self) -> None:
        """Guards against a release undone by a replica that has not seen it."""
        self.crash(CRASHES_TO_QUARANTINE_PART)
        self.list_held()
        self.wait_written()
        self.apply(self.orders[0])
        self.orders.clear()
        self.apply(ReleaseOrder(PART))
        self.restart()
        self.assertEqual(self.list_held(), set())

    def test_log_applied_again_after_a_restart_keeps_the_count(self) -> None:
        """Guards against older states of the list that are taken for releases."""
        self.crash(CRASHES_TO_QUARANTINE_PART)
        self.list_held()
        self.apply(self.orders[0])
        self.orders.clear()
        self.host.handle_quarantine(self.quarantine)
        self.wait_written()
        self.start()
        self.host.handle_quarantine(Quarantine())
        self.host.handle_quarantine(self.quarantine)
        self.quarantine = Quarantine()
        self.assertEqual(self.list_held(), {"5eed"})


if __name__ == "__main__":
    unittest.main()
