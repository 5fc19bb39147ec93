"""Opens the callers' listener before the rest of the program is loaded.

Imports nothing but the standard library's light modules: a start takes 0.4 s, nearly all of
it for imports, and until the listener is open each new connection is reset.
"""

import os
import socket
import tomllib
from pathlib import Path

from chivetrack.daemon.const import BACKLOG

ENV_SETTINGS = "CHIVETRACK_SETTINGS"


def open_callers_listener() -> socket.socket | None:
    """Return a listening socket at the settings' ``listeners.callers``.

    It answers the load pattern in which all routers were killed at once and callers come
    back while they start: connections wait in the kernel's queue, for at most the rest of
    the start, and are served then. Settings that can't be read, a process that is no
    router and an address that can't be bound give ``None``: the start that follows checks
    and binds again, and says what is wrong.
    """
    try:
        text = Path(os.environ[ENV_SETTINGS]).read_text(encoding="utf-8")
        host, _, port = tomllib.loads(text)["listeners"]["callers"].rpartition(":")
        return _listen(host, int(port))
    except (AttributeError, KeyError, TypeError, ValueError, OSError):
        return None


def _listen(host: str, port: int) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except BaseException:
        listener.close()
        raise
    return listener
