"""Tests of the replicated quarantine."""

import unittest

import msgspec

from chivetrack.components.quarantine.const import MAX_QUARANTINED
from chivetrack.components.quarantine.models import Quarantine, QuarantineOrder, ReleaseOrder
from chivetrack.helpers.codec import decode_as


def make_order(fingerprint: bytes = b"p", *, seen: int = 0) -> QuarantineOrder:
    return QuarantineOrder(
        fingerprint=fingerprint,
        crashes=("i-1", "i-2", "i-3"),
        service="llm",
        path="/a/x",
        workspace="w",
        seen_revision=seen,
        at=5.0,
    )


class QuarantineListTest(unittest.TestCase):
    def test_repeated_order_changes_nothing(self) -> None:
        once, first = Quarantine().apply(make_order(), 7)
        twice, second = once.apply(make_order(), 9)
        self.assertEqual((first.revision, first.is_applied), (7, True))
        self.assertEqual((second.revision, second.is_applied), (7, False))
        self.assertEqual(twice, once)

    def test_part_is_shown_to_operators(self) -> None:
        order = msgspec.structs.replace(make_order(), part="5eed")
        (quarantined,) = Quarantine().apply(order, 7)[0].requests
        self.assertEqual(quarantined.describe()["part"], "5eed")

    def test_entries_of_the_release_before_are_whole_requests(self) -> None:
        """Guards against a log or snapshot that can't be read after an upgrade."""
        data = msgspec.msgpack.encode([b"p", ["i-1"], "llm", "/a/x", "w", 0, 5.0])
        self.assertEqual(decode_as(QuarantineOrder, data).part, "")

    def test_order_made_before_a_release_is_ignored(self) -> None:
        """Guards against a delayed order that reverts an operator's release."""
        quarantined, _ = Quarantine().apply(make_order(), 7)
        released, outcome = quarantined.apply(ReleaseOrder(fingerprint=b"p"), 8)
        self.assertTrue(outcome.is_applied)
        late, outcome = released.apply(make_order(seen=7), 9)
        self.assertFalse(outcome.is_applied)
        self.assertIsNone(late.find(b"p"))
        again, _ = late.apply(make_order(seen=8), 10)
        self.assertIsNotNone(again.find(b"p"))

    def test_release_of_an_unknown_request_changes_nothing(self) -> None:
        quarantined, _ = Quarantine().apply(make_order(), 7)
        same, outcome = quarantined.apply(ReleaseOrder(fingerprint=b"q"), 8)
        self.assertEqual((same, outcome.is_applied), (quarantined, False))

    def test_list_stays_bounded(self) -> None:
        quarantine = Quarantine()
        for number in range(MAX_QUARANTINED + 5):
            quarantine, _ = quarantine.apply(make_order(b"%d" % number), number + 1)
        self.assertEqual(len(quarantine.requests), MAX_QUARANTINED)
        self.assertIsNone(quarantine.find(b"4"))
        self.assertIsNotNone(quarantine.find(b"5"))


if __name__ == "__main__":
    unittest.main()
