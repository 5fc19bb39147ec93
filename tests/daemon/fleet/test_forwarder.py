"""What a caller gets when an endpoint answers rightly, wrongly, twice or not at all."""

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
    reset_after,
)

STREAM = make_route(kind=RouteKind.STREAM, is_resumable=True)
ONCE = make_route(kind=RouteKind.STREAM, max_attempts=1)


def make_event(number: int) -> bytes:
    return b"id: %d\ndata: token\n\n" % number


class ForwarderCase(unittest.TestCase):
    def setUp(self) -> None:
        self.kept = IdleConnections(read_clock=time.monotonic)
        self.overdue = 0
        self.is_silent = False
        self.forwarder = Forwarder(
            kept=self.kept,
            note_answer=lambda record, facts: None,
            note_first_event=lambda call, choice: None,
            note_overdue=self.note_overdue,
        )
        self.caller = Caller()

    def note_overdue(self, call: Call) -> bool:
        self.overdue += 1
        return self.is_silent

    def open(self, *scripts: object) -> ScriptedEndpoint:
        endpoint = ScriptedEndpoint(*scripts)  # type: ignore[arg-type]
        self.addCleanup(endpoint.stop)
        return endpoint

    def send(
        self, endpoint: ScriptedEndpoint, may_repeat: bool = False, **call: object
    ) -> SendResult:
        self.caller = Caller()
        return self.forwarder.send(
            make_call(self.caller, **call), make_choice(endpoint.address), may_repeat=may_repeat
        )


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
    def test_silent_endpoint_is_given_up_while_time_is_left(self) -> None:
        """An endpoint takes a status request and loses power; its connection stays open.

        The caller waits two seconds. Waited for to the end, the request is lost although
        it may run again; given up after a tenth of a second, it is answered elsewhere.
        """
        self.is_silent = True
        endpoint = self.open(answer_after(1.0, make_answer(b"late")))
        began = time.monotonic()
        result = self.send(endpoint, may_repeat=True, placed=make_placed())
        self.assertEqual(result.end, SendEnd.MAYBE_RAN)
        self.assertIn("silent", result.detail)
        self.assertLess(time.monotonic() - began, 0.8)

    def test_slow_endpoint_that_answers_others_is_waited_for(self) -> None:
        endpoint = self.open(answer_after(0.35, make_answer(b"late")))
        result = self.send(endpoint, may_repeat=True, placed=make_placed())
        self.assertTrue(result.is_answered)
        self.assertEqual(self.caller.body, b"late")
        self.assertGreaterEqual(self.overdue, 2)

    def test_what_must_not_run_twice_is_waited_for(self) -> None:
        """The same endpoint has a quote; sent elsewhere it might be billed twice.

        That it is overdue is noted at once, so that others keep away from the endpoint.
        """
        self.is_silent = True
        endpoint = self.open(answer_after(0.3, make_answer(b"late")))
        result = self.send(endpoint, may_repeat=False, placed=make_placed())
        self.assertTrue(result.is_answered)
        self.assertEqual(self.overdue, 1)


