"""The HTTP server of a listener: gevent's, with limits and time limits, typed errors and a stop."""

import contextlib
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import gevent
from gevent.pywsgi import Input, WSGIHandler, WSGIServer

from chivetrack.components.caller_api.const import ENVIRON_SOCKET
from chivetrack.components.caller_api.errors import make_raw_error
from chivetrack.components.pipeline import faults
from chivetrack.daemon.const import (
    BACKLOG,
    HEADER_TIMEOUT_S,
    IDLE_TIMEOUT_S,
    LINGER_TIMEOUT_S,
    MAX_HEADER_BYTES,
    MAX_HEADERS,
    MAX_LINGER_BYTES,
)
from chivetrack.daemon.headers import read_headers
from chivetrack.exceptions import ChivetrackError, FaultError
from chivetrack.helpers.handshakes import TlsServerMixin
from chivetrack.helpers.log import get_logger

if TYPE_CHECKING:
    # Loaded by the one program that has such settings.
    from chivetrack.components.settings.models import LimitSettings
    from chivetrack.helpers.tls import Tls

# The target and the header lines as they were sent; the standard keys of the environment
# hold a decoded path and joined lines, which can't be passed on unchanged.
ENVIRON_TARGET = "chivetrack.target"
ENVIRON_HEADERS = "chivetrack.headers"
# When the connection was opened, in seconds of the steady clock.
ENVIRON_CONNECTED_AT = "chivetrack.connected_at"

_LOGGER = get_logger("http")


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerLimits:
    """What one connection may take up; times in seconds.

    ``idle_timeout_s`` is also how long a caller may leave sent bytes unread.
    """

    max_header_bytes: int = MAX_HEADER_BYTES
    max_headers: int = MAX_HEADERS
    header_timeout_s: float = HEADER_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S


def make_server_limits(settings: "LimitSettings") -> ServerLimits:
    """Return the limits that the settings give."""
    return ServerLimits(
        max_header_bytes=settings.max_header_bytes, max_headers=settings.max_headers
    )


class AbortConnectionError(ChivetrackError):
    """Raised by an application to end a connection without another byte."""


class _LimitedLines:
    """The header lines of a request; raises ``FaultError`` over the limits."""

    def __init__(self, *, source: Any, limits: ServerLimits) -> None:
        self._source = source
        self._limits = limits
        self._bytes_left = limits.max_header_bytes
        self._lines_left = limits.max_headers

    def readline(self, size: int = -1) -> bytes:
        line: bytes = self._source.readline(self._bytes_left + 1)
        self._bytes_left -= len(line)
        if line.strip():
            self._lines_left -= 1
        if self._bytes_left < 0 or self._lines_left < 0:
            limits = self._limits
            raise FaultError(faults.headers_too_large(limits.max_header_bytes, limits.max_headers))
        return line


