"""Endpoints that may get requests after zone orders, announcements and refused permits."""

import unittest

from chivetrack.components.announcements.directory import EndpointDirectory
from chivetrack.components.announcements.models import EndpointState
from chivetrack.components.evacuation.models import Evacuations, ZoneState
from tests.components.announcements.test_table import make_record


def make_evacuations(revision: int, **zones: bool) -> Evacuations:
    return Evacuations(
        zones=tuple(
            ZoneState(zone=zone, is_evacuated=is_evacuated, revision=revision, since=0.0)
            for zone, is_evacuated in zones.items()
        )
    )


class EndpointDirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.directory = EndpointDirectory()

    def merge(self, sequence: int, endpoint_id: str, zone: str, cold_s: float = 0.0) -> None:
        record = make_record(sequence, endpoint_id=endpoint_id, zone=zone, cold_s=cold_s)
        self.directory.table.merge(record, now=0.0)
        self.directory.apply_changes(now=0.0)

    def list_open(self, now: float = 0.0, passed_over: tuple[str, ...] = ()) -> list[str]:
        partition = self.directory.partition(
            "llm", passed_over=passed_over, is_limited=True, now=now
        )
        self.resting = [record.endpoint_id for record in partition.resting]
        return [record.endpoint_id for record in partition.open]

    def test_draining_endpoint_is_only_a_source(self) -> None:
        self.merge(1, "e1", "z1")
        record = make_record(2, zone="z1", state=EndpointState.DRAINING)
        self.directory.table.merge(record, now=0.0)
        self.assertEqual(
            [record.state for record in self.directory.apply_changes(now=0.0)], ["draining"]
        )
        self.assertEqual(self.directory.apply_changes(now=0.0), ())
        self.assertTrue(self.directory.is_empty)
        self.assertEqual(len(self.directory.list_sources("llm")), 1)

    def test_departure_announced_in_an_answer(self) -> None:
        """Guards against an answer of an old incarnation excluding its successor."""
        self.merge(1, "e1", "z1")
        record = make_record(1, zone="z1")
        self.assertTrue(self.directory.record_leaving(record))
        self.assertFalse(self.directory.record_leaving(record))
        self.assertEqual(self.list_open(), [])
        self.assertEqual(len(self.directory.list_sources("llm")), 1)
        successor = make_record(1, zone="z1", born=record.born + 1)
        self.directory.table.merge(successor, now=0.0)
        self.directory.apply_changes(now=0.0)
        self.assertFalse(self.directory.record_leaving(record))
        self.assertEqual(self.list_open(), ["e1"])

    def test_paused_endpoint_rests_until_pause_ends(self) -> None:
        """Guards against paused endpoints being excluded from the mean load of the service."""
        for number in (1, 2):
            self.merge(1, f"e{number}", "z1")
        record = make_record(1, zone="z1")
        self.directory.record_pause(record, until=5.0)
        self.directory.record_pause(record, until=3.0)
        self.assertEqual((self.list_open(now=4.9), self.resting), (["e2"], ["e1"]))
        self.assertEqual(self.directory.find_shortest_pause("llm", 4.0), 0.0)
        self.directory.record_pause(make_record(1, endpoint_id="e2", zone="z1"), until=6.0)
        self.assertEqual(self.list_open(now=4.0), [])
        self.assertEqual(self.directory.find_shortest_pause("llm", 4.0), 1.0)
        self.assertEqual((self.list_open(now=5.0), self.resting), (["e1"], ["e2"]))

    def test_endpoint_that_appears_in_an_evacuated_zone(self) -> None:
        """Endpoints that a release starts in an evacuated zone must not get requests."""
        self.assertTrue(self.directory.apply_evacuations(make_evacuations(4, z1=True), now=0.0))
        self.merge(1, "e1", "z1")
        self.assertEqual(self.list_open(), [])
        self.assertFalse(self.directory.apply_evacuations(make_evacuations(3, z1=False), now=0.0))
        self.assertEqual(self.list_open(), [])
        self.assertEqual(self.resting, ["e1"])

    def test_cold_endpoints_after_refusals(self) -> None:
        """An endpoint that refused a permit is excluded until its retry time.

        After two refusals of one request, all cold endpoints are excluded.
        """
        for number in (1, 2, 3):
            self.merge(1, f"e{number}", "z1", cold_s=3.0)
        self.merge(1, "e4", "z1")
        self.directory.cold.record_refusal("e1", until=1.0)
        self.assertEqual(self.list_open(), ["e2", "e3", "e4"])
        self.assertEqual(self.list_open(passed_over=("e2",)), ["e3", "e4"])
        self.assertEqual(self.list_open(passed_over=("e1", "e2")), ["e4"])
        self.assertEqual(self.resting, ["e1", "e2", "e3"])
        self.assertEqual(self.list_open(now=1.0), ["e1", "e2", "e3", "e4"])


if __name__ == "__main__":
    unittest.main()
