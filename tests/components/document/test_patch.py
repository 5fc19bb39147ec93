"""Tests of patches between versions of a document, and of the history."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from chivetrack.components.document.history import MAX_KEPT_VERSIONS, DocumentHistory
from chivetrack.components.document.patch import apply_patch, make_patch
from chivetrack.components.document.store import StoredDocument, pack_document

_TEXTS = st.lists(st.sampled_from([b"{a}", b"{b}", b"{cc", b"}", b"", b"x{a}"])).map(b"".join)


class PatchTest(unittest.TestCase):
    @given(_TEXTS, _TEXTS)
    def test_any_two_texts(self, old: bytes, new: bytes) -> None:
        self.assertEqual(apply_patch(old, make_patch(old, new)).ok, new)

    def test_wrong_base_and_damaged_bytes_are_errors(self) -> None:
        """A patch applied to another version than its base must not produce a document."""
        patch = make_patch(b"{a}{b}", b"{a}{c}{b}")
        self.assertTrue(apply_patch(b"{x}{b}", patch).is_error())
        self.assertTrue(apply_patch(b"", patch).is_error())
        self.assertTrue(apply_patch(b"{a}{b}", patch[:-3]).is_error())
        self.assertTrue(apply_patch(b"{a}{b}", b"").is_error())


class DocumentHistoryTest(unittest.TestCase):
    def test_router_with_an_old_version_gets_the_whole_document(self) -> None:
        history = DocumentHistory()
        for version in range(1, MAX_KEPT_VERSIONS + 3):
            body = b"".join(b"{%d}" % n for n in range(900)) + b"{v%d}" % version
            history.set_current(StoredDocument(version=version, payload=pack_document(body)))
        newest = MAX_KEPT_VERSIONS + 2
        self.assertIsNone(history.make_update(newest))
        for held, base in ((newest - 1, newest - 1), (1, 0), (0, 0)):
            update = history.make_update(held)
            assert update is not None
            self.assertEqual((update.version, update.base_version), (newest, base))
