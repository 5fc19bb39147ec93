"""Tests of what a caller receives for valid, invalid, duplicate and missing answers."""

import contextlib
import socket
import time
import unittest
from collections.abc import Callable

from chivetrack.components.placement.placement import Placed
from chivetrack.components.retries.sending import SendEnd
from chivetrack.components.traffic.models import RouteKind, Workspace
from chivetrack.components.traffic.requests import PromptPart, RequestFacts
from chivetrack.components.upstream.idle_connections import IdleConnections
from chivetrack.daemon.fleet.calls import Call
from chivetrack.daemon.fleet.forwarder import Forwarder, SendResult
from tests.components.traffic.documents import make_route
from tests.daemon.fleet.scripted import (
    ECHO,
    SEAL,
    Caller,
    ScriptedEndpoint,
    close_after,
    make_answer,
    make_call,
    make_choice,
    make_chunks,
    make_dialer,
    reset_after,
)
from tests.system.fleets import wait_for

STREAM = make_route(kind=RouteKind.STREAM, is_resumable=True)
ONCE = make_route(kind=RouteKind.STREAM, max_attempts=1)


def make_event(number: int) -> bytes:
    return b"id: %d\ndata: token\n\n" % number


class ForwarderCase(unittest.TestCase):
    def setUp(self) -> None:
        self.idle_connections = IdleConnections(read_clock=time.monotonic)
        self.overdue = 0
        self.is_silent = False
        self.forwarder = Forwarder(
            idle_connections=self.idle_connections,
            dialer=make_dialer(self.idle_connections),
            record_answer=lambda record, facts: None,
            handle_first_event=lambda call, choice: None,
            record_overdue=self.record_overdue,
        )
        self.caller = Caller()

    def record_overdue(self, call: Call) -> bool:
        self.overdue += 1
        return self.is_silent

    def open(self, *scripts: object) -> ScriptedEndpoint:
        endpoint = ScriptedEndpoint(*scripts)  # type: ignore[arg-type]
        self.addCleanup(endpoint.stop)
        return endpoint

    def send(
        self, endpoint: ScriptedEndpoint, may_retry: bool = False, **call: object
    ) -> SendResult:
        self.caller = Caller()
        return self.forwarder.send(
            make_call(self.caller, **call), make_choice(endpoint.address), may_retry=may_retry
        )


class ExitTest(ForwarderCase):
    def test_connection_that_opens_after_the_decision_to_exit_is_not_used(self) -> None:
        """Guards against a request that is sent while the router decides to exit."""
        self.forwarder = Forwarder(
            idle_connections=self.idle_connections,
            dialer=make_dialer(self.idle_connections),
            record_answer=lambda record, facts: None,
            handle_first_event=lambda call, choice: None,
            may_send=lambda: False,
        )
        endpoint = self.open(make_answer())
        self.assertEqual(self.send(endpoint).end, SendEnd.NOT_SENT)
        wait_for(lambda: endpoint.connections == 1, "the endpoint accepts no connection")
        self.assertEqual(endpoint.requests, [])


def make_placed() -> Placed:
    return Placed(
        endpoint_id="e",
        service="portal",
        missing_tokens=0,
        ahead_tokens=0,
        has_prompt=False,
        started_at=0.0,
        wait_limit_s=0.1,
    )


def answer_after(delay_s: float, data: bytes) -> Callable[[socket.socket], None]:
    """Return a script that answers late."""

    def script(connection: socket.socket) -> None:
        time.sleep(delay_s)
        with contextlib.suppress(OSError):
            connection.sendall(data)

    return script


class SilentEndpointTest(ForwarderCase):
    def test_silent_endpoint_is_abandoned_while_time_is_left(self) -> None:
        """Guards against waiting for a powered-off endpoint until the caller's deadline.

        The endpoint loses power after it received a request that may be retried; the
        connection stays open. The caller waits two seconds: abandoned after the wait limit of
        a tenth of a second, the request can still be answered by another endpoint.
        """
        self.is_silent = True
        endpoint = self.open(answer_after(1.0, make_answer(b"late")))
        began = time.monotonic()
        result = self.send(endpoint, may_retry=True, placed=make_placed())
        self.assertEqual(result.end, SendEnd.MAYBE_RAN)
        self.assertIn("silent", result.detail)
        self.assertLess(time.monotonic() - began, 0.8)

    def test_slow_endpoint_that_answers_others_is_waited_for(self) -> None:
        endpoint = self.open(answer_after(0.35, make_answer(b"late")))
        result = self.send(endpoint, may_retry=True, placed=make_placed())
        self.assertTrue(result.is_answered)
        self.assertEqual(self.caller.body, b"late")
        self.assertGreaterEqual(self.overdue, 2)

    def test_request_that_must_not_run_twice_waits(self) -> None:
        """Guards against running a request twice that might be billed twice.

        The endpoint is still recorded as overdue at once, so that other requests avoid it.
        """
        self.is_silent = True
        endpoint = self.open(answer_after(0.3, make_answer(b"late")))
        result = self.send(endpoint, may_retry=False, placed=make_placed())
        self.assertTrue(result.is_answered)
        self.assertEqual(self.overdue, 1)


