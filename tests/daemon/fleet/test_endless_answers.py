"""Tests of endpoints that write without end, in the head or in the body of an answer."""

import contextlib
import itertools
import socket
import threading
import time
import unittest
from collections.abc import Callable, Iterator

from chivetrack.components.retries.sending import SendEnd
from chivetrack.components.traffic.models import RouteKind
from tests.components.traffic.documents import make_route
from tests.daemon.fleet.scripted import ECHO, SEAL, make_answer
from tests.daemon.fleet.test_forwarder import STREAM, ForwarderCase

PLAIN = make_route()
HEAD = f"HTTP/1.1 200 OK\r\n{SEAL}\r\n{ECHO}\r\n".encode()
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER = CHUNKED.replace(b"q1", b"q0")
PIECE = b"x" * 16_384
MAX_WRITTEN_BYTES = 8 * 1024 * 1024


def make_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class EndlessAnswerTest(ForwarderCase):
    """Guards against a router that reads without end: it ends for lack of memory.

    The endpoint writes until the router closes; what it got rid of by then is bounded.
    """

    def setUp(self) -> None:
        super().setUp()
        self.written = 0
        self.is_closed = threading.Event()

    def write_endlessly(
        self, begin: bytes, pieces: Callable[[], Iterator[bytes]]
    ) -> Callable[[socket.socket], None]:
        def script(connection: socket.socket) -> None:
            with contextlib.suppress(OSError):
                connection.sendall(begin)
                for piece in pieces():
                    connection.sendall(piece)
                    self.written += len(piece)
                    if self.written > 2 * MAX_WRITTEN_BYTES:
                        return
            self.is_closed.set()

        return script

    def check(
        self, begin: bytes, piece: bytes, *, kinds: tuple[RouteKind, ...] = tuple(RouteKind)
    ) -> None:
        for kind in kinds:
            with self.subTest(kind=kind):
                self.setUp()
                endpoint = self.open(self.write_endlessly(begin, lambda: itertools.repeat(piece)))
                route = STREAM if kind is RouteKind.STREAM else make_route(kind=kind)
                began = time.monotonic()
                result = self.send(endpoint, route=route, ends_at=began + 20.0)
                self.assertEqual(result.end, SendEnd.MAYBE_RAN)
                self.assertLess(time.monotonic() - began, 10.0)
                self.assertTrue(self.is_closed.wait(5.0), "the connection is still open")
                self.assertLess(self.written, MAX_WRITTEN_BYTES)

    def test_line_of_the_head_without_end(self) -> None:
        self.check(HEAD + b"X: ", PIECE)

    def test_headers_without_end(self) -> None:
        self.check(HEAD, b"X-Name: " + b"x" * 60_000 + b"\r\n")

    def test_interim_answers_without_end(self) -> None:
        self.check(b"", b"HTTP/1.1 100 Continue\r\nX-Name: value\r\n\r\n" * 100)

    def test_early_hints_without_end(self) -> None:
        self.check(b"", b"HTTP/1.1 103 Early Hints\r\nX-Name: value\r\n\r\n" * 100)

    def test_event_without_end(self) -> None:
        self.check(CHUNKED, make_chunk(PIECE), kinds=(RouteKind.STREAM,))

    def test_event_without_end_or_length(self) -> None:
        self.check(HEAD + b"\r\n", PIECE, kinds=(RouteKind.STREAM,))

    def test_chunked_body_without_end(self) -> None:
        self.check(CHUNKED, make_chunk(PIECE))

    def test_body_without_end_or_length(self) -> None:
        self.check(HEAD + b"\r\n", PIECE)

    def test_extension_of_a_chunk_without_end(self) -> None:
        self.check(CHUNKED + b"1;", PIECE)

    def test_trailer_without_end(self) -> None:
        self.check(CHUNKED + b"0\r\n", b"X-Name: value\r\n" * 500)

    def test_late_answer_to_another_request_without_end(self) -> None:
        self.check(OTHER, make_chunk(PIECE))

    def test_interim_answer_before_the_answer_is_skipped(self) -> None:
        for status in (b"100 Continue", b"103 Early Hints"):
            with self.subTest(status=status):
                interim = b"HTTP/1.1 %b\r\nX-Name: value\r\n\r\n" % status
                endpoint = self.open(interim + make_answer(b"hello"))
                self.assertEqual(self.send(endpoint, route=PLAIN).status, 200)
                self.assertEqual(self.caller.body, b"hello")


if __name__ == "__main__":
    unittest.main()
