"""Dialers of an address at which nobody can be."""

import time
import unittest

from chivetrack.components.paths.messages import CarryVerdict
from chivetrack.components.upstream.connection import NotSentError
from chivetrack.components.upstream.idle_connections import IdleConnections
from chivetrack.daemon.fleet.crashes import ProbeResult, probe_address
from chivetrack.daemon.fleet.dialer import Dialer, _open_carried
from chivetrack.daemon.fleet.paths import EndpointPaths
from chivetrack.daemon.fleet.stream_carrier import _open_far
from tests.components.announcements.test_table import make_record
from tests.daemon.fleet.test_open_requests import Events

UNSOUND = ("127.0.0.9:8080, 127.0.0.10:8080", "nowhere", "a:99999", "10.0.0.9:", "\ud800:80")


class UnsoundAddressTest(unittest.TestCase):
    def test_request_is_not_sent(self) -> None:
        """Guards against requests answered 500 since one endpoint states an unsound address."""
        paths = EndpointPaths(
            list_endpoints=lambda service: (),
            do_others_reach=lambda endpoint_id: True,
            request_carriers=lambda: None,
            events=Events(),
        )
        dialer = Dialer(
            idle_connections=IdleConnections(read_clock=time.monotonic),
            paths=paths,
            events=Events(),
            count_carried=lambda is_connected: None,
        )
        for address in UNSOUND:
            with self.subTest(address), self.assertRaises(NotSentError):
                dialer.connect(make_record(address=address), request_id="q1", timeout_s=1.0)

    def test_carrier_does_not_reach_it(self) -> None:
        for address in UNSOUND:
            with self.subTest(address), self.assertRaises(OSError):
                _open_far(address)

    def test_router_at_it_carries_nothing(self) -> None:
        for address in UNSOUND:
            with self.subTest(address):
                verdict = _open_carried(address, make_record(), "q1", timeout_s=1.0)
                self.assertIs(verdict, CarryVerdict.REFUSED)

    def test_probe_tells_nothing(self) -> None:
        for address in UNSOUND:
            with self.subTest(address):
                self.assertIs(probe_address(address), ProbeResult.UNKNOWN)


if __name__ == "__main__":
    unittest.main()
