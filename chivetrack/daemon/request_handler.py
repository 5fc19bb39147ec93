"""Request handler of the HTTP server: limits, typed errors and answers whose cuts can be told."""

import contextlib
import socket
import struct
import time
from typing import TYPE_CHECKING, Any

import gevent
from gevent.pywsgi import WSGIHandler

from chivetrack.components.caller_api.const import (
    ENVIRON_CONNECTED_AT,
    ENVIRON_HEADERS,
    ENVIRON_MEMORY,
    ENVIRON_READING_ENDED,
    ENVIRON_SOCKET,
    ENVIRON_TARGET,
)
from chivetrack.components.caller_api.errors import make_raw_error
from chivetrack.components.limits.stopping import make_stopping_fault
from chivetrack.components.pipeline import faults
from chivetrack.daemon.connection_memory import ConnectionMemory
from chivetrack.daemon.const import PIPELINED_PAUSE_S, RECEIVE_TIMEOUT_S
from chivetrack.daemon.headers import read_headers
from chivetrack.daemon.lingering import linger
from chivetrack.daemon.request_body import RequestBody, send_nothing
from chivetrack.daemon.server_limits import LimitedLines
from chivetrack.exceptions import ChivetrackError, FaultError
from chivetrack.helpers.log import get_logger

if TYPE_CHECKING:
    from chivetrack.daemon.server import HttpServer

# With this SO_LINGER, a close resets the connection, so that a cut answer does not look complete.
# The kernel's close for a process that is killed does so as well.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_END_ON_CLOSE = struct.pack("ii", 0, 0)

_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_LOGGER = get_logger("http")


class AbortConnectionError(ChivetrackError):
    """Raised by an application to close a connection without sending another byte."""


