"""Tests of the crash reports that a router sends."""

import unittest

from chivetrack.components.quarantine.const import (
    ANSWERED_RETENTION_S,
    MAX_ANSWERED,
    MAX_REPORTED,
    REPORT_DURATION_S,
    RESEND_WINDOW_S,
)
from chivetrack.components.quarantine.crash_reports import RecentCrashes
from chivetrack.components.quarantine.models import AnsweredReport
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
        self.reports.record_answered([b"poll"], now=1.0)
        self.reports.record_crash([make_crash_report(b"poll", "i-1")], now=2.0)
        self.assertEqual(self.reports.list_current(now=2.0), ())
        late = 2.0 + ANSWERED_RETENTION_S
        self.reports.record_crash([make_crash_report(b"poll", "i-2")], now=late)
        self.assertEqual(len(self.reports.list_current(now=late)), 1)

    def test_reports_are_sent_again_to_a_replica_that_has_forgotten(self) -> None:
        """Guards against crashes that are forgotten with the replicas that have counted them."""
        self.reports.record_crash([make_crash_report(b"p", "i-1")], now=1.0)
        self.reports.report_again(now=1.0 + RESEND_WINDOW_S)
        (report,) = self.reports.list_current(now=1.0 + RESEND_WINDOW_S)
        self.assertEqual(report.age_s, RESEND_WINDOW_S)
        self.reports.report_again(now=2.0 + RESEND_WINDOW_S)
        self.assertEqual(self.reports.list_current(now=2.0 + RESEND_WINDOW_S), ())

    def test_answers_are_reported_for_what_is_asked(self) -> None:
        self.reports.record_answered([b"a", b"b"], now=1.0)
        answered = self.reports.list_answered([b"b", b"c"], now=3.0)
        self.assertEqual(answered, (AnsweredReport(b"b", 2.0),))

    def test_answered_requests_stay_bounded(self) -> None:
        for number in range(2 * MAX_ANSWERED):
            self.reports.record_answered([b"%d" % number], now=1.0)
        newest = [b"%d" % (2 * MAX_ANSWERED - 1), b"0"]
        self.assertEqual(len(self.reports.list_answered(newest, now=1.0)), 1)

    def test_reports_of_one_crash_stay_bounded(self) -> None:
        reports = [make_crash_report(b"%d" % number, "i-1") for number in range(2 * MAX_REPORTED)]
        self.reports.record_crash(reports, now=1.0)
        self.assertEqual(len(self.reports.list_current(now=1.0)), MAX_REPORTED)


if __name__ == "__main__":
    unittest.main()
