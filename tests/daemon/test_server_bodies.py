"""Tests of requests whose bodies arrive while the HTTP server drains, over loopback."""

import time
import unittest
from typing import Any

import gevent
from gevent import socket

from chivetrack.components.caller_api.const import ENVIRON_READING_ENDED, ENVIRON_SOCKET
from chivetrack.components.caller_api.watch import has_left
from chivetrack.daemon.const import RECEIVE_TIMEOUT_S
from chivetrack.daemon.request_handler import AbortConnectionError
from chivetrack.daemon.server_limits import ServerLimits
from tests.daemon.test_server import ServerCase

HEAD = b"PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n"


def answer(start_response: Any, body: bytes) -> list[bytes]:
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


class DrainedBodyTest(ServerCase):
    limits = ServerLimits()

    def drain(self, connection: socket.socket) -> bytes:
        """Drain the server and return what the connection receives up to its end."""
        gevent.sleep(0.02)
        self.assertEqual(self.server.drain(ends_at=time.monotonic() + 5.0), 0)
        received = b""
        while data := connection.recv(65536):
            received += data
        return received

    def test_body_that_is_still_arriving_ends(self) -> None:
        """Guards against a connection without an answer since its body does not end."""

        def read_body(environ: Any, start_response: Any) -> list[bytes]:
            try:
                return answer(start_response, environ["wsgi.input"].read())
            except OSError:
                is_ended = environ[ENVIRON_READING_ENDED]
                return answer(start_response, b"incomplete" if is_ended else b"malformed")

        connection = self.serve(read_body)
        connection.sendall(HEAD + b"x")
        self.assertIn(b"incomplete", self.drain(connection))

    def test_request_in_progress_is_not_disturbed(self) -> None:
        """Guards against taking the end of the server's reading for a caller that has left."""

        def work(environ: Any, start_response: Any) -> list[bytes]:
            body = environ["wsgi.input"].read()
            gevent.sleep(RECEIVE_TIMEOUT_S + 0.3)
            return answer(start_response, b"left" if has_left(environ[ENVIRON_SOCKET]) else body)

        connection = self.serve(work)
        connection.sendall(HEAD + b"xx")
        self.assertTrue(self.drain(connection).endswith(b"xx"))


class CutAnswerTest(ServerCase):
    def test_answer_without_framing_is_reset(self) -> None:
        """Guards against a cut answer that looks complete to a caller of HTTP/1.0."""

        def cut(environ: Any, start_response: Any) -> list[bytes]:
            start_response("200 OK", [("Content-Type", "text/event-stream")])(b"half")
            raise AbortConnectionError("cut")

        connection = self.serve(cut)
        connection.sendall(b"GET / HTTP/1.0\r\n\r\n")
        with self.assertRaises(ConnectionResetError):
            while connection.recv(65536):
                continue


if __name__ == "__main__":
    unittest.main()
