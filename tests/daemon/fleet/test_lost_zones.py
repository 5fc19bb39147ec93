"""Tests of how a router finds out that it does not reach a zone, and that it does again."""

import unittest
from unittest.mock import patch

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.upstream.connection import (
    ConnectTimeoutError,
    EndpointConnection,
    NotSentError,
)
from chivetrack.components.upstream.idle_connections import IdleConnections
from chivetrack.daemon.fleet.dialer import Dialer
from chivetrack.daemon.fleet.paths import EndpointPaths
from tests.components.announcements.test_table import make_record
from tests.daemon.fleet.test_open_requests import Events

RECORDS = tuple(make_record(endpoint_id=f"e{n}", zone=f"z{n % 2}") for n in range(4))


class LostZoneCase(unittest.TestCase):
    avoids_lost_zones = True

    def setUp(self) -> None:
        self.events = Events()
        self.paths = EndpointPaths(
            list_endpoints=lambda service: RECORDS,
            list_all_endpoints=lambda: RECORDS,
            avoids_lost_zones=self.avoids_lost_zones,
            do_others_reach=lambda endpoint_id: False,
            request_carriers=lambda: None,
            events=self.events,
        )
        self.dialer = Dialer(
            idle_connections=IdleConnections(read_clock=lambda: 0.0),
            paths=self.paths,
            events=self.events,
            count_carried=lambda is_connected: None,
            spawn=lambda function, *arguments: None,
        )

    def dial_in_vain(self, record: EndpointRecord, error: Exception) -> None:
        with (
            patch.object(EndpointConnection, "connect", side_effect=error),
            self.assertRaises(NotSentError),
        ):
            self.dialer.connect(record, request_id="q", timeout_s=1.0)

    def lose_zone(self) -> None:
        for record in (RECORDS[0], RECORDS[2]):
            self.dial_in_vain(record, ConnectTimeoutError("no answer"))
        self.assertEqual(self.paths.list_lost_zones(), {"z0"})

    def probe(self, error: Exception | None) -> None:
        with patch("chivetrack.daemon.fleet.paths.open_socket", side_effect=error):
            self.paths._probe_zone("z0")


class LostZoneTest(LostZoneCase):
    def test_connections_that_time_out(self) -> None:
        """Guards against requests that wait for each endpoint of a zone that is cut off."""
        self.lose_zone()
        (event,) = [one for one in self.events.written if one["event"] == "zone_path_changed"]
        self.assertEqual((event["zone"], event["state"]), ("z0", "lost"))

    def test_refused_connections_lose_no_zone(self) -> None:
        """Guards against crashed endpoints that are taken for a lost zone."""
        for record in (RECORDS[0], RECORDS[2]):
            self.dial_in_vain(record, NotSentError("refused"))
        self.assertEqual(self.paths.list_lost_zones(), frozenset())

    def test_requests_that_are_not_acknowledged(self) -> None:
        """Guards against open connections into a cut zone that keep it in use."""
        for record in (RECORDS[0], RECORDS[2]):
            self.dialer.record_unacknowledged(record, "")
        self.assertEqual(self.paths.list_lost_zones(), {"z0"})

    def test_carried_connection_says_nothing_of_the_own_path(self) -> None:
        """Guards against a zone that is lost since a carrier does not reach it."""
        for record in (RECORDS[0], RECORDS[2]):
            self.dialer.record_unacknowledged(record, "carrier")
        self.assertEqual(self.paths.list_lost_zones(), frozenset())

    def test_answer_through_a_carrier_ends_nothing(self) -> None:
        """Guards against a zone that counts as reached since a carrier reaches it."""
        self.lose_zone()
        self.dialer.record_answer(RECORDS[0], "carrier")
        self.assertEqual(self.paths.list_lost_zones(), {"z0"})
        self.dialer.record_answer(RECORDS[0], "")
        self.assertEqual(self.paths.list_lost_zones(), frozenset())

    def test_probe_that_is_answered_ends_it(self) -> None:
        """Guards against a zone that stays unused after the cut has ended."""
        for error in (None, NotSentError("refused")):
            self.lose_zone()
            self.probe(error)
            self.assertEqual(self.paths.list_lost_zones(), frozenset())

    def test_probe_that_times_out_prolongs_it(self) -> None:
        """Guards against requests that are spent on finding out that a zone is still lost."""
        self.lose_zone()
        self.probe(ConnectTimeoutError("no answer"))
        self.assertEqual(self.paths.list_lost_zones(), {"z0"})


class DisabledTest(LostZoneCase):
    avoids_lost_zones = False

    def test_no_zone_is_lost_without_the_setting(self) -> None:
        """Guards against probes of a deployment that did not ask for them."""
        for record in (RECORDS[0], RECORDS[2]):
            self.dial_in_vain(record, ConnectTimeoutError("no answer"))
        self.assertEqual(self.paths.list_lost_zones(), frozenset())


if __name__ == "__main__":
    unittest.main()
