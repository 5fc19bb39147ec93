"""Carries connections to endpoints for routers that have lost their own path to them."""

import contextlib
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent import socket as gevent_socket

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.paths.const import MAX_CARRIED
from chivetrack.components.paths.messages import CarryRequest, CarryVerdict
from chivetrack.components.upstream.carried import END_BLOCK, encode_block
from chivetrack.components.upstream.connection import SOCKET_OPTIONS
from chivetrack.daemon.fleet.const import CONNECT_TIMEOUT_S
from chivetrack.helpers.addresses import read_address
from chivetrack.helpers.events import EventLog
from chivetrack.helpers.sockets import has_delivered, has_unread

_READ_BYTES = 16 * 1024
_SEND_TIMEOUT_S = 5.0
# An answer without bytes for this long holds up no stop: it can't be told from an idle connection.
ACTIVE_S = 1.0


@dataclass(slots=True, eq=False)
class _Stream:
    """One carried connection: ``near`` to the router that asked, ``far`` to the endpoint.

    ``relayed`` counts the bytes that were read for the endpoint, ``taken`` those that it was sent.
    ``awaits_answer``: the newest bytes went to the endpoint, which owes an answer to them.
    """

    near: gevent_socket.socket
    far: gevent_socket.socket
    active_at: float
    relayed: int = 0
    taken: int = 0
    awaits_answer: bool = False

    def is_active(self, now: float) -> bool:
        """Return whether a request is open, or was a moment ago."""
        return self.awaits_answer or self.active_at >= now - ACTIVE_S

    @property
    def has_taken_requests(self) -> bool:
        """Return whether all that has come for the endpoint has reached it."""
        is_sent = self.taken == self.relayed and has_delivered(self.far)
        return is_sent and not has_unread(self.near)

    def close(self) -> None:
        for opened in (self.near, self.far):
            with contextlib.suppress(OSError):
                opened.shutdown(socket.SHUT_RDWR)
            opened.close()


class StreamCarrier:
    """Connects to endpoints for other routers and relays the bytes.

    It only connects to endpoints that this router knows, and always by itself: a request to carry
    is never passed on, so connections can't go round in circles. The router that asked keeps the
    request and all decisions about it.
    """

    def __init__(
        self,
        *,
        find_endpoint: Callable[[str], EndpointRecord | None],
        is_broken: Callable[[EndpointRecord], bool],
        is_own_path: Callable[[EndpointRecord], bool],
        is_stopping: Callable[[], bool],
        events: EventLog,
    ) -> None:
        """Store how to look up an endpoint, and whether this router stops.

        ``is_broken`` returns whether the own path to an endpoint is broken. ``is_own_path`` is told
        of an endpoint that could not be reached, and returns whether this router may be cut off
        from it itself.
        """
        self._find_endpoint = find_endpoint
        self._is_broken = is_broken
        self._is_own_path = is_own_path
        self._is_stopping = is_stopping
        self._events = events
        self._streams: set[_Stream] = set()

    @property
    def open_count(self) -> int:
        """Return the number of connections that are carried now."""
        return len(self._streams)

    def count_active(self) -> int:
        """Return how many of them hold up a stop.

        A silent endpoint still works on its request; an idle connection has none.
        """
        now = time.monotonic()
        return sum(1 for stream in self._streams if stream.is_active(now))

    def close_idle(self) -> None:
        """Close the connections without a request, so that their routers use other carriers."""
        now = time.monotonic()
        for stream in [one for one in self._streams if not one.is_active(now)]:
            stream.close()

    def serve(self, near: gevent_socket.socket, request: CarryRequest) -> None:
        """Connect to the endpoint, answer with a verdict, and relay until either side ends."""
        near.settimeout(_SEND_TIMEOUT_S)
        far = self._connect(request)
        verdict = far if isinstance(far, CarryVerdict) else CarryVerdict.CONNECTED
        self._events.write(
            "connection_carried",
            request=request.request_id,
            endpoint=request.endpoint_id,
            address=request.address,
            verdict=verdict.name.lower(),
            carried=self.open_count,
        )
        with contextlib.suppress(OSError):
            near.sendall(verdict.value)
        if not isinstance(far, CarryVerdict):
            self._relay(_Stream(near, far, time.monotonic()))

    def _connect(self, request: CarryRequest) -> gevent_socket.socket | CarryVerdict:
        record = self._find_endpoint(request.endpoint_id)
        if record is None or record.address != request.address:
            return CarryVerdict.REFUSED
        has_room = self.open_count < MAX_CARRIED and not self._is_stopping()
        if not has_room or self._is_broken(record):
            return CarryVerdict.REFUSED
        try:
            return _open_far(request.address)
        except OSError:
            is_own_path = self._is_own_path(record)
            return CarryVerdict.UNSURE if is_own_path else CarryVerdict.UNREACHABLE

    def _relay(self, stream: _Stream) -> None:
        self._streams.add(stream)
        requests = gevent.spawn(self._relay_requests, stream)
        try:
            self._relay_answers(stream)
        finally:
            self._streams.discard(stream)
            requests.kill(block=False)
            stream.close()

    def _relay_requests(self, stream: _Stream) -> None:
        """Relay bytes to the endpoint; if the router leaves, the endpoint has to stop working."""
        stream.near.settimeout(None)
        try:
            while data := stream.near.recv(_READ_BYTES):
                stream.active_at = time.monotonic()
                stream.awaits_answer = True
                stream.relayed += len(data)
                stream.far.sendall(data)
                stream.taken += len(data)
        except OSError:
            pass  # Either side is gone; the other one is closed below.
        finally:
            stream.close()

    def _relay_answers(self, stream: _Stream) -> None:
        """Relay bytes from the endpoint; only its own orderly end is marked as an end.

        The other greenlet may have got the endpoint's reset, which shows as a mere end here.
        """
        stream.far.settimeout(None)
        try:
            while data := stream.far.recv(_READ_BYTES):
                stream.active_at = time.monotonic()
                stream.awaits_answer = False
                stream.near.sendall(encode_block(data))
            if stream.has_taken_requests:
                stream.near.sendall(END_BLOCK)
        except OSError:
            pass  # The connection to the router ends without the mark.


def _open_far(address: str) -> gevent_socket.socket:
    """Connect to an endpoint; raise ``OSError`` if it can't be reached."""
    target = read_address(address)
    if target is None:
        raise OSError("the address is no IP:PORT")
    opened = gevent_socket.create_connection((target.host, target.port), CONNECT_TIMEOUT_S)
    for option in SOCKET_OPTIONS:
        opened.setsockopt(*option)
    return opened
