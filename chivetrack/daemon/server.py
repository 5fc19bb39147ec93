"""HTTP server based on gevent, with size limits, timeouts, typed errors and a graceful stop."""

import contextlib
import socket
import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

import gevent
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from chivetrack.components.memory.budget import MemoryBudget, make_budget
from chivetrack.components.memory.const import (
    DEFAULT_MAX_DESCRIPTORS,
    DEFAULT_MEMORY_MB,
    MEGABYTE,
    RECEIVE_BUFFER_BYTES,
)
from chivetrack.daemon.const import BACKLOG, RECEIVE_TIMEOUT_S
from chivetrack.daemon.request_handler import RequestHandler
from chivetrack.daemon.server_limits import ServerLimits
from chivetrack.helpers.handshakes import TlsServerMixin
from chivetrack.helpers.reading_turns import ReadingTurns

if TYPE_CHECKING:
    from chivetrack.helpers.tls import Tls


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
            handler_class=RequestHandler,
            spawn=Pool(),
            log=None,
            error_log=None,
            **options,
        )
        self.is_closing = is_closing
        self.limits = limits or ServerLimits()
        self.pace = pace
        self._may_accept = may_accept
        self.memory = memory or make_budget(
            memory_bytes=DEFAULT_MEMORY_MB * MEGABYTE, max_descriptors=DEFAULT_MAX_DESCRIPTORS
        )
        self.turns = ReadingTurns()
        self.is_draining = False
        # Connections whose request may be incomplete; the idle ones wait for its first line.
        self.receiving_handlers: set[RequestHandler] = set()
        self.idle_handlers: set[RequestHandler] = set()

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

    def _close_unused(self, handler: RequestHandler) -> None:
        if handler in self.idle_handlers and not handler.has_received:
            handler.end_reading()
