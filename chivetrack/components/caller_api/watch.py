"""Detection of callers that leave while their request is being processed."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

import gevent

from chivetrack.exceptions import Ran

# The event mask of the event loop for a readable descriptor.
_READ: Final = 1


class CallerLeftError(Exception):
    """The caller closed its connection, so the answer would not be read."""

    def __init__(self) -> None:
        """Create an error that reports that the request may have run."""
        super().__init__("the caller closed its connection")
        self.ran = Ran.MAYBE


def has_left(caller_socket: socket.socket | None) -> bool:
    """Return whether a caller has closed its connection; does not block."""
    if not isinstance(caller_socket, gevent.socket.socket):
        return False
    try:
        # Calls the underlying socket, because recv of gevent blocks despite MSG_DONTWAIT.
        unread = caller_socket._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return not unread


@contextmanager
def watch_caller(caller_socket: socket.socket | None) -> Iterator[None]:
    """Raise ``CallerLeftError`` in the ``with`` block when the caller closes its connection.

    Otherwise an engine would continue for minutes for a caller that has left, because
    the router writes nothing while it waits, so no write can fail.
    """
    if not isinstance(caller_socket, gevent.socket.socket):
        yield
        return
    waiter = gevent.getcurrent()
    watcher = gevent.get_hub().loop.io(caller_socket.fileno(), _READ)

    def handle_readable() -> None:
        # Unread bytes belong to the next request of the caller, so it is still connected.
        watcher.stop()
        if has_left(caller_socket):
            waiter.throw(CallerLeftError())

    watcher.start(handle_readable)
    try:
        yield
    finally:
        # At once: the server closes the descriptor next, and the event loop aborts the process
        # if it finds a watcher of a closed one.
        watcher.stop()
        watcher.close()
