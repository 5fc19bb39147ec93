"""The end of connections whose callers may still send."""

import socket
from typing import Any

import gevent

from chivetrack.daemon.const import LINGER_BLOCK_BYTES, LINGER_TIMEOUT_S, MAX_LINGER_BYTES
from chivetrack.helpers.reading_turns import MIN_PAUSE_S, ReadingTurns


def linger(caller: Any, turns: ReadingTurns) -> None:
    """Read a limited amount of what a caller still sends, after which its socket can be closed.

    Closing a connection with unread bytes resets it, and the caller may not receive the
    answer. Reading to the end, as gevent does, would not terminate if the caller never
    stops sending. A caller that sends on waits for its ``turns`` with others.
    """
    with gevent.Timeout(LINGER_TIMEOUT_S, False):
        try:
            caller.shutdown(socket.SHUT_WR)
            left = MAX_LINGER_BYTES
            while left > 0 and (data := caller.recv(LINGER_BLOCK_BYTES)):
                left -= len(data)
                turns.wait(MIN_PAUSE_S)
        except OSError:
            return
