"""Tests the detection of two requests that crash endpoints during the same time."""

import unittest

from chivetrack.components.quarantine.const import CRASHES_TO_QUARANTINE
from chivetrack.components.quarantine.evidence import CrashEvidence
from chivetrack.components.quarantine.models import CrashReport, Quarantine


def make_report(name: str, incarnation: int) -> CrashReport:
    return CrashReport(
        fingerprint=name.encode(),
        endpoint_id=f"e{incarnation}",
        born=incarnation,
        service="llm",
        path="/",
        workspace="w",
    )


class TwoRequestsTest(unittest.TestCase):
    def test_both_are_quarantined_and_concurrent_requests_are_not(self) -> None:
        """Guards against losing endpoints when two requests crash them alternately.

        Harmless requests run at each crashing endpoint; some run again at the next one.
        """
        evidence = CrashEvidence()
        for incarnation in range(2 * CRASHES_TO_QUARANTINE):
            crashing = "first" if incarnation % 2 else "second"
            concurrent = [f"n{incarnation}-{number}" for number in range(20)]
            moved = [f"n{incarnation - 1}-{number}" for number in range(20)] if incarnation else []
            reports = [make_report(name, incarnation) for name in (crashing, *concurrent, *moved)]
            evidence.record(reports, now=float(incarnation))
        due = evidence.list_due(Quarantine(), at=10.0, now=10.0)
        self.assertEqual({order.fingerprint for order in due}, {b"first", b"second"})
        for order in due:
            self.assertEqual(len(order.crashes), CRASHES_TO_QUARANTINE)


if __name__ == "__main__":
    unittest.main()