class RankTest(ForwarderCase):
    def test_engines_are_told_the_rank(self) -> None:
        """Four times the load of a usual hour; engines queue, and begin the urgent first.

        Without a rank a status line would go before a summary that is due in half a second.
        """
        facts = RequestFacts(request_id="q1", parts=(PromptPart("a", 5),), prompt_tokens=5)
        cases = ((2, None, b"2"), (2, 0, b"0"), (2, 44, b"9"))
        for of_route, of_workspace, told in cases:
            endpoint = self.open(make_answer())
            workspace = Workspace(name="w", keys=(), priority=of_workspace)
            route = make_route(priority=of_route)
            self.send(endpoint, route=route, workspace=workspace, facts=facts)
            self.assertIn(b"X-Chivetrack-Request-Priority: " + told + b"\r\n", endpoint.requests[0])

    def test_plain_services_have_no_rank(self) -> None:
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

    def test_answers_that_are_not_whole_or_not_the_endpoints_own(self) -> None:
        """An endpoint breaks off, spoils or forges its answer.

        The caller must never take any of it for a success. Nothing was sent to it yet, so
        the try ends as one that may have run, and the caller's status stays open.
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

    def test_endpoint_that_did_not_run_it(self) -> None:
        for status in ("503 Unavailable", "429 Too Many"):
            answer = make_answer(b"", status, "X-Chivetrack-Not-Executed: 1", "Retry-After: 2")
            result = self.send(self.open(answer))
            self.assertIs(result.end, SendEnd.REFUSED)
            self.assertEqual(result.retry_after_s, 2.0)
        self.assertIs(self.send(self.open(make_answer(b"", "421 No"))).end, SendEnd.REFUSED)

    def test_failure_is_held_back_only_if_another_try_may_follow(self) -> None:
        for may_repeat in (True, False):
            failure = make_answer(b"oops", "500 Error", SEAL, ECHO)
            result = self.send(self.open(failure), may_repeat=may_repeat)
            self.assertEqual(result.is_answered, not may_repeat)
            self.assertEqual(self.caller.status, 0 if may_repeat else 500)

    def test_nobody_listens(self) -> None:
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

    def test_late_second_answer_belongs_to_nobody(self) -> None:
        """An endpoint answers a request twice; the second answer comes late.

        The next caller's request goes out on the same connection and would be given the
        answer of the one before. The echoed id shows it; it is skipped.
        """
        endpoint = self.open(
            make_answer(),
            make_answer(b"stray", "200 OK", SEAL, "X-Chivetrack-Attempt-Id: q0") + make_answer(),
        )
        self.send(endpoint)
        self.send(endpoint)
        self.assertEqual(self.caller.body, b"hello")

    def test_bytes_after_an_answer_close_the_connection(self) -> None:
        endpoint = self.open(make_answer() + b"HTTP/1.1 200 OK\r\n\r\n", make_answer(b"again"))
        self.send(endpoint)
        time.sleep(0.02)
        self.send(endpoint)
        self.assertEqual(self.caller.body, b"again")
        self.assertEqual(endpoint.connections, 2)

    def test_connection_that_the_endpoint_has_closed(self) -> None:
        endpoint = self.open(close_after(make_answer()), make_answer(b"again"))
        self.send(endpoint)
        time.sleep(0.05)
        self.assertTrue(self.send(endpoint).is_answered)
        self.assertEqual(endpoint.connections, 2)

    def test_answer_before_a_long_body_was_read(self) -> None:
        """An endpoint rejects a long request early, and reads its body on later.

        If the connection were kept, the next request would arrive in the midst of that
        body. It is closed instead, and the caller has its answer at once.
        """
        rejected = make_answer(b"", "413 Too Large", SEAL, ECHO)

        def script(connection: socket.socket) -> None:
            connection.sendall(rejected)
            time.sleep(0.2)

        endpoint = self.open(script, make_answer(b"again"))
        body = b"x" * 8_000_000
        self.assertTrue(self.send(endpoint, body=body).is_answered)
        self.assertEqual(self.caller.status, 413)
        self.assertIsNone(self.kept.pop_idle(f"e-{endpoint.address}"))


class StreamTest(ForwarderCase):
    def test_events_pass_as_they_come(self) -> None:
        endpoint = self.open(make_chunks(make_event(1), make_event(2) + make_event(3)))
        self.assertTrue(self.send(endpoint, route=STREAM).is_answered)
        self.assertEqual(self.caller.body, b"".join(make_event(n) for n in (1, 2, 3)))

    def test_stream_goes_on_at_another_endpoint(self) -> None:
        """An engine dies in the middle of the third event of a stream that may resume.

        The caller has two events. The half of the third stays here; the next engine is
        told the last id, and what it sends is joined without a gap and without a repeat.
        """
        half = make_event(3)[:7]
        broken = self.open(close_after(make_chunks(make_event(1), make_event(2), half, ends=False)))
        other = self.open(make_chunks(make_event(3), make_event(4)))
        call = make_call(self.caller, route=STREAM)
        first = self.forwarder.send(call, make_choice(broken.address), may_repeat=True)
        self.assertIs(first.end, SendEnd.MAYBE_RAN)
        second = self.forwarder.send(call, make_choice(other.address), may_repeat=False)
        self.assertTrue(second.is_answered)
        self.assertIn(b"Last-Event-Id: 2\r\n", other.requests[0])
        self.assertEqual(self.caller.body, b"".join(make_event(n) for n in (1, 2, 3, 4)))

    def test_end_in_the_middle_of_an_event_is_no_end(self) -> None:
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
