"""HTTP server based on gevent, with size limits, timeouts, typed errors and a graceful stop."""

import contextlib
import socket
import struct
import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

import gevent
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from chivetrack.components.caller_api.const import (
    ENVIRON_MEMORY,
    ENVIRON_READING_ENDED,
    ENVIRON_SOCKET,
)
from chivetrack.components.caller_api.errors import make_raw_error
from chivetrack.components.limits.stopping import make_stopping_fault
from chivetrack.components.memory.budget import MemoryBudget
from chivetrack.components.memory.const import (
    DEFAULT_MAX_DESCRIPTORS,
    DEFAULT_MEMORY_MB,
    RECEIVE_BUFFER_BYTES,
)
from chivetrack.components.pipeline import faults
from chivetrack.daemon.connection_memory import ConnectionMemory
from chivetrack.daemon.const import (
    BACKLOG,
    LINGER_BLOCK_BYTES,
    LINGER_TIMEOUT_S,
    MAX_LINGER_BYTES,
    PIPELINED_PAUSE_S,
    RECEIVE_TIMEOUT_S,
)
from chivetrack.daemon.headers import read_headers
from chivetrack.daemon.memory import open_budget
from chivetrack.daemon.request_body import DecodingTurns, RequestBody
from chivetrack.daemon.server_limits import LimitedLines, ServerLimits
from chivetrack.exceptions import ChivetrackError, FaultError
from chivetrack.helpers.handshakes import TlsServerMixin
from chivetrack.helpers.log import get_logger

if TYPE_CHECKING:
    from chivetrack.helpers.tls import Tls

# WSGI environment keys of the raw request target and header lines. The standard keys hold a
# decoded path and joined lines, which cannot be forwarded unchanged.
ENVIRON_TARGET = "chivetrack.target"
ENVIRON_HEADERS = "chivetrack.headers"
# Time when the connection was opened, in seconds of the monotonic clock.
ENVIRON_CONNECTED_AT = "chivetrack.connected_at"

# With this SO_LINGER, a close resets the connection, so that a cut answer does not look complete.
# The kernel's close for a process that is killed does so as well.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_END_ON_CLOSE = struct.pack("ii", 0, 0)

_LOGGER = get_logger("http")


_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class AbortConnectionError(ChivetrackError):
    """Raised by an application to close a connection without sending another byte."""


class _RequestHandler(WSGIHandler):
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
        lines = LimitedLines(source=args[0], limits=self.server.limits, reserve=self.memory.reserve)
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
            with self.memory.waiting():
                line = super().read_requestline()
            is_pipelined = self.has_received and loop.now() == waits_since
        finally:
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
        with gevent.Timeout(self.server.limits.header_timeout_s, timeout), self.memory.receiving():
            is_read = super().read_request(raw_requestline)
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
            send_continue=self._send_continue if expects_continue else _do_nothing,
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
        names = [name.lower() for name, _ in self.response_headers] if self.headers_sent else []
        return bool(names) and not {b"content-length", b"transfer-encoding"} & set(names)

    def is_receiving(self) -> bool:
        """Return whether a part of the request is still on its way."""
        return not self.is_running or (self._has_unread_body() and not self.headers_sent)

    def _has_unread_body(self) -> bool:
        return not self.wsgi_input.is_whole

    def _linger(self) -> None:
        """Close the connection after reading a limited amount of what the caller still sends.

        Closing a connection with unread bytes resets it, and the caller may not receive the
        answer. Reading to the end, as gevent does, would not terminate if the caller never
        stops sending.
        """
        self.close_connection = True
        with gevent.Timeout(LINGER_TIMEOUT_S, False):
            try:
                self.socket.shutdown(socket.SHUT_WR)
                left = MAX_LINGER_BYTES
                while left > 0 and (data := self.socket.recv(LINGER_BLOCK_BYTES)):
                    left -= len(data)
                    gevent.sleep(0)
            except OSError:
                return

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


def _do_nothing() -> None:
    """Do nothing."""


def write_at_once(_socket: Any, data: bytes) -> Iterable[bytes]:
    """Return the bytes as one piece that may be written now."""
    return (data,)


