"""Slow and greedy callers at the HTTP server, over loopback with short limits."""

import json
import socket as stdlib_socket
import time
import unittest
from collections.abc import Callable, Iterator
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event

from chivetrack.components.caller_api.app import CallerApi
from chivetrack.components.caller_api.const import ENVIRON_SOCKET
from chivetrack.components.caller_api.gateway import Gateway
from chivetrack.components.caller_api.watch import watch_caller
from chivetrack.components.upstream.client import UpstreamClient
from chivetrack.daemon.server import AbortConnectionError, HttpServer, ServerLimits
from chivetrack.helpers.telemetry import open_telemetry

LIMITS = ServerLimits(header_timeout_s=0.2, idle_timeout_s=0.3)
CHUNK = b"x" * 65536


class EndlessBody:
    """A stream without end that counts what is taken of it."""

    def __init__(self) -> None:
        self.taken = 0
        self.closed = Event()

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        self.taken += 1
        return CHUNK

    def close(self) -> None:
        self.closed.set()


class ServerCase(unittest.TestCase):
    def serve(self, application: Callable[..., Any]) -> socket.socket:
        """Start a server and return a connection to it."""
        server = HttpServer(
            address=("127.0.0.1", 0),
            application=application,
            is_closing=lambda: False,
            limits=LIMITS,
        )
        server.start()
        self.server = server
        self.addCleanup(server.stop, timeout=0)
        connection = socket.create_connection(("127.0.0.1", server.server_port), timeout=10)
        self.addCleanup(connection.close)
        return connection

    def serve_callers(self, **options: Any) -> socket.socket:
        telemetry = self.enterContext(open_telemetry(instance_id="entry-1"))
        gateway = Gateway(
            post=lambda event: None,
            client=UpstreamClient(),
            telemetry=telemetry,
            read_clock=time.monotonic,
            make_id=lambda: "r1",
            **options,
        )
        api = CallerApi(
            gateway=gateway,
            announce=lambda body, key: None,
            is_ready=lambda: True,
            body_timeout_s=0.2,
        )
        return self.serve(api.build())

    def read_error(self, connection: socket.socket) -> tuple[str, dict[str, Any]]:
        data = b""
        while received := connection.recv(65536):
            data += received
        head, _, body = data.partition(b"\r\n\r\n")
        return head.decode(), json.loads(body)["error"]


class EarlyListenerTest(unittest.TestCase):
    def test_request_that_came_before_the_server(self) -> None:
        """A caller connects and sends its request before the server is built.

        The connection waits in the listener's queue, and the server that takes the listener
        over answers it. Were the address bound anew, the connection would be reset.
        """
        listener = stdlib_socket.create_server(("127.0.0.1", 0))
        address = listener.getsockname()
        caller = socket.create_connection(address, timeout=10)
        self.addCleanup(caller.close)
        caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")

        def answer(environ: dict[str, Any], start_response: Any) -> list[bytes]:
            start_response("200 OK", [("Content-Length", "5")])
            return [b"hello"]

        server = HttpServer(
            address=address, application=answer, is_closing=lambda: False, listener=listener
        )
        server.start()
        self.addCleanup(server.stop, timeout=0)
        data = b""
        while more := caller.recv(4096):
            data += more
        self.assertTrue(data.startswith(b"HTTP/1.1 200"))
        self.assertTrue(data.endswith(b"hello"))


class AbortedAnswerTest(ServerCase):
    def test_aborted_request_gets_no_byte(self) -> None:
        """A caller half closes its connection and reads on; its request is given up.

        An error of the server's own was sent to it then, although nobody had failed. An
        application that ends the connection sends nothing at all.
        """

        def abort(environ: Any, start_response: Any) -> Any:
            raise AbortConnectionError("given up")

        connection = self.serve(abort)
        connection.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual(connection.recv(65536), b"")

    def test_answer_that_is_aborted_midway_looks_cut(self) -> None:
        def abort(environ: Any, start_response: Any) -> Any:
            write = start_response("200 OK", [("Content-Length", "10")])
            write(b"half")
            raise AbortConnectionError("cut")

        connection = self.serve(abort)
        connection.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        data = b""
        while received := connection.recv(65536):
            data += received
        self.assertTrue(data.endswith(b"\r\n\r\nhalf"))


