"""Tests of endpoint crash detection."""

import unittest
from collections.abc import Sequence
from typing import cast

import gevent

from chivetrack.components.announcements.models import EndpointRecord, EndpointState
from chivetrack.components.quarantine.models import CrashReport
from chivetrack.components.traffic.requests import RequestFacts
from chivetrack.daemon.fleet import crashes as crashes_module
from chivetrack.daemon.fleet.calls import Call
from chivetrack.daemon.fleet.crashes import CrashDetector, ProbeResult, probe_address
from chivetrack.helpers.events import EventLog
from tests.daemon.fleet.scripted import ScriptedEndpoint


def make_record(endpoint_id: str = "i-1", born: int = 1) -> EndpointRecord:
    return EndpointRecord(
        endpoint_id=endpoint_id,
        born=born,
        sequence=1,
        service="portal",
        address="127.0.0.1:9",
        zone="z1",
        software="v1",
        slots=8,
        state=EndpointState.READY,
    )


class FakeCall:
    facts = RequestFacts(request_id="q")

    def make_crash_reports(self, record: EndpointRecord) -> list[CrashReport]:
        report = CrashReport(
            fingerprint=b"f",
            endpoint_id=record.endpoint_id,
            born=record.born,
            service=record.service,
            path="/a/x",
            workspace="w",
        )
        return [report]


class CrashDetectorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.crashes: list[tuple[str, int]] = []
        self.probed: list[str] = []
        self.is_lost_or_replaced = False

    def make_detector(self, result: ProbeResult) -> CrashDetector:
        def probe(address: str) -> ProbeResult:
            self.probed.append(address)
            return result

        def record_crash(reports: Sequence[CrashReport]) -> None:
            self.crashes.append((reports[0].endpoint_id, len(reports)))

        return CrashDetector(
            events=EventLog(instance="r"),
            on_crash=record_crash,
            is_lost_or_replaced=lambda record: self.is_lost_or_replaced,
            probe=probe,
        )

    def break_answers(self, detector: CrashDetector, *records: EndpointRecord) -> None:
        for record in records:
            detector.record_broken_answer(cast(Call, FakeCall()), record)
        gevent.sleep(0.1)

    def test_one_probe_covers_all_broken_answers_of_an_endpoint(self) -> None:
        self.break_answers(
            self.make_detector(ProbeResult.REFUSED), *[make_record()] * 5, make_record("i-2")
        )
        self.assertEqual(sorted(self.crashes), [("i-1", 5), ("i-2", 1)])
        self.assertEqual(len(self.probed), 2)

    def test_incarnations_of_one_endpoint_id_are_separate(self) -> None:
        detector = self.make_detector(ProbeResult.REFUSED)
        self.break_answers(detector, make_record(born=1), make_record(born=2))
        self.assertEqual(self.crashes, [("i-1", 1), ("i-1", 1)])

    def test_reset_connection_to_a_running_endpoint_is_no_crash(self) -> None:
        """Guards against counting a connection reset as a crash."""
        self.break_answers(self.make_detector(ProbeResult.ACCEPTED), make_record())
        self.assertEqual(self.crashes, [])

    def test_unreachable_endpoint_is_no_crash(self) -> None:
        """Guards against counting a network partition as a crash."""
        self.break_answers(self.make_detector(ProbeResult.UNKNOWN), make_record())
        self.assertEqual(self.crashes, [])

    def test_replaced_endpoint_has_crashed(self) -> None:
        """Guards against missing the crash of an endpoint whose port accepts the probe."""
        detector = self.make_detector(ProbeResult.ACCEPTED)
        self.break_answers(detector, make_record(born=1), make_record(born=1))
        detector.handle_incarnation_end("i-1", 7, False)
        self.assertEqual(self.crashes, [])
        detector.handle_incarnation_end("i-1", 1, False)
        detector.handle_incarnation_end("i-1", 1, False)
        self.assertEqual(self.crashes, [("i-1", 2)])

    def test_endpoint_replaced_before_the_probe_has_crashed(self) -> None:
        """Guards against waiting for the end of an incarnation that has already ended."""
        self.is_lost_or_replaced = True
        self.break_answers(self.make_detector(ProbeResult.ACCEPTED), make_record())
        self.assertEqual(self.crashes, [("i-1", 1)])

    def test_endpoint_that_leaves_has_not_crashed(self) -> None:
        """Guards against counting a planned stop that breaks answers as a crash."""
        detector = self.make_detector(ProbeResult.ACCEPTED)
        self.break_answers(detector, make_record(born=1))
        detector.handle_incarnation_end("i-1", 1, True)
        detector.handle_incarnation_end("i-1", 1, False)
        self.assertEqual(self.crashes, [])

    def test_incarnation_end_after_the_confirmation_window_is_no_crash(self) -> None:
        """Guards against attributing an unrelated later restart to a request."""
        self.addCleanup(setattr, crashes_module, "CONFIRMATION_WINDOW_S", 10.0)
        crashes_module.CONFIRMATION_WINDOW_S = 0.05
        detector = self.make_detector(ProbeResult.UNKNOWN)
        self.break_answers(detector, make_record(born=1))
        detector.handle_incarnation_end("i-1", 1, False)
        self.assertEqual(self.crashes, [])


class ProbeAddressTest(unittest.TestCase):
    def test_open_and_closed_port(self) -> None:
        endpoint = ScriptedEndpoint()
        self.assertIs(probe_address(endpoint.address), ProbeResult.ACCEPTED)
        endpoint.stop()
        self.assertIs(probe_address(endpoint.address), ProbeResult.REFUSED)


if __name__ == "__main__":
    unittest.main()
