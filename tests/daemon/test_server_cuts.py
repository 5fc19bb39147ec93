"""Answers of the server itself that end before they are whole, over loopback."""

import subprocess
import sys
import unittest
from collections.abc import Callable, Iterator
from typing import Any

from gevent import socket

from chivetrack.components.upstream.answer_head import AnswerHead, AnswerHeadParser
from chivetrack.components.upstream.chunks import ChunkDecoder
from chivetrack.components.upstream.models import Framing
from chivetrack.daemon.request_handler import AbortConnectionError
from tests.daemon.test_server import ServerCase
from tests.daemon.unframed_process import PIECE

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
CLOSING = REQUEST[:-2] + b"Connection: close\r\n\r\n"
OLD_REQUEST = b"GET / HTTP/1.0\r\n\r\n"
LENGTH = [("Content-Length", "10"), ("Date", "now")]
MAX_BYTES = 400


def receive(connection: socket.socket) -> tuple[bytes, bool]:
    """Return what is received up to the end, and whether the end is a reset."""
    received = b""
    try:
        while data := connection.recv(65536):
            received += data
    except ConnectionResetError:
        return received, True
    return received, False


def has_whole_answer(received: bytes) -> bool:
    """Return whether the bytes hold an answer that tells its end, up to its end."""
    parser = AnswerHeadParser(method="GET")
    head = parser.feed(received)
    return head is not None and has_whole_body(head, parser.rest)


def has_whole_body(head: AnswerHead, body: bytes) -> bool:
    if head.framing is not Framing.CHUNKED:
        return head.framing is Framing.LENGTH and len(body) >= head.length
    decoder = ChunkDecoder()
    decoder.feed(body)
    return decoder.is_ended


def write_pieces(environ: Any, start_response: Any) -> list[bytes]:
    write = start_response("200 OK", LENGTH)
    write(b"first")
    write(b"other")
    return []


def write_chunks(environ: Any, start_response: Any) -> Iterator[bytes]:
    start_response("200 OK", [("Date", "now")])
    yield b"first"
    yield b"other"


class CutWriteTest(ServerCase):
    def cut_at(
        self, size: int, application: Callable[..., Any], request: bytes
    ) -> tuple[bytes, bool]:
        """Send a request, whose answer is written byte by byte and breaks after ``size``."""
        left = size

        def pace(_: Any, data: bytes) -> Iterator[bytes]:
            nonlocal left
            for place in range(len(data)):
                if left <= 0:
                    raise AbortConnectionError("cut")
                left -= 1
                yield data[place : place + 1]

        connection = self.serve(application)
        self.server.pace = pace
        connection.sendall(request)
        return receive(connection)

    def test_answer_that_is_cut_after_any_byte_is_not_whole(self) -> None:
        """Guards against a head that promises no more than what was written when it broke."""
        for application in (write_pieces, write_chunks):
            size = len(self.cut_at(MAX_BYTES, application, CLOSING)[0])
            for cut in range(size):
                with self.subTest(application=application.__name__, cut=cut):
                    received, _ = self.cut_at(cut, application, CLOSING)
                    # A reset may overtake the last bytes.
                    self.assertLessEqual(len(received), cut)
                    self.assertFalse(has_whole_answer(received))

    def test_head_that_is_cut_ends_in_a_reset(self) -> None:
        """Guards against callers that take the end of the connection for the end of a head."""
        for cut in range(1, self.cut_at(MAX_BYTES, write_pieces, CLOSING)[0].index(b"first")):
            with self.subTest(cut):
                self.assertTrue(self.cut_at(cut, write_pieces, CLOSING)[1])

    def test_whole_answers_do_not_end_in_a_reset(self) -> None:
        """Guards against a reset that takes the end of an answer from its caller."""
        for request in (CLOSING, OLD_REQUEST):
            for application in (write_pieces, write_chunks):
                received, is_reset = self.cut_at(MAX_BYTES, application, request)
                self.assertFalse(is_reset)
                self.assertIn(b"other", received)


class FailedAnswerTest(ServerCase):
    def test_error_before_the_first_byte_is_answered_whole(self) -> None:
        """Guards against the length of the answer that was begun in the one of the error."""

        def fail(environ: Any, start_response: Any) -> list[bytes]:
            start_response("200 OK", LENGTH)
            raise ValueError("failed")

        connection = self.serve(fail)
        connection.sendall(REQUEST)
        received, _ = receive(connection)
        self.assertTrue(received.startswith(b"HTTP/1.1 500"), received)
        self.assertTrue(has_whole_answer(received))
        self.assertEqual(received.count(b"HTTP/1.1"), 1)


class KeptConnectionTest(ServerCase):
    def test_answer_without_framing_closes_its_connection(self) -> None:
        """Guards against callers of HTTP/1.0 that wait for the end of an answer they keep."""
        connection = self.serve(write_chunks)
        connection.sendall(OLD_REQUEST[:-2] + b"Connection: keep-alive\r\n\r\n" + OLD_REQUEST)
        received, _ = receive(connection)
        self.assertEqual(received.count(b"HTTP/1.1"), 1)
        self.assertNotIn(b"keep-alive", received)

    def test_answer_to_a_head_request_has_no_body(self) -> None:
        """Guards against a refusal's body that is read as the answer to the next request."""

        def refuse(environ: Any, start_response: Any) -> list[bytes]:
            start_response("404 Not Found", [("Content-Length", "5")])
            return [b"error"]

        for application in (refuse, write_pieces, write_chunks):
            with self.subTest(application.__name__):
                connection = self.serve(application)
                connection.sendall(REQUEST.replace(b"GET", b"HEAD") + CLOSING)
                received, _ = receive(connection)
                parser = AnswerHeadParser(method="HEAD")
                self.assertIsNotNone(parser.feed(received))
                self.assertTrue(parser.rest.startswith(b"HTTP/1.1 "), parser.rest)


class KilledServerTest(unittest.TestCase):
    def test_answer_without_framing_is_reset_by_a_kill(self) -> None:
        """Guards against a cut stream that looks complete to a caller of HTTP/1.0."""
        command = [sys.executable, "-m", "tests.daemon.unframed_process"]
        with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
            self.addCleanup(process.kill)
            assert process.stdout is not None
            address = ("127.0.0.1", int(process.stdout.readline()))
            with socket.create_connection(address, timeout=10) as connection:
                connection.sendall(OLD_REQUEST)
                received = b""
                while PIECE not in received:
                    received += connection.recv(65536)
                process.kill()
                self.assertTrue(receive(connection)[1])


if __name__ == "__main__":
    unittest.main()
