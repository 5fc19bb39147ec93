"""A connection to one endpoint that serves one request at a time.

Failures distinguish requests that were not sent from requests that may have run.
"""

import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import gevent
from urllib3.util.connection import create_connection

from chivetrack.components.upstream.answer_head import AnswerHeadError, HeadFault
from chivetrack.components.upstream.carried import CarriedSocket
from chivetrack.components.upstream.endpoint_answer import AnswerReader, EndpointAnswer
from chivetrack.helpers.addresses import MAX_ADDRESS_LENGTH, read_address
from chivetrack.helpers.reading_turns import ReadingTurns
from chivetrack.helpers.sockets import (
    count_unacknowledged,
    has_delivered,
    wait_readable,
)

# TCP closes the connection when sent bytes stay unacknowledged for longer. A host that lost
# power or is behind a network partition does not close its connections itself.
UNACKNOWLEDGED_TIMEOUT_MS = 2000
# Larger bodies are sent by a separate greenlet, so that an answer that arrives before the
# endpoint has read the body is detected immediately.
MAX_INLINE_BODY_BYTES = 16 * 1024
SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
]


class NotSentError(Exception):
    """No byte of the request was sent."""


class ConnectTimeoutError(NotSentError):
    """The other host did not answer; a refused connection would show that it is reached."""


class MaybeRanError(Exception):
    """Bytes of the request were sent, but no complete answer head was received."""


class UnsoundHeadError(MaybeRanError):
    """What the endpoint sent is not the head of an answer, or not all of one."""

    def __init__(self, message: str, *, fault: HeadFault) -> None:
        """Store the kind of fault beside the message."""
        super().__init__(message)
        self.fault = fault


