"""Tests of streams whose endpoints fall silent in their middle, over loopback."""

import errno
import socket
import time
import unittest
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from chivetrack.components.retries.sending import SendAttempt, SendEnd
from chivetrack.components.traffic.models import RouteKind
from chivetrack.components.upstream.endpoint_answer import AnswerReader
from chivetrack.components.upstream.idle_connections import IdleConnections
from chivetrack.daemon.fleet.dialer import Dialer
from chivetrack.daemon.fleet.forwarder import Forwarder, SendResult
from chivetrack.daemon.fleet.retry_budget import RetryBudgetClient
from chivetrack.daemon.fleet.stream_silence import StreamSilence
from chivetrack.helpers.clock import read_boot_clock
from chivetrack.helpers.reading_turns import ReadingTurns
from tests.components.announcements.test_table import make_record
from tests.components.traffic.documents import make_route
from tests.daemon.fleet.scripted import (
    ECHO,
    SEAL,
    Caller,
    ScriptedEndpoint,
    make_call,
    make_choice,
    make_chunks,
    make_dialer,
)
from tests.daemon.fleet.test_fleet_view import FleetViewCase
from tests.daemon.fleet.test_forwarder import make_event

ROUTE = make_route(kind=RouteKind.STREAM, is_resumable=True, target_s=0.1)
PATIENT = make_route(kind=RouteKind.STREAM, is_resumable=True, target_s=1.0)
EARLIER_REQUESTS = 200
WHOLE = make_event(1) + make_event(2)
UNFRAMED = f"HTTP/1.1 200 OK\r\n{SEAL}\r\n{ECHO}\r\n\r\n".encode()


def pause(silent_s: float) -> Callable[[socket.socket], None]:
    """Return a script that is silent between two events."""
    first = make_chunks(make_event(1), ends=False)
    last = make_chunks(make_event(2)).partition(b"\r\n\r\n")[2]

    def script(connection: socket.socket) -> None:
        connection.sendall(first)
        connection.settimeout(silent_s)
        try:
            if not connection.recv(1):
                return
        except TimeoutError:
            connection.sendall(last)
        except OSError:
            return

    return script


class SilentStreamCase(FleetViewCase):
    def setUp(self) -> None:
        super().setUp()
        self.caller = Caller()
        idle_connections = IdleConnections(read_clock=time.monotonic)
        dialer = make_dialer(idle_connections)
        self.forwarder = Forwarder(
            idle_connections=idle_connections,
            dialer=dialer,
            record_answer=lambda record, facts: None,
            handle_first_event=lambda call, choice: None,
            stream_silence=StreamSilence(
                view=self.view,
                retry_budget=RetryBudgetClient(
                    budgets=self.view.budgets,
                    find_lender=lambda: "",
                    send=lambda target, message: None,
                ),
                dialer=dialer,
                spawn=lambda function, *arguments: function(*arguments),
            ),
        )
        for _ in range(EARLIER_REQUESTS):
            self.view.budgets.record_request("portal", read_boot_clock())

    @contextmanager
    def dark_hosts(self) -> Iterator[None]:
        """Let probes find that the hosts of endpoints do not answer."""
        with mock.patch.object(Dialer, "reaches", return_value=False):
            yield

    def send(
        self, script: Any, *, may_retry: bool = True, has_other: bool = True, **changes: Any
    ) -> tuple[SendResult, float]:
        """Send a stream; return the result and the time (s) that it took."""
        endpoint = ScriptedEndpoint(script)
        self.addCleanup(endpoint.stop)
        choice = make_choice(endpoint.address)
        others = [make_record(endpoint_id="other", service="portal", slots=8)] if has_other else []
        self.apply_view(choice.record, *others)
        began = time.monotonic()
        fields = {"route": ROUTE, "ends_at": began + 10.0, **changes}
        call = make_call(self.caller, **fields)
        call.attempts.append(
            SendAttempt(endpoint_id=choice.record.endpoint_id, end=SendEnd.MAYBE_RAN)
        )
        result = self.forwarder.send(call, choice, may_retry=may_retry)
        return result, time.monotonic() - began


class SilentStreamTest(SilentStreamCase):
    def test_stream_outlasts_a_pause_that_its_caller_bears(self) -> None:
        """Guards against a stream that is cut after two seconds, before its engine goes on."""
        result, _ = self.send(pause(2.2), route=PATIENT)
        self.assertTrue(result.is_answered)
        self.assertEqual(self.caller.body, WHOLE)

    def test_last_attempt_is_not_cut(self) -> None:
        """Guards against an end of the answer although nothing can follow it."""
        with self.dark_hosts():
            result, _ = self.send(pause(2.2), may_retry=False)
        self.assertTrue(result.is_answered)
        self.assertEqual(self.caller.body, WHOLE)

    def test_stream_without_another_endpoint_is_not_cut(self) -> None:
        """Guards against a move to an endpoint that does not exist."""
        result, _ = self.send(pause(2.2), has_other=False)
        self.assertTrue(result.is_answered)
        self.assertEqual(self.caller.body, WHOLE)

    def test_stream_leaves_before_its_caller_does(self) -> None:
        """Guards against waiting for a silent endpoint until the caller has left."""
        result, took_s = self.send(pause(8.0))
        self.assertIs(result.end, SendEnd.MAYBE_RAN)
        self.assertIn("the caller would leave", result.detail)
        self.assertLess(took_s, 2.2)
        self.assertEqual(self.caller.body, make_event(1))

    def test_stream_leaves_a_dark_endpoint(self) -> None:
        """Guards against waiting for an endpoint without power as long as its caller bears it."""
        with self.dark_hosts():
            result, took_s = self.send(pause(8.0), route=PATIENT)
        self.assertIs(result.end, SendEnd.MAYBE_RAN)
        self.assertIn("its endpoint is gone", result.detail)
        self.assertLess(took_s, 2.0)

    def test_connection_that_the_kernel_gives_up_is_no_silence(self) -> None:
        """Guards against a stream without a length that seems to end where its connection broke."""

        class GivenUpSocket:
            def __init__(self, *, opened: Any) -> None:
                self._opened = opened
                self._reads = 0

            def recv(self, size: int) -> bytes:
                self._reads += 1
                if self._reads == 2:
                    raise TimeoutError(errno.ETIMEDOUT, "Connection timed out")
                data: bytes = self._opened.recv(size) if self._reads == 1 else b""
                return data

        def script(connection: socket.socket) -> None:
            connection.sendall(UNFRAMED + make_event(1))
            time.sleep(0.5)

        start = AnswerReader.__init__

        def start_reader(reader: AnswerReader, *, opened: Any, turns: ReadingTurns) -> None:
            start(reader, opened=GivenUpSocket(opened=opened), turns=turns)  # type: ignore[arg-type]

        with mock.patch.object(AnswerReader, "__init__", start_reader):
            result, _ = self.send(script)
        self.assertIs(result.end, SendEnd.MAYBE_RAN)


if __name__ == "__main__":
    unittest.main()
