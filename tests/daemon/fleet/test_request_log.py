"""Tests of the lines and counters of refused requests."""

import os
import unittest
from unittest.mock import Mock

from chivetrack.components.limits.stopping import make_stopping_fault
from chivetrack.components.traffic.requests import RequestFacts
from chivetrack.daemon.fleet.metrics import Metrics
from chivetrack.daemon.fleet.request_log import RequestLog
from chivetrack.helpers.events import EventLog


class RejectionTest(unittest.TestCase):
    def test_rejected_requests_are_counted_by_code(self) -> None:
        """Guards against refusals in a stop that show in no counter."""
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        metrics = Metrics(instance="r1", zone="z1")
        log = RequestLog(
            view=Mock(version=3),
            events=EventLog(instance="r1", descriptor=writer),
            record_rejection=metrics.record_rejection,
        )
        fault = make_stopping_fault(do_others_accept=True, left_s=1.0)
        for _ in range(2):
            log.write_rejected(RequestFacts(request_id="q"), fault, path="/a")
        _, text = metrics.open().render()
        (line,) = (
            line
            for line in text.decode().splitlines()
            if line.startswith("chivetrack_router_rejections")
        )
        self.assertIn('code="instance_stopping"', line)
        self.assertIn('status="503"', line)
        self.assertTrue(line.endswith(" 2.0"), line)


if __name__ == "__main__":
    unittest.main()
