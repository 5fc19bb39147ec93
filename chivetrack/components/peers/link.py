"""One connection between two instances."""

import contextlib
import socket
from dataclasses import dataclass, field

from gevent import socket as gevent_socket
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from chivetrack.components.peers.const import (
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    KEEPALIVE_PROBES,
    TCP_USER_TIMEOUT_MS,
)
from chivetrack.helpers.sockets import count_unacknowledged


@dataclass(slots=True, eq=False)
class Link:
    """One connection; ``peer`` is the address at which the other side listens.

    ``greeted`` is set once the other side has said who it is, and ``reads_pieces`` if it can read
    frames that are sent in pieces. ``sending`` counts the frames in progress, ``unwritten`` the
    bytes of them that the kernel has not taken yet.
    """

    socket: gevent_socket.socket
    is_accepted: bool
    peer: str = ""
    reads_pieces: bool = False
    greeted: Event = field(default_factory=Event)
    is_open: bool = True
    sending: int = 0
    unwritten: int = 0
    _write_lock: BoundedSemaphore = field(default_factory=BoundedSemaphore)

    def write(self, data: bytes) -> None:
        """Hand a frame or a piece to the kernel; ``unwritten`` already counts its bytes."""
        try:
            with self._write_lock:
                self.socket.sendall(data)
        finally:
            self.unwritten -= len(data)

    def count_unacknowledged(self) -> int:
        """Return the number of sent bytes that the other side's kernel has not acknowledged."""
        return count_unacknowledged(self.socket.fileno())

    def count_in_flight(self) -> int:
        """Return the bytes on their way, with those that wait for the kernel to take them."""
        return self.count_unacknowledged() + self.unwritten

    def close(self) -> None:
        """Close the connection and wake the greenlets that wait for its bytes."""
        if self.is_open:
            self.is_open = False
            self.greeted.set()
            # The shutdown fails if the connection is gone already; the socket is still closed.
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RDWR)
            self.socket.close()


def set_options(opened: gevent_socket.socket) -> None:
    """Set a connection to send small messages at once and to close when the other side is gone.

    Behind a network cut, or after a lost reset, no data and no error arrives. The kernel closes a
    connection whose bytes or keepalive probes are not acknowledged, so an idle connection costs
    this process nothing.
    """
    opened.settimeout(None)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