class RequestHandler(WSGIHandler):
    """Request handler with limits, typed errors, the caller's socket and a graceful stop."""

    server: "HttpServer"
    is_reading_ended = False
    is_running = False
    has_received = False
    is_head_written = True
    response_headers: list[tuple[bytes, bytes]]
    connected_at = 0.0

    def handle(self) -> None:
        """Serve a connection until it is closed."""
        self.connected_at = time.monotonic()
        # The head and the body of an answer may be separate packets. Without TCP_NODELAY,
        # the second one waits up to 40 ms for the caller's acknowledgement.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Without a timeout, a caller that stops reading would hold its stream at the engine
        # forever.
        self.socket.settimeout(self.server.limits.idle_timeout_s)
        self.memory = ConnectionMemory(budget=self.server.memory, end_waiting=self.end_reading)
        with self.memory.open() as has_room:
            if not has_room:
                self.socket.close()
                return
            try:
                super().handle()
            finally:
                self.server.receiving_handlers.discard(self)

    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        """Read the header lines within the limits."""
        lines = LimitedLines(
            source=args[0], limits=self.server.limits, reserve=self.memory.reserve_head
        )
        return read_headers(lines)

    def handle_one_request(self) -> Any:
        """Serve one request; an error that gevent itself returns becomes a typed error."""
        result = super().handle_one_request()
        if not isinstance(result, tuple):
            return result
        status, body = result
        raw = make_raw_error(faults.uri_too_long()) if status == "414" else body
        self.socket.sendall(raw)
        self._linger()
        return None

    def read_requestline(self) -> Any:
        """Wait for the next request; the connection counts as idle during the wait."""
        if self.server.is_draining and self.has_received:
            self.end_reading()
        self.server.receiving_handlers.add(self)
        self.server.idle_handlers.add(self)
        try:
            loop = gevent.get_hub().loop
            waits_since = loop.now()
            self.memory.begin_waiting()
            line = super().read_requestline()
            is_pipelined = self.has_received and loop.now() == waits_since
        finally:
            self.memory.begin_request()
            self.server.idle_handlers.discard(self)
        if line and is_pipelined:
            self.server.turns.wait(PIPELINED_PAUSE_S)
        return line

    def find_opening_s(self) -> float:
        """Return how long (s) the caller may still take to send its first request."""
        if self.has_received:
            return 0.0
        return max(0.0, self.connected_at + RECEIVE_TIMEOUT_S - time.monotonic())

    def end_reading(self) -> None:
        """Stop reading after a request that was already received.

        This shuts down the underlying socket, because ``shutdown`` of gevent ends a waiting
        read with an error even if a received request is still unread.
        """
        self.is_reading_ended = True
        if self.is_running:
            self.environ[ENVIRON_READING_ENDED] = True
        with contextlib.suppress(OSError):
            self.socket._sock.shutdown(socket.SHUT_RD)

    def read_request(self, raw_requestline: str) -> Any:
        """Read the headers; raise ``FaultError`` if they take too long."""
        timeout = FaultError(faults.headers_timeout(self.server.limits.header_timeout_s))
        with gevent.Timeout(self.server.limits.header_timeout_s, timeout):
            try:
                is_read = super().read_request(raw_requestline)
            finally:
                self.memory.end_head()
        self._check_framing()
        return is_read

    def _check_framing(self) -> None:
        # With several lengths, or with a transfer coding that gevent ignores, part of the
        # body could stay unread and would be parsed as the next request.
        lengths = self.headers.get_all("content-length")
        coding = self.headers.get("transfer-encoding")
        if len(lengths) > 1 or (coding is not None and coding.lower() != "chunked"):
            raise FaultError(faults.malformed_body("the length of the body is ambiguous"))

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        _LOGGER.debug("Refused an invalid request: {}.", type(ex).__name__)
        if self.is_reading_ended:
            # The request is incomplete because this server has stopped reading.
            fault = make_stopping_fault(do_others_accept=True, left_s=0.0)
        else:
            fault = ex.fault if isinstance(ex, FaultError) else faults.bad_request()
        return str(fault.status), make_raw_error(fault)

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with the socket, for detecting callers that leave."""
        environ: dict[str, Any] = super().get_environ()
        environ["wsgi.input"] = self.wsgi_input = self._make_body(environ)
        # After the server itself has stopped reading, an end of the stream does not mean that
        # the caller left. It would be mistaken for that, and the last request of the
        # connection would be abandoned without an answer.
        environ[ENVIRON_SOCKET] = None if self.is_reading_ended else self.socket
        environ[ENVIRON_READING_ENDED] = self.is_reading_ended
        environ[ENVIRON_MEMORY] = self.memory
        environ[ENVIRON_CONNECTED_AT] = self.connected_at
        environ[ENVIRON_TARGET] = self.path
        environ[ENVIRON_HEADERS] = self.headers.list_lines()
        return environ

    def _make_body(self, environ: dict[str, Any]) -> RequestBody:
        expects_continue = environ.get("HTTP_EXPECT") == "100-continue"
        return RequestBody(
            source=self.rfile,
            length=self.content_length or 0,
            is_chunked=environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked",
            memory=self.memory,
            turns=self.server.turns,
            send_continue=self._send_continue if expects_continue else send_nothing,
        )

    def _send_continue(self) -> None:
        self.socket.sendall(_CONTINUE)

    def run_application(self) -> None:
        """Run the application; during a stop, close the connection afterwards."""
        self.is_running = True
        self.has_received = True
        if self.server.is_ending:
            self.close_connection = True
        is_answered = False
        try:
            super().run_application()
            is_answered = True
            if self._ends_by_close():
                self._set_linger(_END_ON_CLOSE)
        finally:
            self.is_running = False
            self.memory.release()
            self.server.receiving_handlers.discard(self)
            ends = is_answered and self.close_connection and self.server.is_ending
            if not is_answered and (self._ends_by_close() or not self.is_head_written):
                self._set_linger(_RESET_ON_CLOSE)
            elif ends or self._has_unread_body():
                self._linger()

    def _set_linger(self, option: bytes) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)

    def _ends_by_close(self) -> bool:
        """Return whether only the close ends the answer that has begun, as in HTTP/1.0."""
        if not self.headers_sent or not self.response_headers:
            return False
        return not any(name.lower() in _FRAMING_HEADERS for name, _ in self.response_headers)

    def is_receiving(self) -> bool:
        """Return whether a part of the request is still on its way."""
        return not self.is_running or (self._has_unread_body() and not self.headers_sent)

    def _has_unread_body(self) -> bool:
        return not self.wsgi_input.is_whole

    def _linger(self) -> None:
        self.close_connection = True
        linger(self.socket, self.server.turns)

    def finalize_headers(self) -> None:
        """Add ``Connection: close`` if the connection will not be reused."""
        if self.server.is_ending or self._has_unread_body():
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))
        super().finalize_headers()
        if self._ends_by_close() and self.code not in _STATUSES_WITHOUT_BODY:
            self._announce_close()
        if self.command == "HEAD":
            # So that gevent writes no last chunk.
            self.response_use_chunked = False

    def _announce_close(self) -> None:
        self.close_connection = True
        lines = [line for line in self.response_headers if line[0].lower() != b"connection"]
        self.response_headers = [*lines, (b"Connection", b"close")]

    def _write_with_headers(self, data: bytes) -> None:
        self.headers_sent = True
        self.is_head_written = False
        self.finalize_headers()
        if self._ends_by_close():
            self._set_linger(_RESET_ON_CLOSE)
        lines = [b"HTTP/1.1 " + self.status]
        lines += [name + b": " + value for name, value in self.response_headers]
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        self._sendall(head + self._frame(data) if data else head)
        self.is_head_written = True

    def _write(self, data: bytes) -> None:
        if data and (framed := self._frame(data)):
            self._sendall(framed)

    def _sendall(self, data: bytes) -> None:
        for piece in self.server.pace(self.socket, data):
            super()._sendall(piece)

    def _frame(self, data: bytes) -> bytes:
        if self.command == "HEAD":
            return b""
        return b"%x\r\n%b\r\n" % (len(data), data) if self.response_use_chunked else data

    def _send_error_response_if_possible(self, error_code: int) -> None:
        self.close_connection = True
        if self.response_length or self.headers_sent:
            return
        fault = faults.bad_request() if error_code == 400 else faults.internal_error()
        self._sendall(make_raw_error(fault))

    def log_request(self) -> None:
        """Log nothing; the recorder keeps the requests."""

    def log_error(self, msg: str, *args: Any) -> None:
        """Log an error of gevent without its text, which may contain data of the caller."""
        _LOGGER.debug("Connection ended early.")

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """End the connection without sending a traceback to the caller.

        After the head was sent, gevent sends no last chunk, so the caller detects that the
        answer is incomplete.
        """
        if isinstance(v, AbortConnectionError):
            # A caller that has closed its sending side may still read. It would take an
            # error for the answer to its request.
            self.close_connection = True
            return
        if not isinstance(v, OSError):
            _LOGGER.error("Answer ended early: {}.", type(v).__name__, exc_info=(t, v, tb))
        self._send_error_response_if_possible(500)
