"""Tests of the crash reports that a router sends."""

import unittest

from chivetrack.components.quarantine.const import (
    ANSWERED_RETENTION_S,
    MAX_REPORTED,
    REPORT_DURATION_S,
)
from chivetrack.components.quarantine.crash_reports import RecentCrashes
from tests.components.quarantine.test_evidence import make_crash_report


class RecentCrashesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reports = RecentCrashes()

    def test_crash_is_reported_for_a_limited_time(self) -> None:
        self.reports.record_crash([make_crash_report(b"p", "i-1")], now=1.0)
        self.assertEqual(len(self.reports.list_current(now=1.0 + REPORT_DURATION_S)), 1)
        self.assertEqual(self.reports.list_current(now=1.1 + REPORT_DURATION_S), ())

    def test_recently_answered_request_is_not_reported(self) -> None:
        """Guards against quarantining a frequent poll that runs at every crashing endpoint."""
        self.reports.record_answered(b"poll", now=1.0)
        self.reports.record_crash([make_crash_report(b"poll", "i-1")], now=2.0)
        self.assertEqual(self.reports.list_current(now=2.0), ())
        late = 2.0 + ANSWERED_RETENTION_S
        self.reports.record_crash([make_crash_report(b"poll", "i-2")], now=late)
        self.assertEqual(len(self.reports.list_current(now=late)), 1)

    def test_reports_of_one_crash_stay_bounded(self) -> None:
        reports = [make_crash_report(b"%d" % number, "i-1") for number in range(2 * MAX_REPORTED)]
        self.reports.record_crash(reports, now=1.0)
        self.assertEqual(len(self.reports.list_current(now=1.0)), MAX_REPORTED)


if __name__ == "__main__":
    unittest.main()
