"""Tests of crash counting and quarantine orders."""

import itertools
import random
import unittest

from chivetrack.components.quarantine.const import (
    CRASHES_TO_QUARANTINE,
    EVIDENCE_RETENTION_S,
    MAX_SUSPECTS,
    REPORT_DURATION_S,
)
from chivetrack.components.quarantine.evidence import CrashEvidence
from chivetrack.components.quarantine.models import (
    CrashReport,
    Quarantine,
    QuarantineOrder,
    ReleaseOrder,
)

POISON = b"p" * 16
LOSS_RATE = 0.3


def make_crash_report(fingerprint: bytes, endpoint_id: str, born: int = 0) -> CrashReport:
    return CrashReport(
        fingerprint=fingerprint,
        endpoint_id=endpoint_id,
        born=born,
        service="llm",
        path="/a/x",
        workspace="w",
    )


class EvidenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.evidence = CrashEvidence()

    def record(self, fingerprint: bytes, *incarnations: tuple[str, int], now: float = 0.0) -> bool:
        return self.evidence.record(
            (make_crash_report(fingerprint, *each) for each in incarnations), now=now
        )

    def list_due(self, quarantine: Quarantine | None = None) -> list[QuarantineOrder]:
        return self.evidence.list_due(quarantine or Quarantine(), at=5.0)

    def test_repeated_reports_of_one_crash_count_once(self) -> None:
        """Guards against counting retransmitted reports as separate crashes."""
        self.assertTrue(self.record(POISON, ("i-1", 0)))
        for _ in range(5):
            self.assertFalse(self.record(POISON, ("i-1", 0)))
        self.assertEqual(self.list_due(), [])

    def test_third_crash_makes_a_request_due(self) -> None:
        self.record(POISON, ("i-1", 0), ("i-2", 0))
        self.assertEqual(self.list_due(), [])
        self.record(POISON, ("i-3", 0))
        (order,) = self.list_due()
        self.assertEqual((order.fingerprint, order.crashes), (POISON, ("i-1", "i-2", "i-3")))

    def test_incarnations_with_the_same_id_count_separately(self) -> None:
        """Guards against missing crashes of an endpoint that restarts under the same id."""
        self.record(POISON, ("i-1", 1), ("i-1", 2), ("i-1", 3))
        self.assertEqual(len(self.list_due()), 1)

    def test_requests_running_concurrently_are_not_quarantined(self) -> None:
        """Guards against quarantining all requests that ran at a crashed endpoint."""
        for number in range(20):
            others = [bytes([number, other]) * 8 for other in range(30)]
            for fingerprint in (POISON, *others):
                self.record(fingerprint, (f"i-{number}", 0), now=float(number))
        self.assertEqual([order.fingerprint for order in self.list_due()], [POISON])

    def test_crashes_outside_the_retention_period_do_not_count(self) -> None:
        """Guards against quarantining a daily request because of unrelated crashes."""
        for day in range(10):
            self.record(POISON, (f"i-{day}", 0), now=day * 86_400.0)
        self.assertEqual(self.list_due(), [])
        self.assertGreater(86_400.0, EVIDENCE_RETENTION_S)

    def test_release_resets_the_count(self) -> None:
        """Guards against a delayed report that reverts an operator's release."""
        self.record(POISON, ("i-1", 0), ("i-2", 0), ("i-3", 0))
        (order,) = self.list_due()
        quarantine, _ = Quarantine().apply(order, 7)
        self.assertEqual(self.list_due(quarantine), [])
        quarantine, _ = quarantine.apply(ReleaseOrder(fingerprint=POISON), 8)
        self.evidence.reset_count(POISON)
        self.record(POISON, ("i-1", 0), ("i-2", 0), ("i-3", 0))
        self.assertEqual(self.list_due(quarantine), [])
        self.record(POISON, ("i-4", 0), ("i-5", 0))
        self.assertEqual(self.list_due(quarantine), [])
        self.record(POISON, ("i-6", 0))
        self.assertEqual(len(self.list_due(quarantine)), 1)

    def test_flood_of_distinct_requests_stays_bounded(self) -> None:
        """Guards against evicting a request with several crashes in favor of those with one."""
        self.record(POISON, ("i-1", 0), ("i-2", 0))
        for number in range(2 * MAX_SUSPECTS):
            self.record(number.to_bytes(16, "big"), (f"c-{number // 64}", 0))
        self.record(POISON, ("i-3", 0))
        self.assertEqual([order.fingerprint for order in self.list_due()], [POISON])
        self.assertLessEqual(len(self.evidence), MAX_SUSPECTS)

    def test_recent_reports_are_forwarded_for_a_limited_time(self) -> None:
        self.record(POISON, ("i-1", 0), now=1.0)
        self.assertEqual(len(self.evidence.list_recent(now=1.0 + REPORT_DURATION_S)), 1)
        self.assertEqual(self.evidence.list_recent(now=1.1 + REPORT_DURATION_S), ())


class SpreadTest(unittest.TestCase):
    def test_replicas_agree_despite_message_loss(self) -> None:
        """Guards against losing evidence when messages are lost or a replica restarts.

        Three routers see one crash each, 30 % of the messages are lost, and one replica
        loses its state.
        """
        for seed in range(50):
            random_source = random.Random(seed)
            replicas = [CrashEvidence() for _ in range(3)]
            reports = [[make_crash_report(POISON, f"i-{number}")] for number in range(3)]
            for step in range(int(2 * REPORT_DURATION_S / 0.3)):
                now = step * 0.3
                if step == 2:
                    replicas[0] = CrashEvidence()
                if now <= REPORT_DURATION_S:
                    for replica, report in zip(replicas, reports, strict=True):
                        if random_source.random() > LOSS_RATE:
                            replica.record(report, now=now)
                for source, target in itertools.permutations(replicas, 2):
                    if random_source.random() > LOSS_RATE:
                        target.record(source.list_recent(now=now), now=now)
            for replica in replicas:
                due = replica.list_due(Quarantine(), at=0.0)
                self.assertEqual(len(due), 1, f"seed {seed}")
                self.assertEqual(len(due[0].crashes), CRASHES_TO_QUARANTINE)


if __name__ == "__main__":
    unittest.main()