class ForeignAnswerError(UnsoundHeadError):
    """Somebody answered, but not the endpoint, or not the request."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointRequest:
    """A request as it is sent; ``target`` is the raw target of the request line."""

    method: str
    target: str
    headers: Sequence[tuple[str, str]]
    body: bytes


def open_socket(address: str, *, timeout_s: float) -> socket.socket:
    """Connect to an endpoint at ``address`` (IP:PORT); raise ``NotSentError`` if this fails."""
    target = read_address(address)
    if target is None:
        raise NotSentError(f"cannot connect to {address[:MAX_ADDRESS_LENGTH]!r}: no IP:PORT")
    try:
        return create_connection(
            (target.host, target.port), timeout_s, socket_options=SOCKET_OPTIONS
        )
    except (OSError, ValueError) as error:
        # Only errors of the connection: a caller that leaves meanwhile ends the request.
        kind = ConnectTimeoutError if isinstance(error, TimeoutError) else NotSentError
        raise kind(f"cannot connect to {address}: {error}") from error


class EndpointConnection:
    """A connection that serves one request after the other."""

    def __init__(
        self, *, opened: socket.socket | CarriedSocket, turns: ReadingTurns | None = None
    ) -> None:
        """Use a connection that was opened to the endpoint, or that a carrier has opened.

        Readers of large answers wait for their ``turns`` with others.
        """
        self._socket = opened
        self._is_open = True
        self._reader = AnswerReader(opened=opened, turns=turns or ReadingTurns())
        self._sender: gevent.Greenlet | None = None
        self.idle_since = 0.0
        self.idle_limit_s = 0.0

    @classmethod
    def connect(
        cls, *, address: str, connect_timeout_s: float, turns: ReadingTurns | None = None
    ) -> "EndpointConnection":
        """Connect to ``address`` (host:port); raise ``NotSentError`` if this fails."""
        return cls(opened=open_socket(address, timeout_s=connect_timeout_s), turns=turns)

    @property
    def carrier(self) -> str:
        """Return the router that carries the connection, empty if none does."""
        return self._socket.carrier if isinstance(self._socket, CarriedSocket) else ""

    @property
    def _has_buffered_data(self) -> bool:
        carried = self._socket if isinstance(self._socket, CarriedSocket) else None
        return self._reader.has_buffered_data or (carried is not None and carried.has_buffered_data)

    def is_clean(self) -> bool:
        """Return whether the connection is open and has no unread bytes.

        Bytes that belong to no request would be read as the next answer.
        """
        if not self._is_open or self._has_buffered_data:
            return False
        return not wait_readable([self._socket], 0.0)

    def send(self, request: EndpointRequest, *, timeout_s: float) -> None:
        """Send a request; raise ``NotSentError`` or ``MaybeRanError`` if this fails."""
        self._socket.settimeout(timeout_s)
        head = _make_head(request)
        in_background = len(request.body) > MAX_INLINE_BODY_BYTES
        inline_data = head if in_background else head + request.body
        self._send_inline(inline_data)
        if in_background:
            self._sender = gevent.spawn(self._send_body, request.body)

    def _send_inline(self, data: bytes) -> None:
        try:
            sent = self._socket.send(data)
        except OSError as error:
            # No byte was sent: the endpoint had closed the connection before.
            raise NotSentError(f"the request was not sent: {error}") from error
        try:
            self._socket.sendall(data[sent:])
        except OSError as error:
            raise MaybeRanError(f"the request was sent only in part: {error}") from error

    def _send_body(self, body: bytes) -> bool:
        try:
            self._socket.sendall(body)
        except OSError:
            # The endpoint may have answered before the end of the body; that answer can
            # still be read.
            return False
        return True

    def wait_readable(self, timeout_s: float, *, other: "EndpointConnection | None" = None) -> bool:
        """Wait up to ``timeout_s`` and return whether bytes or a close were received.

        Those of ``other`` count as well.
        """
        if self._has_buffered_data or (other is not None and other._has_buffered_data):
            return True
        sockets = [self._socket] if other is None else [self._socket, other._socket]
        return wait_readable(sockets, timeout_s)

    def count_unacknowledged(self) -> int:
        """Return the sent bytes of a complete request that the other host has not acknowledged."""
        if self._sender is not None and not self._sender.ready():
            return 0
        return count_unacknowledged(self._socket.fileno())

    def read_answer(self, method: str, *, timeout_s: float) -> EndpointAnswer:
        """Read the head of the next answer; raise ``MaybeRanError`` if there is none."""
        self._socket.settimeout(timeout_s)
        try:
            head = self._reader.read_head(method)
        except AnswerHeadError as error:
            raise UnsoundHeadError(f"no answer: {error}", fault=error.fault) from error
        except OSError as error:
            raise MaybeRanError(f"no answer: {type(error).__name__}: {error}") from error
        return EndpointAnswer(
            head=head, reader=self._reader, is_request_taken=self._is_request_taken
        )

    def _is_request_taken(self) -> bool:
        """Return whether the request was sent whole and has arrived at the other host."""
        sender = self._sender
        is_sent = sender is None or (sender.ready() and bool(sender.value))
        return is_sent and has_delivered(self._socket)

    def watch_silence(self, handle_silence: Callable[[], None], *, interval_s: float) -> None:
        """Call ``handle_silence`` each ``interval_s`` without bytes of the answer.

        It ends the wait by an error; without one, the wait goes on.
        """
        self._socket.settimeout(interval_s)
        self._reader.handle_silence = handle_silence

    def end_request(self) -> bool:
        """Stop sending, and return whether the complete request has been sent.

        The connection can serve another request only if the complete request was sent.
        """
        self._reader.handle_silence = None
        sender, self._sender = self._sender, None
        if sender is None:
            return True
        if not sender.ready():
            sender.kill(block=False)
            return False
        return bool(sender.value)

    def close(self) -> None:
        """Close the connection, which makes the endpoint stop."""
        sender, self._sender = self._sender, None
        if sender is not None:
            sender.kill(block=False)
        self._is_open = False
        self._socket.close()

    def mark_idle(self, *, now: float, idle_limit_s: float) -> None:
        """Record that the connection is idle since ``now`` for at most ``idle_limit_s``."""
        self.idle_since = now
        self.idle_limit_s = idle_limit_s


def _make_head(request: EndpointRequest) -> bytes:
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in request.headers]
    if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(f"Content-Length: {len(request.body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
