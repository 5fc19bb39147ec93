"""Validation of announcements."""

import unittest

from chivetrack.components.endpoints.announcement import parse_announcement
from chivetrack.components.endpoints.models import AnnouncedState

VALID = {
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
    def test_accepts_valid_announcement(self) -> None:
        parsed = parse_announcement(VALID | {"state": "leaving"}).ok
        self.assertEqual(parsed.endpoint_id, "e-1")
        self.assertEqual(parsed.models, ("m-1",))
        self.assertIs(parsed.state, AnnouncedState.LEAVING)

    def test_reports_each_error_with_its_path(self) -> None:
        cases: list[tuple[object, set[str]]] = [
            ({}, set(VALID) - {"models"}),
            (
                VALID | {"capacity": 0, "lease_s": 600, "kind": "gpu"},
                {"capacity", "lease_s", "kind"},
            ),
            (VALID | {"capacity": "8"}, {"capacity"}),
            (VALID | {"address": "10.0.0.1:8000"}, {"address"}),
            (VALID | {"id": "a b"}, {"id"}),
            (VALID | {"incarnation": -1}, {"incarnation"}),
            (VALID | {"capacitty": 1}, {"capacitty"}),
            (VALID | {"models": ["m", 3]}, {"models.1"}),
            ("text", {"announcement"}),
            (None, {"announcement"}),
        ]
        for document, places in cases:
            with self.subTest(places=places):
                findings = parse_announcement(document).swap().ok
                self.assertEqual({finding.place for finding in findings}, places)

    def test_suggests_similar_field_name(self) -> None:
        findings = parse_announcement(VALID | {"capacitty": 1}).swap().ok
        self.assertEqual(findings[0].hint, "did you mean 'capacity'?")
