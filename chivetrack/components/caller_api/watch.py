"""Notices a caller that leaves while its request waits."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

import gevent
from gevent.socket import wait_read

from chivetrack.exceptions import Ran


class CallerLeftError(Exception):
    """The caller closed its connection; nobody reads the answer any more."""

    def __init__(self) -> None:
        """Say that the request may have run."""
        super().__init__("the caller left")
        self.ran = Ran.MAYBE


def _wait_for_end(caller_socket: socket.socket, waiter: gevent.Greenlet) -> None:
    wait_read(caller_socket.fileno())
    try:
        ahead = socket.socket.recv(caller_socket, 1, socket.MSG_PEEK)
    except OSError:
        ahead = b""
    # Bytes ahead are the caller's next request: it is still there.
    if not ahead:
        waiter.kill(CallerLeftError(), block=False)


def has_left(caller_socket: socket.socket | None) -> bool:
    """Return whether a caller has closed its connection by now; never waits."""
    if not isinstance(caller_socket, gevent.socket.socket):
        return False
    try:
        # Below gevent, whose own call waits for bytes whatever the flags say.
        ahead = caller_socket._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return not ahead


@contextmanager
def watch_caller(caller_socket: socket.socket | None) -> Iterator[None]:
    """Raise ``CallerLeftError`` in the body when the caller's connection ends.

    Without it an engine would work on for minutes for a caller that has left, since
    a router that only waits writes nothing that could fail.
    """
    if not isinstance(caller_socket, gevent.socket.socket):
        yield
        return
    watcher = gevent.spawn(_wait_for_end, caller_socket, gevent.getcurrent())
    try:
        yield
    finally:
        watcher.kill(block=False)
