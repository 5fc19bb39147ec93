"""Tests of the lines and counters of refused requests."""

import json
import os
import unittest
from typing import Any
from unittest.mock import Mock

from chivetrack.components.limits.stopping import make_stopping_fault
from chivetrack.components.origins.models import Origin, OriginBasis, OriginVerdict
from chivetrack.components.traffic.requests import RequestFacts
from chivetrack.daemon.fleet.metrics import Metrics
from chivetrack.daemon.fleet.request_log import RequestLog
from chivetrack.helpers.events import EventLog
from tests.daemon.fleet.scripted import Caller, make_call, make_choice


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


class ContinuationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.metrics = Metrics(instance="r1", zone="z1")
        self.events = Mock()
        self.log = RequestLog(
            view=Mock(version=3),
            events=self.events,
            record_rejection=self.metrics.record_rejection,
            record_continuation=self.metrics.record_continuation,
        )

    def get_fields(self) -> dict[str, Any]:
        return dict(self.events.write.call_args.kwargs)

    def test_lines_tell_the_version_and_what_is_continued(self) -> None:
        """Guards against streams continued at another version that no line and counter shows."""
        facts = RequestFacts(request_id="q2", last_event_id="7", resumes="q1" * 99)
        call = make_call(Caller(), facts=facts, last_event_id="7")
        choice = make_choice("127.0.0.1:1")
        self.log.write_placed(call, choice)
        fields = self.get_fields()
        self.assertEqual((fields["software"], fields["last_event"]), ("v1", "7"))
        self.assertEqual(fields["resumes"], ("q1" * 99)[:64])
        call.take_up(OriginVerdict(origin=Origin("s", "v1"), basis=OriginBasis.TOLD, age_s=1.5))
        self.log.write_placed(call, choice)
        fields = self.get_fields()
        self.assertEqual((fields["known_by"], fields["known_s"]), ("told", 1.5))
        call.first_event_at = 1.0
        self.log.write_placed(call, choice)
        self.log.write_ended(call, "cut", now=2.0)
        self.assertEqual(self.get_fields()["began_at"], "v1")
        json.dumps(self.get_fields())
        _, text = self.metrics.open().render()
        lines = [one for one in text.decode().splitlines() if "stream_continuations_total{" in one]
        self.assertEqual(len(lines), 2)
        self.assertEqual(sum('by="caller",known_by="told"' in one for one in lines), 1)
        self.assertEqual(sum('by="router",known_by="told"' in one for one in lines), 1)


if __name__ == "__main__":
    unittest.main()
