"""Tests of answers with neither a length nor chunks, which end with their connection."""

import socket
import unittest

from chivetrack.components.retries.sending import SendEnd
from chivetrack.components.traffic.models import RouteKind
from chivetrack.daemon.fleet.calls import Call
from tests.components.traffic.documents import make_route
from tests.daemon.fleet.scripted import (
    ECHO,
    SEAL,
    ScriptedEndpoint,
    close_after,
    make_answer,
    make_call,
    make_choice,
    reset_after,
)
from tests.daemon.fleet.test_forwarder import ONCE, STREAM, ForwarderCase, make_event
from tests.system.fleets import wait_for

UNFRAMED = f"HTTP/1.1 200 OK\r\n{SEAL}\r\n{ECHO}\r\n\r\n".encode()


class UnframedAnswerTest(ForwarderCase):
    def check_not_used_again(self, endpoint: ScriptedEndpoint) -> None:
        self.assertIsNone(self.idle_connections.pop_idle(f"e-{endpoint.address}"))

    def test_each_kind_of_route_takes_one(self) -> None:
        """Guards against a connection that is used again although its answer has not ended."""
        body = make_event(1) + make_event(2)
        for kind in RouteKind:
            with self.subTest(kind=kind):
                endpoint = self.open(close_after(UNFRAMED + body), make_answer())
                route = STREAM if kind is RouteKind.STREAM else make_route(kind=kind)
                self.assertEqual(self.send(endpoint, route=route).status, 200)
                self.assertEqual(self.caller.body, body)
                self.check_not_used_again(endpoint)

    def test_stream_is_relayed_before_its_end(self) -> None:
        """Guards against events that wait for the end of a stream without a length."""
        relayed: list[bytes] = []

        def script(connection: socket.socket) -> None:
            connection.sendall(UNFRAMED + make_event(1))
            wait_for(lambda: self.caller.body, "the first event is not relayed")
            relayed.append(self.caller.body)
            connection.sendall(make_event(2))

        endpoint = self.open(script)
        self.assertTrue(self.send(endpoint, route=ONCE).is_answered)
        self.assertEqual(relayed, [make_event(1)])
        self.assertEqual(self.caller.body, make_event(1) + make_event(2))
        self.check_not_used_again(endpoint)

    def test_stream_that_broke_off_goes_on_at_another_endpoint(self) -> None:
        """Guards against taking the end of a connection inside an event for the stream's end."""
        part = UNFRAMED + make_event(1) + make_event(2)[:7]
        for script in (close_after(part), reset_after(part)):
            with self.subTest(script=script):
                self.setUp()
                broken = self.open(script)
                other = self.open(close_after(UNFRAMED + make_event(2)))
                call = self.make_stream_call()
                first = self.forwarder.send(call, make_choice(broken.address), may_retry=True)
                self.assertIs(first.end, SendEnd.MAYBE_RAN)
                self.check_not_used_again(broken)
                second = self.forwarder.send(call, make_choice(other.address), may_retry=False)
                self.assertTrue(second.is_answered)
                self.assertIn(b"Last-Event-Id: 1\r\n", other.requests[0])
                self.assertEqual(self.caller.body, make_event(1) + make_event(2))

    def test_stream_that_broke_off_keeps_the_version_that_began_it(self) -> None:
        """Guards against joining events of two versions after an end without a length."""
        broken = self.open(close_after(UNFRAMED + make_event(1) + make_event(2)[:7]))
        call = self.make_stream_call()
        choice = make_choice(broken.address)
        self.forwarder.send(call, choice, may_retry=True)
        assert call.origin is not None
        self.assertEqual(call.origin.software, choice.record.software)

    def test_reset_is_no_end_of_a_whole_answer(self) -> None:
        """Guards against a truncated answer that looks complete."""
        endpoint = self.open(reset_after(UNFRAMED + b"hel"))
        self.assertIs(self.send(endpoint, route=make_route()).end, SendEnd.MAYBE_RAN)
        self.assertEqual(self.caller.status, 0)

    def make_stream_call(self) -> Call:
        return make_call(self.caller, route=STREAM)


if __name__ == "__main__":
    unittest.main()
