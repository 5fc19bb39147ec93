"""Tests of endpoint crash detection."""

import unittest
from typing import Any, cast

import gevent

from chivetrack.components.announcements.models import EndpointRecord, EndpointState
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
    fingerprint = b"f"


class CrashDetectorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.crashes: list[tuple[str, int]] = []
        self.probed: list[str] = []

    def make_detector(self, result: ProbeResult) -> CrashDetector:
        def probe(address: str) -> ProbeResult:
            self.probed.append(address)
            return result

        def note(record: EndpointRecord, calls: Any) -> None:
            self.crashes.append((record.endpoint_id, len(calls)))

        return CrashDetector(events=EventLog(instance="r"), note_crash=note, probe=probe)

    def break_answers(self, detector: CrashDetector, *records: EndpointRecord) -> None:
        for record in records:
            detector.note_broken_answer(cast(Call, FakeCall()), record)
        gevent.sleep(0.1)

    def test_one_probe_covers_all_broken_answers_of_an_endpoint(self) -> None:
        self.break_answers(
            self.make_detector(ProbeResult.REFUSED), *[make_record()] * 5, make_record("i-2")
        )
        self.assertEqual(sorted(self.crashes), [("i-1", 5), ("i-2", 1)])
        self.assertEqual(len(self.probed), 2)

    def test_lifetimes_of_one_endpoint_id_are_separate(self) -> None:
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


class ProbeAddressTest(unittest.TestCase):
    def test_open_and_closed_port(self) -> None:
        endpoint = ScriptedEndpoint()
        self.assertIs(probe_address(endpoint.address), ProbeResult.ACCEPTED)
        endpoint.stop()
        self.assertIs(probe_address(endpoint.address), ProbeResult.REFUSED)


if __name__ == "__main__":
    unittest.main()
