"""Tests of the records that wait until the metrics of a process are first read."""

import sys
import unittest

from chivetrack.daemon.fleet.metrics import Metrics
from tests.daemon.fleet.scripted import Caller, make_call


class PendingRecordTest(unittest.TestCase):
    def test_record_of_a_request_does_not_hold_the_request(self) -> None:
        """Guards against bodies that stay in memory until somebody reads the metrics."""
        metrics = Metrics(instance="r1", zone="z1")
        body = b"b" * 100
        holders = sys.getrefcount(body)
        metrics.record_end(make_call(Caller(), body=body), "answered")
        self.assertEqual(sys.getrefcount(body), holders)

    def test_record_is_counted_when_the_metrics_are_read(self) -> None:
        """Guards against requests that are not counted since nobody had read the metrics."""
        metrics = Metrics(instance="r1", zone="z1")
        metrics.record_end(make_call(Caller()), "answered")
        _, text = metrics.open().render()
        self.assertIn(b'outcome="answered"', text)


if __name__ == "__main__":
    unittest.main()