class RankTest(ForwarderCase):
    def test_request_to_engine_carries_the_priority(self) -> None:
        """Guards against engines that queue requests without regard to urgency.

        At four times the usual load engines queue requests and start urgent ones first.
        Without a priority, a status line could start before a summary due in half a second.
        """
        facts = RequestFacts(request_id="q1", parts=(PromptPart("a", 5),), prompt_tokens=5)
        cases = ((2, None, b"2"), (2, 0, b"0"), (2, 44, b"9"))
        for of_route, of_workspace, expected in cases:
            endpoint = self.open(make_answer())
            workspace = Workspace(name="w", keys=(), priority=of_workspace)
            route = make_route(priority=of_route)
            self.send(endpoint, route=route, workspace=workspace, facts=facts)
            self.assertIn(
                b"X-Chivetrack-Request-Priority: " + expected + b"\r\n", endpoint.requests[0]
            )

    def test_request_to_plain_service_carries_no_priority(self) -> None:
        endpoint = self.open(make_answer())
        self.send(endpoint)
        self.assertNotIn(b"Request-Priority", endpoint.requests[0])


class PlainAnswerTest(ForwarderCase):
    def test_request_and_answer_pass_unchanged(self) -> None:
        endpoint = self.open(make_answer(b"hello", "200 OK", SEAL, ECHO, "X-A: 1"))
        result = self.send(endpoint)
        self.assertTrue(result.is_answered)
        self.assertEqual((self.caller.status, self.caller.body), (200, b"hello"))
        self.assertEqual(self.caller.headers["X-A"], "1")
        request = endpoint.requests[0]
        self.assertTrue(request.startswith(b"POST /a/b%20c?x=1 HTTP/1.1\r\n"))
        self.assertTrue(request.endswith(b"Content-Length: 4\r\n\r\nbody"))

    def test_incomplete_and_forged_answers(self) -> None:
        """Guards against relaying a truncated, corrupted or forged answer as a success.

        Nothing was sent to the caller yet, so the attempt ends as one that may have run and
        the caller's status is still undecided.
        """
        cases = {
            "nothing": close_after(b""),
            "reset": reset_after(b""),
            "half of a head": close_after(b"HTTP/1.1 200 OK\r\nX-"),
            "no HTTP": close_after(b"\x00\x01garbage\r\n\r\n"),
            "short body": close_after(make_answer(b"hel", length=5)),
            "no seal": make_answer(b"hello", "200 OK", ECHO),
            "encoded": make_answer(b"hello", "200 OK", SEAL, ECHO, "Content-Encoding: br"),
            "no last chunk": close_after(make_chunks(b"hel", ends=False)),
            "bad chunk": close_after(make_chunks(b"hel", ends=False) + b"zz\r\n"),
            "reset without length": reset_after(
                f"HTTP/1.1 200 OK\r\n{SEAL}\r\n{ECHO}\r\n\r\nhel".encode()
            ),
            "503 without word": make_answer(b"", "503 Unavailable", SEAL, ECHO),
        }
        for name, script in cases.items():
            with self.subTest(name):
                result = self.send(self.open(script))
                self.assertIs(result.end, SendEnd.MAYBE_RAN)
                self.assertEqual((self.caller.status, self.caller.body), (0, b""))

    def test_answer_without_length_that_ends_in_order(self) -> None:
        head = f"HTTP/1.1 200 OK\r\n{SEAL}\r\n{ECHO}\r\n\r\n".encode()
        result = self.send(self.open(close_after(head + b"hello")))
        self.assertTrue(result.is_answered)
        self.assertEqual(self.caller.body, b"hello")

    def test_answer_that_the_request_did_not_run(self) -> None:
        for status in ("503 Unavailable", "429 Too Many"):
            lines = (ECHO, "X-Chivetrack-Not-Executed: 1", "Retry-After: 2")
            answer = make_answer(b"", status, *lines)
            result = self.send(self.open(answer))
            self.assertIs(result.end, SendEnd.REFUSED)
            self.assertEqual(result.retry_after_s, 2.0)
        self.assertIs(self.send(self.open(make_answer(b"", "421 No"))).end, SendEnd.REFUSED)

    def test_failure_is_withheld_only_if_a_retry_may_follow(self) -> None:
        for may_retry in (True, False):
            failure = make_answer(b"oops", "500 Error", SEAL, ECHO)
            result = self.send(self.open(failure), may_retry=may_retry)
            self.assertEqual(result.is_answered, not may_retry)
            self.assertEqual(self.caller.status, 0 if may_retry else 500)
            self.assertEqual(result.failure is not None, may_retry)

    def test_refused_connection_is_not_sent(self) -> None:
        endpoint = self.open(b"")
        endpoint.stop()
        self.assertIs(self.send(endpoint).end, SendEnd.NOT_SENT)


