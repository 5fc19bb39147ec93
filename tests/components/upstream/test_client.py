"""Tests for the endpoint client with complete and broken answers."""

import socket
import unittest

from chivetrack.components.upstream.client import UpstreamClient
from chivetrack.components.upstream.models import (
    AttemptOutcome,
    BrokenAnswerError,
    UpstreamRequest,
)
from tests.components.upstream.server import Script, Stall, open_server

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
STREAM_END = b"e\r\ndata: [DONE]\n\n\r\n"
LAST = b"0\r\n\r\n"


def make_request(address: str, **changes: object) -> UpstreamRequest:
    fields = {
        "request_id": "r1",
        "address": address,
        "method": "GET",
        "path": "/x",
        "headers": {"X-Request-Id": "r1"},
        "body": b"",
        "timeout_s": 5.0,
        "stall_timeout_s": 0.2,
        "idempotent": True,
    }
    return UpstreamRequest(**{**fields, **changes})  # type: ignore[arg-type]


class NoAnswerTest(unittest.TestCase):
    def test_outcome_of_an_attempt_without_an_answer(self) -> None:
        """An engine fails before the head of its answer was received.

        Any request may be retried after ``NOT_SENT``, so this outcome is allowed only when
        no byte was sent. An answer to another request must not reach the caller.
        """
        wrong = OK + b"X-Request-Id: r0\r\nContent-Length: 2\r\n\r\nhi"
        refusal = (
            b"HTTP/1.1 503 X\r\nX-Did-Not-Run: true\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n"
        )
        table = [
            ("closed after the request", [], AttemptOutcome.MAYBE_RAN),
            ("not HTTP", [b"hello\r\n\r\n"], AttemptOutcome.MAYBE_RAN),
            ("answer to another request", [wrong], AttemptOutcome.MAYBE_RAN),
            ("no length, not chunked", [OK + b"\r\nhello"], AttemptOutcome.MAYBE_RAN),
            ("engine says it did not run", [refusal], AttemptOutcome.REFUSED),
        ]
        for name, parts, outcome in table:
            with self.subTest(name), open_server(Script([parts])) as server:
                result = UpstreamClient().send(make_request(server.address))
                self.assertTrue(result.is_error())
                self.assertIs(result.error.outcome, outcome)
                if outcome is AttemptOutcome.REFUSED:
                    self.assertEqual(result.error.retry_after_s, 7.0)

    def test_pause_that_is_no_number_counts_as_absent(self) -> None:
        """Guards against a ``ValueError`` for a Retry-After that only looks like a number."""
        refusal = b"HTTP/1.1 503 X\r\nX-Did-Not-Run: true\r\nRetry-After: \xb2\r\n\r\n"
        with open_server(Script([[refusal]])) as server:
            result = UpstreamClient().send(make_request(server.address))
        self.assertIs(result.error.outcome, AttemptOutcome.REFUSED)
        self.assertIsNone(result.error.retry_after_s)

    def test_connection_is_refused(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as unused_socket:
            address = f"http://127.0.0.1:{unused_socket.getsockname()[1]}"
        result = UpstreamClient().send(make_request(address))
        self.assertIs(result.error.outcome, AttemptOutcome.NOT_SENT)

    def test_silent_engine(self) -> None:
        with open_server(Script([[Stall()]])) as server:
            result = UpstreamClient().send(make_request(server.address, timeout_s=0.2))
            self.assertIs(result.error.outcome, AttemptOutcome.MAYBE_RAN)


class BrokenAnswerTest(unittest.TestCase):
    def test_incomplete_answer_is_an_error(self) -> None:
        """An engine dies, stalls or omits the end of its answer after the head.

        Each case must raise an error. Otherwise the caller would receive part of an
        answer as if it were complete.
        """
        chunk = b"5\r\nhello\r\n"
        table = [
            ("length not reached", [OK + b"Content-Length: 9\r\n\r\nhello"], False),
            ("cut between chunks", [CHUNKED, chunk], False),
            ("cut inside a chunk", [CHUNKED, b"9\r\nhello"], False),
            ("bad chunk size", [CHUNKED, chunk, b"zz\r\n"], False),
            ("silent after a chunk", [CHUNKED, chunk, Stall()], False),
            ("clean end without the end mark", [CHUNKED, chunk, LAST], True),
        ]
        for name, parts, expects_end in table:
            with self.subTest(name), open_server(Script([parts])) as server:
                request = make_request(server.address, expects_stream_end=expects_end)
                answer = UpstreamClient().send(request).ok
                with self.assertRaises(BrokenAnswerError):
                    b"".join(answer.read_chunks())

    def test_bytes_after_the_end_are_an_error(self) -> None:
        """An engine sends the end of its stream and then the start of another answer.

        If those bytes stayed on the connection, the next caller would read them as the
        answer to its own request.
        """
        parts = [CHUNKED, b"5\r\nhello\r\n" + LAST + OK + b"Content-Length: 1\r\n\r\nx"]
        with open_server(Script([parts])) as server:
            answer = UpstreamClient().send(make_request(server.address)).ok
            with self.assertRaises(BrokenAnswerError):
                list(answer.read_chunks())

    def test_stream_connection_is_reused_after_its_end(self) -> None:
        complete = [CHUNKED, b"5\r\nhello\r\n", LAST]
        with open_server(Script([complete, complete])) as server:
            client = UpstreamClient()
            for _ in range(2):
                chunks = client.send(make_request(server.address)).ok.read_chunks()
                self.assertEqual(b"".join(chunks), b"hello")
            self.assertEqual(server.connections, 1)

    def test_chunk_is_relayed_before_the_next_arrives(self) -> None:
        """An engine sends one chunk and pauses; the chunk must be relayed without a delay."""
        with open_server(Script([[CHUNKED, b"5\r\nhello\r\n", Stall()]])) as server:
            chunks = UpstreamClient().send(make_request(server.address)).ok.read_chunks()
            self.assertEqual(next(chunks), b"hello")
            chunks.close()

    def test_complete_stream(self) -> None:
        with open_server(Script([[CHUNKED, b"5\r\nhello\r\n", STREAM_END, LAST]])) as server:
            request = make_request(server.address, expects_stream_end=True)
            chunks = list(UpstreamClient().send(request).ok.read_chunks())
            self.assertEqual(b"".join(chunks), b"hellodata: [DONE]\n\n")


class ReuseTest(unittest.TestCase):
    def test_connection_is_reused_after_a_complete_answer(self) -> None:
        complete = [OK + b"Content-Length: 5\r\n\r\nhello"]
        with open_server(Script([complete, complete])) as server:
            client = UpstreamClient()
            for _ in range(2):
                answer = client.send(make_request(server.address)).ok
                self.assertEqual(b"".join(answer.read_chunks()), b"hello")
            self.assertEqual(server.connections, 1)

    def test_connection_is_not_reused_after_a_cancel(self) -> None:
        """A caller leaves in the middle of a stream, and another caller sends a request.

        The rest of the first answer is still on the connection. If the connection was
        reused, the second caller would read it, so the request gets a new connection.
        """
        first = [CHUNKED, b"5\r\nfirst\r\n", b"4\r\nrest\r\n"]
        second = [OK + b"Content-Length: 6\r\n\r\nsecond"]
        with open_server(Script([first, second]), Script([second])) as server:
            client = UpstreamClient()
            chunks = client.send(make_request(server.address)).ok.read_chunks()
            self.assertTrue(next(chunks).startswith(b"first"))
            chunks.close()
            answer = client.send(make_request(server.address)).ok
            self.assertEqual(b"".join(answer.read_chunks()), b"second")
            self.assertEqual(server.connections, 2)

    def test_non_idempotent_request_gets_a_new_connection(self) -> None:
        """An engine may close an idle connection while a request is being sent on it.

        It is then unknown whether the request ran. A new connection for each request that
        is not idempotent rules out this race.
        """
        complete = [OK + b"Content-Length: 5\r\n\r\nhello"]
        with open_server(Script([complete, complete]), Script([complete])) as server:
            client = UpstreamClient()
            first = client.send(make_request(server.address)).ok
            self.assertEqual(b"".join(first.read_chunks()), b"hello")
            second = client.send(make_request(server.address, idempotent=False)).ok
            self.assertEqual(b"".join(second.read_chunks()), b"hello")
            self.assertEqual(server.connections, 2)
