"""Tests of the detection of callers that leave."""

import subprocess
import sys
import unittest

_PROGRAM = """
from gevent import monkey
monkey.patch_all()
import gevent
from gevent import socket
from chivetrack.components.caller_api.watch import watch_caller

sleep = monkey.get_original("time", "sleep")

def serve(caller):
    with watch_caller(caller):
        gevent.sleep(0)
        for _ in range(200):
            gevent.get_hub().loop.run_callback(sleep, 0.0005)
    caller._sock.close()

caller, _ = socket.socketpair()
gevent.spawn(serve, caller).join()
gevent.sleep(0.05)
print("goes on")
"""
TIMEOUT_S = 20.0


class WatchTest(unittest.TestCase):
    def test_descriptor_that_is_closed_while_the_loop_is_late(self) -> None:
        """Guards against a router that the event loop aborts for a watcher of a closed caller."""
        ended = subprocess.run(
            [sys.executable, "-c", _PROGRAM],
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        self.assertEqual((ended.returncode, ended.stdout.strip()), (0, "goes on"), ended.stderr)


if __name__ == "__main__":
    unittest.main()
