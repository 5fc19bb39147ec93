"""Tests of request fingerprints."""

import unittest

from chivetrack.components.quarantine.fingerprint import make_fingerprint


class FingerprintTest(unittest.TestCase):
    def make_fingerprint(self, **changes: str | bytes) -> bytes:
        fields = {"method": "POST", "target": "/a/x?page=1", "workspace": "w", "body": b"b"}
        return make_fingerprint(**(fields | changes))  # type: ignore[arg-type]

    def test_equal_requests(self) -> None:
        self.assertEqual(self.make_fingerprint(), self.make_fingerprint())

    def test_each_field_changes_the_fingerprint(self) -> None:
        others = [
            self.make_fingerprint(method="PUT"),
            self.make_fingerprint(target="/a/x?page=2"),
            self.make_fingerprint(workspace="v"),
            self.make_fingerprint(body=b"c"),
        ]
        self.assertEqual(len({self.make_fingerprint(), *others}), 5)

    def test_field_boundaries_are_part_of_the_fingerprint(self) -> None:
        """Guards against forging the fingerprint of another workspace's request."""
        self.assertNotEqual(
            self.make_fingerprint(target="/a/xw", workspace=""),
            self.make_fingerprint(target="/a/x", workspace="w"),
        )
        self.assertNotEqual(
            self.make_fingerprint(workspace="wb", body=b""), self.make_fingerprint()
        )