class _RequestHandler(WSGIHandler):
    """Adds the caller's socket, limits, typed errors and closing connections during a stop."""

    server: "HttpServer"
    is_reading_ended = False
    connected_at = 0.0

    def handle(self) -> None:
        """Serve a connection until it is closed."""
        self.connected_at = time.monotonic()
        # Head and body of an answer are separate packets at times; delayed, the second
        # waits up to 40 ms for the caller's acknowledgement.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # A caller that stops reading would hold its engine's stream for ever.
        self.socket.settimeout(self.server.limits.idle_timeout_s)
        super().handle()

    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        """Read the header lines, within the limits."""
        return read_headers(_LimitedLines(source=args[0], limits=self.server.limits))

    def handle_one_request(self) -> Any:
        """Serve one request; what the library refuses itself becomes a typed error."""
        result = super().handle_one_request()
        if not isinstance(result, tuple):
            return result
        status, body = result
        raw = make_raw_error(faults.uri_too_long()) if status == "414" else body
        self.socket.sendall(raw)
        self._linger()
        return None

    def read_requestline(self) -> Any:
        """Wait for the next request; meanwhile the connection is idle."""
        self.server.idle.add(self)
        try:
            return super().read_requestline()
        finally:
            self.server.idle.discard(self)

    def end_reading(self) -> None:
        """Take no request after one that is already here.

        Done below gevent, whose own shutdown ends the waiting read with an error, although
        a request may lie there unread.
        """
        self.is_reading_ended = True
        with contextlib.suppress(OSError):
            self.socket._sock.shutdown(socket.SHUT_RD)

    def read_request(self, raw_requestline: str) -> Any:
        """Read the headers; a caller that stalls in them is cut off."""
        timeout = FaultError(faults.headers_timeout(self.server.limits.header_timeout_s))
        with gevent.Timeout(self.server.limits.header_timeout_s, timeout):
            is_read = super().read_request(raw_requestline)
        self._check_framing()
        return is_read

    def _check_framing(self) -> None:
        # Two lengths, or a coding that the library takes for none: what it would leave
        # unread of the body would become the next request on this connection.
        lengths = self.headers.get_all("content-length")
        coding = self.headers.get("transfer-encoding")
        if len(lengths) > 1 or (coding is not None and coding.lower() != "chunked"):
            raise FaultError(faults.malformed_body("the length of the body is not clear"))

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        _LOGGER.debug("Refused what is not a request: {}.", type(ex).__name__)
        fault = ex.fault if isinstance(ex, FaultError) else faults.bad_request()
        return str(fault.status), make_raw_error(fault)

    def get_environ(self) -> dict[str, Any]:
        """Return the environment with the socket, which shows a caller that leaves."""
        environ: dict[str, Any] = super().get_environ()
        # Where this side has ended reading, the end says nothing about the caller. Taken for
        # a caller that has left, the last request of the connection was given up unanswered.
        environ[ENVIRON_SOCKET] = None if self.is_reading_ended else self.socket
        environ[ENVIRON_CONNECTED_AT] = self.connected_at
        environ[ENVIRON_TARGET] = self.path
        environ[ENVIRON_HEADERS] = self.headers.list_lines()
        return environ

    def run_application(self) -> None:
        """Run the application; during a stop the connection is closed after it."""
        if self.server.is_closing():
            self.close_connection = True
        try:
            super().run_application()
        finally:
            if self._has_unread_body():
                self._linger()

    def _has_unread_body(self) -> bool:
        body = self.wsgi_input
        if body.chunked_input:
            return bool(body.chunk_length != 0)
        return bool(body.position < (body.content_length or 0))

    def _linger(self) -> None:
        """Close, but read on for a moment.

        Closed with bytes unread, the connection is reset and the caller may never see
        the answer. Reading to the end, as the library does, never ends with a caller
        that sends without end.
        """
        self.close_connection = True
        self.wsgi_input = Input(self.rfile, 0)
        with gevent.Timeout(LINGER_TIMEOUT_S, False):
            try:
                self.socket.shutdown(socket.SHUT_WR)
                left = MAX_LINGER_BYTES
                while left > 0 and (data := self.socket.recv(MAX_LINGER_BYTES)):
                    left -= len(data)
            except OSError:
                return

    def finalize_headers(self) -> None:
        """Tell the caller when the connection will not be used again."""
        if self.server.is_closing() or self._has_unread_body():
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))
        super().finalize_headers()

    def _write_with_headers(self, data: bytes) -> None:
        self.headers_sent = True
        self.finalize_headers()
        lines = [b"HTTP/1.1 " + self.status]
        lines += [name + b": " + value for name, value in self.response_headers]
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        self._sendall(head + self._frame(data) if data else head)

    def _write(self, data: bytes) -> None:
        if data:
            self._sendall(self._frame(data))

    def _frame(self, data: bytes) -> bytes:
        return b"%x\r\n%b\r\n" % (len(data), data) if self.response_use_chunked else data

    def _send_error_response_if_possible(self, error_code: int) -> None:
        self.close_connection = True
        if self.response_length or self.headers_sent:
            return
        fault = faults.bad_request() if error_code == 400 else faults.internal_error()
        self._sendall(make_raw_error(fault))

    def log_request(self) -> None:
        """Write no line for each request; the recorder keeps them."""

    def log_error(self, msg: str, *args: Any) -> None:
        """Write what the library complains about, without the caller's content."""
        _LOGGER.debug("Connection ended early.")

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """End the connection without a traceback on the caller's side.

        After the head has been sent the library sends no last chunk, so the caller
        sees that the answer is not whole.
        """
        if isinstance(v, AbortConnectionError):
            # A caller that is leaving may still read; an error that it is sent would look
            # like the answer to its request.
            self.close_connection = True
            return
        if not isinstance(v, OSError):
            _LOGGER.error("Answer ended early: {}.", type(v).__name__, exc_info=(t, v, tb))
        self._send_error_response_if_possible(500)


def _adopt(listener: socket.socket) -> gevent.socket.socket:
    """Return the same listener with waits that give way to other greenlets."""
    return gevent.socket.socket(listener.family, listener.type, fileno=listener.detach())


class HttpServer(TlsServerMixin, WSGIServer):
    """A WSGI server whose connections close once ``is_closing`` says so."""

    def __init__(
        self,
        *,
        address: tuple[str, int],
        application: Callable[..., Any],
        is_closing: Callable[[], bool],
        tls: "Tls | None" = None,
        limits: ServerLimits | None = None,
        listener: socket.socket | None = None,
    ) -> None:
        """Bind at ``start``; ``tls`` makes every connection encrypted.

        A ``listener`` that listens at ``address`` already is taken over.
        """
        options: dict[str, Any] = {} if tls is None else {"ssl_context": tls}
        super().__init__(
            address if listener is None else _adopt(listener),
            application,
            backlog=BACKLOG if listener is None else None,
            handler_class=_RequestHandler,
            log=None,
            error_log=None,
            **options,
        )
        self.is_closing = is_closing
        self.limits = limits or ServerLimits()
        self.idle: set[Any] = set()

    def close_idle(self) -> None:
        """End the connections on which no request is waited for or being read.

        Only reading ends: a request that is already here is still read and answered.
        """
        for handler in list(self.idle):
            handler.end_reading()