def _make_gevent_listener(listener: socket.socket) -> gevent.socket.socket:
    """Return the listener as a gevent socket, whose calls do not block other greenlets."""
    return gevent.socket.socket(listener.family, listener.type, fileno=listener.detach())


class HttpServer(TlsServerMixin, WSGIServer):
    """WSGI server whose connections close after their request once ``is_closing`` is true."""

    def __init__(
        self,
        *,
        address: tuple[str, int],
        application: Callable[..., Any],
        is_closing: Callable[[], bool],
        tls: "Tls | None" = None,
        limits: ServerLimits | None = None,
        listener: socket.socket | None = None,
        pace: Callable[[Any, bytes], Iterable[bytes]] = write_at_once,
        may_accept: Callable[[], bool] = lambda: True,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Create a server that binds ``address`` at ``start``.

        With ``tls`` all connections are encrypted. A ``listener`` that already listens at
        ``address`` is used instead of a new one. ``pace`` returns the pieces of what is
        written to a caller's socket, each once it may be written. ``may_accept`` returns whether
        a new connection is served; otherwise it is closed unread. ``memory`` is the budget that
        the listeners of a process share.
        """
        options: dict[str, Any] = {} if tls is None else {"ssl_context": tls}
        super().__init__(
            address if listener is None else _make_gevent_listener(listener),
            application,
            backlog=BACKLOG if listener is None else None,
            handler_class=_RequestHandler,
            spawn=Pool(),
            log=None,
            error_log=None,
            **options,
        )
        self.is_closing = is_closing
        self.limits = limits or ServerLimits()
        self.pace = pace
        self._may_accept = may_accept
        self.memory = memory or open_budget(
            memory_mb=DEFAULT_MEMORY_MB, max_descriptors=DEFAULT_MAX_DESCRIPTORS
        )
        self.turns = DecodingTurns()
        self.is_draining = False
        # Connections whose request may be incomplete; the idle ones wait for its first line.
        self.receiving_handlers: set[_RequestHandler] = set()
        self.idle_handlers: set[_RequestHandler] = set()

    def init_socket(self) -> None:
        """Open the listener; connections that it accepts get its receive buffer."""
        super().init_socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    @property
    def is_ending(self) -> bool:
        """Return whether connections close after their request."""
        return self.is_draining or self.is_closing()

    def handle(self, *args: Any) -> None:
        """Serve a new connection, or return so that it is closed unread."""
        if self.is_ending or self._may_accept():
            super().handle(*args)

    def drain(self, *, ends_at: float) -> int:
        """Answer what callers have sent, then close the listener and all connections.

        The application must refuse new requests already. Connections that wait in the accept
        queue are accepted, and requests that are not received completely within
        ``RECEIVE_TIMEOUT_S`` or half of the time are refused; an application that still reads
        a body gets an ``OSError``. Return the number of connections that are still open at
        ``ends_at`` (s, monotonic), because their callers do not read. A drain that was ended
        before its time may be continued by another call.
        """
        if not self.is_draining:
            self.is_draining = True
            self._accept_queued()
            self.close()
            self.close_idle()
        # The other half is for sending the refusals.
        left_s = max(0.0, ends_at - time.monotonic())
        self.pool.join(timeout=min(RECEIVE_TIMEOUT_S, left_s / 2))
        for handler in list(self.receiving_handlers):
            if handler.is_receiving():
                handler.end_reading()
        self.pool.join(timeout=max(0.0, ends_at - time.monotonic()))
        return len(self.pool)

    def _accept_queued(self) -> None:
        with contextlib.suppress(OSError):
            for _ in range(BACKLOG):
                accepted = self.do_read()
                if accepted is None:
                    return
                self.do_handle(*accepted)

    def close_idle(self) -> None:
        """Close the connections that wait for their next request.

        Only the reading side is shut down, so a request that was already received is still
        read and answered. A caller that has just connected is about to send its first request,
        so such a connection is closed ``RECEIVE_TIMEOUT_S`` after it was opened.
        """
        for handler in list(self.idle_handlers):
            opening_s = handler.find_opening_s()
            if opening_s:
                gevent.spawn_later(opening_s, self._close_unused, handler)
            else:
                handler.end_reading()

    def _close_unused(self, handler: _RequestHandler) -> None:
        if handler in self.idle_handlers and not handler.has_received:
            handler.end_reading()
