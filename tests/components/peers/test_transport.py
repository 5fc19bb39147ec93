"""The gRPC transport: order, restarts, bad messages, unknown targets."""

import os
import subprocess
import sys
import unittest

LIMIT_S = 60


class TransportTest(unittest.TestCase):
    """Each check runs in its own process, because the library must be patched first."""

    def run_check(self, name: str) -> None:
        pid = os.getpid()
        host = f"127.{210 + (pid >> 8) % 40}.{pid % 256}.1"
        process = subprocess.run(
            [sys.executable, "-m", "tests.components.peers.program", name, host],
            capture_output=True,
            text=True,
            timeout=LIMIT_S,
            check=False,
        )
        self.assertEqual(process.stdout.strip()[-2:], "ok", process.stdout + process.stderr)

    def test_messages_arrive_once_and_in_order(self) -> None:
        self.run_check("order")

    def test_restarted_receiver_gets_only_new_messages(self) -> None:
        """Guards against outdated or lost messages when an instance restarts.

        The first message after the restart must arrive without intervention, and none of the
        messages that have waited for seconds, because their content is outdated.
        """
        self.run_check("restart")

    def test_bad_message_does_not_affect_the_others(self) -> None:
        """An instance of another version sends a message that this one can't decode."""
        self.run_check("bad-messages")

    def test_unknown_target_does_not_delay_others(self) -> None:
        self.run_check("unknown-target")
