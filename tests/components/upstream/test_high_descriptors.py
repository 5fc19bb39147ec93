"""Tests of connections whose descriptors are higher than ``select`` can take."""

import fcntl
import resource
import select
import socket
import time
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

import gevent.select

from chivetrack.components.upstream.connection import EndpointConnection

LOWEST = 1100
SELECTED_DESCRIPTORS = 1024


@contextmanager
def patched_select() -> Iterator[None]:
    """Let the module ``select`` be the one of the deployed processes."""
    with (
        mock.patch.object(select, "select", gevent.select.select),
        mock.patch.object(select, "poll", gevent.select.poll),
    ):
        yield


class HighDescriptorTest(unittest.TestCase):
    def setUp(self) -> None:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.addCleanup(resource.setrlimit, resource.RLIMIT_NOFILE, (soft, hard))
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, 2 * LOWEST), hard))

    def open(self) -> tuple[EndpointConnection, socket.socket]:
        """Return a connection with a high descriptor, and its other end."""
        near, far = socket.socketpair()
        self.addCleanup(far.close)
        high = socket.socket(fileno=fcntl.fcntl(near, fcntl.F_DUPFD_CLOEXEC, LOWEST))
        near.close()
        self.assertGreaterEqual(high.fileno(), SELECTED_DESCRIPTORS)
        connection = EndpointConnection(opened=high)
        self.addCleanup(connection.close)
        return connection, far

    def check_wait(self) -> None:
        connection, far = self.open()
        other, other_far = self.open()
        self.assertTrue(connection.is_clean())
        began = time.monotonic()
        self.assertFalse(connection.wait_readable(0.05, other=other))
        self.assertGreaterEqual(time.monotonic() - began, 0.04)
        other_far.sendall(b"x")
        self.assertTrue(connection.wait_readable(1.0, other=other))
        self.assertFalse(connection.wait_readable(0.0))
        far.close()
        self.assertTrue(connection.wait_readable(1.0))
        self.assertFalse(connection.is_clean())
        self.assertFalse(other.is_clean())

    def test_connection_with_a_high_descriptor_is_waited_for(self) -> None:
        """Guards against a 500 for each request whose connection has a descriptor above 1,023."""
        self.check_wait()

    def test_connection_is_waited_for_under_gevent(self) -> None:
        """Guards against a wait that works only outside the deployed processes."""
        with patched_select():
            self.check_wait()


if __name__ == "__main__":
    unittest.main()