class ClosedIdleTest(ServerCase):
    def test_request_that_crosses_the_close_of_an_idle_connection(self) -> None:
        """A router stops and ends its idle connections; one has just got a request.

        The request is read and sent on. The end of the router's own reading looked like a
        caller that had left: the request was given up and its connection closed without
        an answer.
        """

        def answer(environ: Any, start_response: Any) -> Any:
            with watch_caller(environ.get(ENVIRON_SOCKET)):
                gevent.sleep(0.05)
            start_response("200 OK", [("Content-Length", "4")])
            return [b"done"]

        connection = self.serve(answer)
        request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
        connection.sendall(request)
        self.assertIn(b"done", connection.recv(65536))
        gevent.sleep(0.02)
        connection.sendall(request)
        self.server.close_idle()
        self.assertIn(b"done", connection.recv(65536))


class SlowCallerTest(ServerCase):
    def test_headers_and_bodies_that_do_not_arrive(self) -> None:
        """A caller begins a request and stops; it must not hold its place for ever."""
        head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        table = [
            ("headers", head, "headers_timeout"),
            ("body", head + b"Content-Length: 9\r\n\r\nabc", "body_timeout"),
        ]
        for name, data, code in table:
            with self.subTest(name):
                connection = self.serve_callers()
                connection.sendall(data)
                status, error = self.read_error(connection)
                self.assertIn(" 408 ", status)
                self.assertEqual((error["code"], error["ran"]), (code, "no"))

    def test_caller_that_sends_without_end(self) -> None:
        """A caller announces a body over the limit and sends on and on.

        It is refused at once; read to its end, as the library does, the body would
        take a greenlet and the network for as long as the caller likes.
        """
        connection = self.serve_callers()
        connection.sendall(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 999999999999\r\n\r\n"
        )
        sent = 0
        with self.assertRaises(OSError):
            while sent < 256 * 1024 * 1024:
                sent += connection.send(CHUNK)
                gevent.sleep(0)

    def test_caller_that_does_not_read(self) -> None:
        """A caller asks for a long stream and reads none of it.

        What is taken from the engine stays bounded by the connection's buffers, and
        after the idle time the stream is closed, which cancels it at the engine.
        """
        body = EndlessBody()

        def application(environ: Any, start_response: Any) -> Any:
            start_response("200 OK", [("Content-Type", "text/plain")])
            return body

        connection = self.serve(application)
        connection.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertTrue(body.closed.wait(10))
        self.assertLess(body.taken * len(CHUNK), 64 * 1024 * 1024)


class HeaderTest(ServerCase):
    def test_headers_that_could_be_read_in_two_ways(self) -> None:
        """A caller sends a line that other readers take for a header and some do not.

        If the length is lost with it, the body is taken for the caller's next request,
        and through a balancer that shares connections its answer is another caller's.
        """
        hidden = b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"
        length = b"Content-Length: %d\r\n" % len(hidden)
        table = [
            ("blank before the colon", length.replace(b":", b" :")),
            ("folded line", b"X-A: 1\r\n 2\r\n" + length),
            ("no colon", b"X-A\r\n" + length),
            ("empty name", b": 1\r\n" + length),
            ("zero byte", b"X-A: \x00\r\n" + length),
        ]
        for name, lines in table:
            with self.subTest(name):
                connection = self.serve_callers()
                connection.sendall(b"POST /healthz HTTP/1.1\r\nHost: x\r\n" + lines + b"\r\n")
                connection.sendall(hidden)
                status, error = self.read_error(connection)
                self.assertIn(" 400 ", status)
                self.assertEqual((error["code"], error["ran"]), ("bad_request", "no"))


class FullInstanceTest(ServerCase):
    def test_over_the_limit_nothing_is_run(self) -> None:
        """A surge fills an instance; one more is refused at once, and may come back."""
        connection = self.serve_callers(max_open=0)
        connection.sendall(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            b"Content-Length: 2\r\n\r\n{}"
        )
        with gevent.Timeout(10):
            status, error = self.read_error(connection)
        self.assertIn(" 503 ", status)
        self.assertIn("Retry-After: 1", status)
        self.assertEqual((error["code"], error["ran"]), ("instance_full", "no"))
