"""Which document is in force after which entries of the log."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from chivetrack.components.document.store import DocumentStore, PutOutcome, StoredDocument
from chivetrack.helpers.codec import decode_as, encode


def put(store: DocumentStore, version: int, payload: bytes) -> PutOutcome:
    data = encode(StoredDocument(version=version, payload=payload))
    return decode_as(PutOutcome, store.apply(1, data))


class DocumentStoreTest(unittest.TestCase):
    def test_other_content_under_the_version_held(self) -> None:
        """Two operators send different documents under one version number.

        The first one is acknowledged and in force. The second is acknowledged too, since
        its version is not higher, and must change nothing: what is read back is the first.
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
    def test_against_an_oracle(self, documents: list[tuple[int, bytes]]) -> None:
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


if __name__ == "__main__":
    unittest.main()
