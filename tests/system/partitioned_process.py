"""The program of a router that is cut off from all other instances while a file exists.

Bytes wait on both ways, as behind a partition, and go on when it heals. Callers and endpoints are
still reached.
"""

import os
import time
from pathlib import Path
from typing import Any

from chivetrack.daemon.fleet.__main__ import main
from tests.system.deployment import ENV_CUT_FILE, PEER_PORT

import gevent  # isort: skip
from gevent import socket as gevent_socket  # isort: skip

_CUT_FILE = Path(os.environ[ENV_CUT_FILE])
_POLL_S = 0.01


def _wait_until_healed(opened: Any) -> None:
    """Wait while the cut lasts; raise ``TimeoutError`` after the limit of the socket."""
    limit_s = opened.gettimeout()
    ends_at = float("inf") if limit_s is None else time.monotonic() + limit_s
    while _CUT_FILE.exists():
        if time.monotonic() >= ends_at:
            raise TimeoutError("timed out")
        gevent.sleep(_POLL_S)


def _is_peer(opened: Any) -> bool:
    try:
        return PEER_PORT in (opened.getpeername()[1], opened.getsockname()[1])
    except (OSError, IndexError):
        return False


def _cut(name: str) -> None:
    original = getattr(gevent_socket.socket, name)

    def call(opened: Any, *arguments: Any, **options: Any) -> Any:
        if _is_peer(opened):
            _wait_until_healed(opened)
        result = original(opened, *arguments, **options)
        if name == "recv" and _is_peer(opened):
            # What has come during the cut is held up as well.
            _wait_until_healed(opened)
        return result

    setattr(gevent_socket.socket, name, call)


def _cut_connect() -> None:
    original = gevent_socket.socket.connect

    def connect(opened: Any, address: Any) -> Any:
        if address[1] == PEER_PORT:
            _wait_until_healed(opened)
        return original(opened, address)

    gevent_socket.socket.connect = connect


if __name__ == "__main__":
    for method in ("recv", "send", "sendall"):
        _cut(method)
    _cut_connect()
    main()
