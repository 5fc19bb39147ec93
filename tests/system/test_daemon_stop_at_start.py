"""Test of an instance that is told to stop while it starts."""

import signal
import socket
import subprocess
import sys
import unittest

from standins.demo import CHAT_PATH
from standins.fleet import CALLER_PORT, open_fleet
from tests.system.test_path_own_answer import make_chat, make_head

LIMIT_S = 20.0


class DaemonStopAtStartTest(unittest.TestCase):
    def test_caller_in_the_accept_queue_is_answered(self) -> None:
        """Guards against a reset of a whole request when SIGTERM comes during the start."""
        fleet = self.enterContext(open_fleet())
        fleet.plan_instances(1)
        (plan,) = fleet.plans
        settings = fleet.folder / "settings.toml"
        settings.write_text(fleet.make_settings(plan))
        process = subprocess.Popen(
            [sys.executable, "-m", "tests.system.held_daemon", "--config", str(settings)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        self.addCleanup(process.communicate)
        self.addCleanup(process.kill)
        assert process.stdin is not None and process.stdout is not None
        self.assertEqual(process.stdout.readline(), b"held\n")
        body = make_chat("early", stream=False)
        with socket.create_connection((plan.host, CALLER_PORT), timeout=LIMIT_S) as caller:
            caller.sendall(make_head(CHAT_PATH, f"Content-Length: {len(body)}") + body)
            process.send_signal(signal.SIGTERM)
            process.stdin.write(b"\n")
            process.stdin.flush()
            with caller.makefile("rb") as stream:
                answer = stream.read()
        self.assertTrue(answer.startswith(b"HTTP/1.1 "), answer)
        self.assertEqual(process.wait(LIMIT_S), 0)
