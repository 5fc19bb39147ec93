"""The announcement at the border."""

import unittest

from chivetrack.components.endpoints.announcement import parse_announcement
from chivetrack.components.endpoints.models import AnnouncedState

GOOD = {
    "id": "e-1",
    "incarnation": 3,
    "address": "http://10.0.0.1:8000",
    "kind": "engine",
    "service": "valuation",
    "region": "kyushu",
    "zone": "fukuoka-hall",
    "capacity": 8,
    "lease_s": 10,
    "models": ["m-1"],
}


class ParseAnnouncementTest(unittest.TestCase):
    def test_takes_a_good_one(self) -> None:
        parsed = parse_announcement(GOOD | {"state": "leaving"}).ok
        self.assertEqual(parsed.endpoint_id, "e-1")
        self.assertEqual(parsed.models, ("m-1",))
        self.assertIs(parsed.state, AnnouncedState.LEAVING)

    def test_names_each_fault_with_its_place(self) -> None:
        cases: list[tuple[object, set[str]]] = [
            ({}, set(GOOD) - {"models"}),
            (
                GOOD | {"capacity": 0, "lease_s": 600, "kind": "gpu"},
                {"capacity", "lease_s", "kind"},
            ),
            (GOOD | {"capacity": "8"}, {"capacity"}),
            (GOOD | {"address": "10.0.0.1:8000"}, {"address"}),
            (GOOD | {"id": "a b"}, {"id"}),
            (GOOD | {"incarnation": -1}, {"incarnation"}),
            (GOOD | {"capacitty": 1}, {"capacitty"}),
            (GOOD | {"models": ["m", 3]}, {"models.1"}),
            ("text", {"announcement"}),
            (None, {"announcement"}),
        ]
        for document, places in cases:
            with self.subTest(places=places):
                findings = parse_announcement(document).swap().ok
                self.assertEqual({finding.place for finding in findings}, places)

    def test_suggests_the_nearest_name(self) -> None:
        findings = parse_announcement(GOOD | {"capacitty": 1}).swap().ok
        self.assertEqual(findings[0].hint, "did you mean 'capacity'?")
