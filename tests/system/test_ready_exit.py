"""System tests of the listeners of a router that are not for callers, at its exit."""

import contextlib
import socket
import time
import unittest

from tests.system.deployment import METRICS_PORT, READY_PORT, open_deployment
from tests.system.fleets import wait_for

EXIT_TIMEOUT_S = 20.0
# After the window in which a router waits for callers.
AT_EXIT_S = 2.7


class ReadyExitTest(unittest.TestCase):
    def test_request_that_is_half_sent_is_answered(self) -> None:
        """Guards against a probe, or an operator's read, that the exit cuts."""
        deployment = self.enterContext(open_deployment(replicas=1, routers=1))
        deployment.start_all()
        host = deployment.get_host("r1")
        ready_url = f"http://{host}:{READY_PORT}/ready"
        wait_for(lambda: deployment.send_request("GET", ready_url)[0], "the router does not listen")
        process = deployment.begin_stop("r1")
        time.sleep(AT_EXIT_S - 0.5)
        callers: list[socket.socket] = []
        for port, path in ((READY_PORT, "/ready"), (METRICS_PORT, "/metrics")):
            caller = socket.create_connection((host, port), timeout=EXIT_TIMEOUT_S)
            self.addCleanup(caller.close)
            caller.sendall(f"GET {path} HTTP/1.1\r\nHost: ".encode())
            callers.append(caller)
        time.sleep(0.5)
        for caller, status in zip(callers, (b"503", b"200"), strict=True):
            received = b""
            with contextlib.suppress(ConnectionError):
                caller.sendall(b"router\r\n\r\n")
                while data := caller.recv(65536):
                    received += data
            self.assertEqual(received[9:12], status)
        self.assertEqual(process.wait(EXIT_TIMEOUT_S), 0)


if __name__ == "__main__":
    unittest.main()
