"""Facts about connections that only the kernel knows, and waits for them."""

import fcntl
import select
import socket
import struct
import termios
from collections.abc import Sequence
from typing import Protocol

import gevent
from gevent import monkey

_INT = struct.Struct("i")
# The poll of gevent waits for a turn of the event loop, also if it may not wait at all.
_poll_without_wait = monkey.get_original("select", "poll")


class HasDescriptor(Protocol):
    """Anything with a descriptor, as a socket."""

    def fileno(self) -> int:
        """Return the descriptor."""


class HasOptions(HasDescriptor, Protocol):
    """Anything with a descriptor and the options of a socket."""

    def getsockopt(self, level: int, option: int, /) -> int:
        """Return an option."""


def count_unacknowledged(descriptor: int) -> int:
    """Return the number of sent bytes that the other side's kernel has not acknowledged.

    The result is 0 if the connection is closed or the kernel does not tell.
    """
    try:
        queued = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(_INT.size))
    except (OSError, ValueError):
        return 0
    return int(_INT.unpack(queued)[0])


def has_delivered(opened: HasOptions) -> bool:
    """Return whether the other side's kernel has all that was sent, and the socket no error.

    The error is taken from the socket. One that another greenlet was told of doesn't show here.
    """
    try:
        error = opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    except OSError:
        return False
    return not error and not count_unacknowledged(opened.fileno())


def has_unread(opened: HasDescriptor) -> bool:
    """Return whether a socket has bytes, an end or an error, without a turn for other greenlets."""
    return _poll(_poll_without_wait(), [opened], 0.0)


def wait_readable(sockets: Sequence[HasDescriptor], timeout_s: float) -> bool:
    """Return whether any of the sockets gets bytes, an end or an error within ``timeout_s``.

    Unlike ``select``, it takes descriptors above 1,023.
    """
    is_readable = any(has_unread(one) for one in sockets)
    if is_readable or timeout_s <= 0:
        if monkey.is_module_patched("select"):
            # As ``select`` of gevent does, so that no greenlet keeps the thread to itself.
            gevent.sleep()
        return is_readable
    return _poll(select.poll(), sockets, timeout_s)


def _poll(poll: select.poll, sockets: Sequence[HasDescriptor], timeout_s: float) -> bool:
    for one in sockets:
        poll.register(one.fileno(), select.POLLIN)
    return bool(poll.poll(timeout_s * 1000))
