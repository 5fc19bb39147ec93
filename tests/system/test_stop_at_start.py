"""System tests of a router that is stopped while it starts."""

import signal
import socket
import unittest
from pathlib import Path

from tests.system.deployment import CALLER_PORT, Deployment, open_deployment
from tests.system.fleets import wait_for

REQUEST = b"GET /a/x HTTP/1.1\r\nHost: one.example\r\nX-Chivetrack-Key: key\r\n\r\n"
EXIT_TIMEOUT_S = 20.0


def is_held(pid: int) -> bool:
    """Return whether a process has blocked SIGTERM."""
    status = Path(f"/proc/{pid}/status").read_text()
    (blocked,) = (line for line in status.splitlines() if line.startswith("SigBlk:"))
    return bool(int(blocked.split()[1], 16) & 1 << (signal.SIGTERM - 1))


class StopAtStartTest(unittest.TestCase):
    def connect(self, deployment: Deployment) -> socket.socket:
        """Return a connection to a router as soon as its listener is open."""

        def attempt() -> socket.socket | None:
            try:
                return socket.create_connection((deployment.get_host("r1"), CALLER_PORT))
            except ConnectionError:
                return None

        opened: socket.socket = wait_for(attempt, "the router does not listen")
        self.addCleanup(opened.close)
        opened.settimeout(EXIT_TIMEOUT_S)
        return opened

    def test_request_in_the_accept_queue_is_answered(self) -> None:
        """Guards against a reset of what came before the program is loaded that would answer it."""
        deployment = self.enterContext(open_deployment(replicas=1, routers=1))
        deployment.start("r1")
        caller = self.connect(deployment)
        caller.sendall(REQUEST)
        process = deployment.begin_stop("r1")
        received = b""
        while data := caller.recv(65536):
            received += data
        self.assertTrue(received.startswith(b"HTTP/1.1 503"), received)
        self.assertEqual(process.wait(EXIT_TIMEOUT_S), 0)

    def test_signals_of_a_replica_that_starts_are_not_lost(self) -> None:
        """Guards against a replica that does not stop since its start held the signal."""
        deployment = self.enterContext(open_deployment(replicas=1, routers=0))
        deployment.start("p1")
        log = deployment.folder / "p1.log"
        pid = deployment.processes["p1"].pid
        wait_for(lambda: is_held(pid), "the replica does not hold SIGTERM")
        process = deployment.begin_stop("p1")
        self.assertEqual(process.wait(EXIT_TIMEOUT_S), 0)
        self.assertIn('"stopped"', log.read_text())


if __name__ == "__main__":
    unittest.main()
