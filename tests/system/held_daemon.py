"""An instance that holds still with open listeners; run by ``test_daemon_stop_at_start``."""

from chivetrack.daemon import __main__ as program  # isort: skip  # patches the standard library

import os
import sys

from chivetrack.daemon.listeners import Listeners

_START = Listeners.start


def start_and_hold(listeners: Listeners) -> None:
    """Open the listeners and block the thread until the test has sent a byte."""
    _START(listeners)
    os.write(sys.stdout.fileno(), b"held\n")
    os.read(sys.stdin.fileno(), 1)


if __name__ == "__main__":
    Listeners.start = start_and_hold  # type: ignore[method-assign]
    program.main()
