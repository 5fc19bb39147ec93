"""Tests of the state after log entries and snapshots: document, zone orders, quarantine."""

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from chivetrack.components.document.store import (
    DocumentStore,
    PutOutcome,
    StoredDocument,
    decode_command,
    encode_command,
)
from chivetrack.components.evacuation.models import OrderOutcome, ZoneOrder
from chivetrack.components.quarantine.models import Quarantine
from chivetrack.helpers.codec import DecodeError, decode_as, encode
from tests.components.quarantine.test_models import make_order as make_quarantine_order


def put(store: DocumentStore, version: int, payload: bytes) -> PutOutcome:
    data = encode(StoredDocument(version=version, payload=payload))
    return decode_as(PutOutcome, store.apply(1, data))


def order(store: DocumentStore, index: int, zone: str, *, is_evacuated: bool) -> OrderOutcome:
    seen = store.evacuations.find(zone).revision
    command = ZoneOrder(zone=zone, is_evacuated=is_evacuated, seen_revision=seen, at=1.0)
    return decode_as(OrderOutcome, store.apply(index, encode_command(command)))


class ZoneOrderTest(unittest.TestCase):
    def test_order_is_kept_across_documents_and_snapshots(self) -> None:
        """A zone is evacuated, a new document is applied, and the log is compacted.

        A replica that starts from the snapshot must have both.
        """
        store = DocumentStore()
        self.assertTrue(order(store, 4, "z1", is_evacuated=True).is_in_force)
        put(store, 7, b"seven")
        other = DocumentStore()
        received: list[tuple[str, ...]] = []
        other.listen_to_evacuations(lambda one: received.append(one.list_evacuated()))
        other.restore_snapshot(store.take_snapshot())
        other.restore_snapshot(store.take_snapshot())
        self.assertEqual(other.current.version, 7)
        self.assertEqual(received, [("z1",)])

    def test_snapshot_of_an_older_state_reverts_no_order(self) -> None:
        store = DocumentStore()
        order(store, 4, "z1", is_evacuated=True)
        old = store.take_snapshot()
        order(store, 6, "z1", is_evacuated=False)
        store.restore_snapshot(old)
        self.assertEqual(store.evacuations.list_evacuated(), ())

    def test_folder_of_a_release_without_orders(self) -> None:
        """After an upgrade, a replica must decode the snapshot and entries of the old release."""
        old = StoredDocument(version=3, payload=b"three")
        store = DocumentStore()
        store.restore_snapshot(encode(old))
        self.assertEqual(store.current, old)
        self.assertEqual(decode_command(encode(old)), old)
        with self.assertRaises(DecodeError):
            decode_command(b"other")


class DocumentStoreTest(unittest.TestCase):
    def test_other_content_under_the_current_version(self) -> None:
        """Two operators send different documents with the same version number.

        The first document is acknowledged and takes effect. The second is acknowledged too,
        but must change nothing, since its version is not higher.
        """
        store = DocumentStore()
        self.assertEqual(put(store, 7, b"first"), PutOutcome(version=7, is_applied=True))
        self.assertEqual(put(store, 7, b"second"), PutOutcome(version=7, is_applied=False))
        self.assertEqual(store.current.payload, b"first")

    def test_snapshot_of_an_older_state(self) -> None:
        store = DocumentStore()
        put(store, 3, b"three")
        old = store.take_snapshot()
        put(store, 5, b"five")
        store.restore_snapshot(old)
        self.assertEqual(store.current.version, 5)
        other = DocumentStore()
        other.restore_snapshot(b"")
        self.assertEqual(other.current.version, 0)
        other.restore_snapshot(store.take_snapshot())
        self.assertEqual(other.current.payload, b"five")

    @given(st.lists(st.tuples(st.integers(1, 9), st.binary(max_size=2)), max_size=30))
    def test_against_a_model(self, documents: list[tuple[int, bytes]]) -> None:
        store = DocumentStore()
        seen: list[int] = []
        store.listen(lambda document: seen.append(document.version))
        first: dict[int, bytes] = {}
        for version, payload in documents:
            if version > max(first, default=0):
                first[version] = payload
            outcome = put(store, version, payload)
            self.assertEqual(outcome.version, max(first))
        self.assertEqual(seen, sorted(seen))
        if first:
            self.assertEqual(store.current.payload, first[max(first)])


class QuarantineTest(unittest.TestCase):
    def test_snapshot_keeps_the_quarantine(self) -> None:
        """Guards against losing the quarantine when a replica restores a snapshot."""
        store = DocumentStore()
        store.apply(4, encode_command(make_quarantine_order()))
        other = DocumentStore()
        seen: list[int] = []
        other.listen_to_quarantine(lambda quarantine: seen.append(quarantine.revision))
        other.restore_snapshot(store.take_snapshot())
        self.assertEqual(other.quarantine, store.quarantine)
        self.assertEqual(seen, [4])

    def test_snapshot_without_quarantine_field(self) -> None:
        """Guards against a replica that can't read an older snapshot after an upgrade."""
        older = msgspec.msgpack.encode([3, b"", [[]]])
        store = DocumentStore()
        store.restore_snapshot(older)
        self.assertEqual((store.current.version, store.quarantine), (3, Quarantine()))


if __name__ == "__main__":
    unittest.main()
