"""Tests of the deliveries of documents to routers."""

import unittest
import zlib

from chivetrack.components.distribution.const import DELIVERY_STALLED_S, DOCUMENT_RESEND_S
from chivetrack.components.distribution.document_feed import DocumentFeed
from chivetrack.components.distribution.pacing import Pacer
from chivetrack.components.document.history import DocumentHistory
from chivetrack.components.document.store import StoredDocument

ROUTER = "r1"
SLOW_S = 2 * DOCUMENT_RESEND_S


class StalledRouterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.feed = DocumentFeed(history=DocumentHistory(), pacer=Pacer(bytes_per_s=1e6))

    def put(self, version: int, *, held_version: int, now: float) -> None:
        """Make a document the newest and send it to the router."""
        body = b'{"version": %d}' % version
        document = StoredDocument(version=version, payload=zlib.compress(body))
        self.feed.history.set_current(document)
        self.feed.begin_version({ROUTER: held_version})
        self.assertEqual(len(self.feed.serve(now=now)), 1)

    def confirm(self, version: int, *, now: float) -> None:
        self.feed.record_version(ROUTER, version, is_stopping=False, now=now)

    def test_router_that_confirms_late_is_waited_for_later(self) -> None:
        """Guards against an acknowledgement that does not wait for a router in contact.

        Its confirmation of an earlier document came after that copy was given up.
        """
        self.put(2, held_version=1, now=0.0)
        self.confirm(2, now=SLOW_S)
        later = SLOW_S + 2 * DELIVERY_STALLED_S
        self.put(3, held_version=2, now=later)
        self.assertFalse(self.feed.is_stalled(ROUTER, now=later + SLOW_S))

    def test_router_that_confirms_nothing_is_stalled(self) -> None:
        self.put(2, held_version=1, now=0.0)
        self.confirm(1, now=SLOW_S)
        self.assertEqual(len(self.feed.serve(now=SLOW_S)), 1)
        self.assertFalse(self.feed.is_stalled(ROUTER, now=DELIVERY_STALLED_S))
        self.assertTrue(self.feed.is_stalled(ROUTER, now=DELIVERY_STALLED_S + 0.1))


if __name__ == "__main__":
    unittest.main()
