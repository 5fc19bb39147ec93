"""Streams that callers take up at a router that has just started."""

import time
import unittest
from unittest import mock

from chivetrack.components.origins.const import LOOKUP_TIMEOUT_S
from chivetrack.components.origins.models import Origin, OriginBasis, OriginVerdict
from chivetrack.components.traffic.models import RouteKind
from chivetrack.daemon.fleet.const import START_WAIT_S
from tests.daemon.fleet.test_open_requests import LIMIT_S, OpenRequestCase

NO_MAJORITY = OriginVerdict(origin=None, basis=OriginBasis.NO_MAJORITY)
NO_RECORD = OriginVerdict(origin=None, basis=OriginBasis.NO_RECORD)
ONLY = OriginVerdict(origin=Origin("portal", "v1"), basis=OriginBasis.ONLY_VERSION)
REFUSED = (503, "stream_origin_unknown", "no")


class TakenUpTest(OpenRequestCase):
    kind = RouteKind.STREAM
    headers = (("Last-Event-Id", "7"), ("Resumes", "q0"))

    def setUp(self) -> None:
        super().setUp()
        self.configure()
        self.go_on.set()

    def take_up(self, *verdicts: OriginVerdict) -> None:
        self.origins.find.side_effect = verdicts
        self.start().join(LIMIT_S)

    def test_router_that_has_just_started_asks_again(self) -> None:
        """Guards against streams refused in the moment before a majority of replicas is reached."""
        self.take_up(NO_MAJORITY, NO_MAJORITY, ONLY)
        self.assertEqual((self.caller.status, len(self.sent)), (200, 1))

    def test_replicas_without_their_memory_are_not_flooded(self) -> None:
        """Guards against a flood of lookups while replicas answer at once.

        After a loss of all disks, each take-up would ask a hundred times.
        """
        began = time.monotonic()
        self.origins.find.return_value = NO_MAJORITY
        self.start().join(LIMIT_S)
        self.check(REFUSED, sent=0)
        took_s = time.monotonic() - began
        self.assertLessEqual(self.origins.find.call_count, 1 + took_s / LOOKUP_TIMEOUT_S)

    def test_what_is_known_is_refused_at_once(self) -> None:
        """Guards against callers who wait for an answer that won't change."""
        self.take_up(NO_RECORD, ONLY)
        self.check(REFUSED, sent=0)

    def test_router_that_has_run_for_a_while_asks_once(self) -> None:
        """Guards against callers who wait at a router that is cut off from the replicas."""
        later = time.monotonic() + START_WAIT_S
        with mock.patch("chivetrack.daemon.fleet.requests.time.monotonic", return_value=later):
            self.take_up(NO_MAJORITY, ONLY)
        self.check(REFUSED, sent=0)


if __name__ == "__main__":
    unittest.main()
