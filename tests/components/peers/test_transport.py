"""The transport between instances: order, restarts, bad messages, unknown targets."""

import os
import subprocess
import sys
import unittest

LIMIT_S = 60


class TransportTest(unittest.TestCase):
    """Each check runs in a process of its own, since the library must be patched first."""

    def run_check(self, name: str) -> None:
        pid = os.getpid()
        host = f"127.{210 + (pid >> 8) % 40}.{pid % 256}.1"
        ended = subprocess.run(
            [sys.executable, "-m", "tests.components.peers.program", name, host],
            capture_output=True,
            text=True,
            timeout=LIMIT_S,
            check=False,
        )
        self.assertEqual(ended.stdout.strip()[-2:], "ok", ended.stdout + ended.stderr)

    def test_messages_arrive_once_and_in_order(self) -> None:
        self.run_check("order")

    def test_restarted_receiver_gets_what_is_new(self) -> None:
        """An instance dies and comes back; the others went on sending meanwhile.

        The first message after that must arrive without anybody's help, and none of
        those that had waited for seconds: what they say is old.
        """
        self.run_check("restart")

    def test_bad_message_does_not_hide_the_others(self) -> None:
        """An instance of another version sends a message that this one can't read."""
        self.run_check("bad-messages")

    def test_unknown_target_holds_up_nothing(self) -> None:
        self.run_check("unknown-target")
