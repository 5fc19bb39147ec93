"""Failures while a connection to an endpoint is opened."""

import socket
import unittest
from unittest.mock import patch

import gevent
import gevent.socket
import urllib3.util.connection

from chivetrack.components.caller_api.watch import CallerLeftError
from chivetrack.components.upstream.connection import NotSentError, open_socket

TIMEOUT_S = 5.0
STARTED_AFTER_S = 0.05


class DialTimeoutError(BaseException):
    """The time of the request is up."""


class InterruptedTest(unittest.TestCase):
    def setUp(self) -> None:
        listener = socket.socket()
        self.addCleanup(listener.close)
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        host, port = listener.getsockname()
        self.address = f"{host}:{port}"
        # The queue of the listener is full then, so that further connections wait.
        for _ in range(3):
            waiting = socket.socket()
            self.addCleanup(waiting.close)
            waiting.setblocking(False)
            waiting.connect_ex((host, port))
        under_gevent = patch.object(urllib3.util.connection, "socket", gevent.socket)
        under_gevent.start()
        self.addCleanup(under_gevent.stop)

    def test_caller_that_leaves_ends_the_request(self) -> None:
        """Guards against a request sent to the next endpoint for a caller that has left."""
        dialing = gevent.spawn(open_socket, self.address, timeout_s=TIMEOUT_S)
        gevent.sleep(STARTED_AFTER_S)
        self.assertFalse(dialing.ready())
        dialing.kill(CallerLeftError())
        with self.assertRaises(CallerLeftError):
            dialing.get()

    def test_timeout_of_the_request_is_no_failure_of_the_endpoint(self) -> None:
        """Guards against endpoints blamed for a request whose time was up."""
        with (
            self.assertRaises(DialTimeoutError),
            gevent.Timeout(STARTED_AFTER_S, DialTimeoutError()),
        ):
            open_socket(self.address, timeout_s=TIMEOUT_S)

    def test_connection_that_is_not_accepted_is_not_sent(self) -> None:
        with self.assertRaises(NotSentError):
            open_socket(self.address, timeout_s=STARTED_AFTER_S)


if __name__ == "__main__":
    unittest.main()
