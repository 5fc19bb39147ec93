"""Opens the callers' listener and holds signals before the rest of the program is loaded.

Imports only small modules of the standard library: a start takes 0.4 s, nearly all of it for
imports, and until the listener is open each new connection is reset.
"""

import os
import signal
import socket
import time
import tomllib
from pathlib import Path

from chivetrack.components.memory.const import RECEIVE_BUFFER_BYTES
from chivetrack.daemon.const import BACKLOG

ENV_SETTINGS = "CHIVETRACK_SETTINGS"
_STARTED_AT = time.monotonic()
_HELD_SIGNALS = (signal.SIGTERM, signal.SIGHUP)


def open_callers_listener() -> socket.socket | None:
    """Return a listening socket at the settings' ``listeners.callers``.

    If all routers were killed at once, callers reconnect while the routers start. Their
    connections wait in the kernel's accept queue for the rest of the start and are served
    then. Return ``None`` if the settings can't be read, the process is no router or the
    address can't be bound; the start checks and binds again and reports the error.
    """
    try:
        text = Path(os.environ[ENV_SETTINGS]).read_text(encoding="utf-8")
        host, _, port = tomllib.loads(text)["listeners"]["callers"].rpartition(":")
        return _listen(host, int(port))
    except (AttributeError, KeyError, TypeError, ValueError, OSError):
        return None


def hold_signals() -> None:
    """Hold the signals of an operator until ``release_signals``.

    Without a handler, a signal would end the process and reset the connections that wait in
    the accept queue.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, _HELD_SIGNALS)


def release_signals() -> float | None:
    """Receive the signals that were held; they must have handlers now.

    Return the earliest time (s, monotonic) at which a SIGTERM that was held may have come. The
    grace time until SIGKILL counts from the signal.
    """
    is_stopped = signal.SIGTERM in signal.sigpending()
    signal.pthread_sigmask(signal.SIG_UNBLOCK, _HELD_SIGNALS)
    return _STARTED_AT if is_stopped else None


def _listen(host: str, port: int) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.listen(BACKLOG)
    except BaseException:
        listener.close()
        raise
    return listener