class KeptConnectionTest(ForwarderCase):
    def test_connection_is_used_again(self) -> None:
        endpoint = self.open(make_answer(), make_answer(b"again"))
        self.send(endpoint)
        self.send(endpoint)
        self.assertEqual(self.caller.body, b"again")
        self.assertEqual(endpoint.connections, 1)

    def test_late_duplicate_answer_is_discarded(self) -> None:
        """Guards against giving a caller the answer to another caller's request.

        An endpoint answers a request twice. The next caller's request goes out on the same
        connection before the duplicate arrives. The echoed request id reveals it.
        """
        endpoint = self.open(
            make_answer(),
            make_answer(b"stray", "200 OK", SEAL, "X-Chivetrack-Attempt-Id: q0") + make_answer(),
        )
        self.send(endpoint)
        self.send(endpoint)
        self.assertEqual(self.caller.body, b"hello")

    def test_sealed_answer_without_an_id_is_none_on_a_reused_connection(self) -> None:
        """Guards against a late second answer that names no request and is taken for the next."""
        for status in ("200 OK", "500 Failed"):
            with self.subTest(status=status):
                stray = make_answer(b"stray", status, SEAL)
                endpoint = self.open(make_answer(), stray + make_answer())
                self.send(endpoint)
                self.assertIs(self.send(endpoint).end, SendEnd.MAYBE_RAN)
                self.assertEqual((self.caller.status, endpoint.connections), (0, 1))

    def test_bytes_after_an_answer_close_the_connection(self) -> None:
        endpoint = self.open(make_answer() + b"HTTP/1.1 200 OK\r\n\r\n", make_answer(b"again"))
        self.send(endpoint)
        time.sleep(0.02)
        self.send(endpoint)
        self.assertEqual(self.caller.body, b"again")
        self.assertEqual(endpoint.connections, 2)

    def test_connection_closed_by_the_endpoint_is_replaced(self) -> None:
        endpoint = self.open(close_after(make_answer()), make_answer(b"again"))
        self.send(endpoint)
        time.sleep(0.05)
        self.assertTrue(self.send(endpoint).is_answered)
        self.assertEqual(endpoint.connections, 2)

    def test_answer_before_a_long_body_was_read(self) -> None:
        """Guards against reusing a connection whose request body was not read completely.

        An endpoint rejects a long request early and reads its body later. On a reused
        connection the next request would be read as part of that body, so the connection
        is closed; the caller has its answer at once.
        """
        rejected = make_answer(b"", "413 Too Large", SEAL, ECHO)

        def script(connection: socket.socket) -> None:
            connection.sendall(rejected)
            time.sleep(0.2)

        endpoint = self.open(script, make_answer(b"again"))
        body = b"x" * 8_000_000
        self.assertTrue(self.send(endpoint, body=body).is_answered)
        self.assertEqual(self.caller.status, 413)
        self.assertIsNone(self.idle_connections.pop_idle(f"e-{endpoint.address}"))


class StreamTest(ForwarderCase):
    def test_events_are_relayed_unchanged(self) -> None:
        endpoint = self.open(make_chunks(make_event(1), make_event(2) + make_event(3)))
        self.assertTrue(self.send(endpoint, route=STREAM).is_answered)
        self.assertEqual(self.caller.body, b"".join(make_event(n) for n in (1, 2, 3)))

    def test_stream_resumes_at_another_endpoint(self) -> None:
        """Guards against gaps and duplicates when a stream resumes at another engine.

        An engine crashes in the middle of the third event. The caller has two events; the
        incomplete third is discarded. The next engine receives the last event id and
        continues after it.
        """
        half = make_event(3)[:7]
        broken = self.open(close_after(make_chunks(make_event(1), make_event(2), half, ends=False)))
        other = self.open(make_chunks(make_event(3), make_event(4)))
        call = make_call(self.caller, route=STREAM)
        first = self.forwarder.send(call, make_choice(broken.address), may_retry=True)
        self.assertIs(first.end, SendEnd.MAYBE_RAN)
        second = self.forwarder.send(call, make_choice(other.address), may_retry=False)
        self.assertTrue(second.is_answered)
        self.assertIn(b"Last-Event-Id: 2\r\n", other.requests[0])
        self.assertEqual(self.caller.body, b"".join(make_event(n) for n in (1, 2, 3, 4)))

    def test_end_in_the_middle_of_an_event_is_a_broken_answer(self) -> None:
        endpoint = self.open(make_chunks(make_event(1), make_event(2)[:5]))
        result = self.send(endpoint, route=ONCE)
        self.assertIs(result.end, SendEnd.MAYBE_RAN)
        self.assertEqual(self.caller.body, make_event(1))

    def test_broken_before_the_first_event(self) -> None:
        endpoint = self.open(close_after(make_chunks(ends=False)))
        result = self.send(endpoint, route=STREAM)
        self.assertIs(result.end, SendEnd.MAYBE_RAN)
        self.assertEqual(self.caller.status, 0)


if __name__ == "__main__":
    unittest.main()
