"""Connections that a stopping router carries for others."""

import socket
import threading
import time
import unittest
from collections.abc import Callable
from unittest.mock import patch

import gevent

from chivetrack.daemon.fleet import stream_carrier
from tests.daemon.fleet.scripted import make_answer
from tests.daemon.fleet.test_dialer import REQUEST, DialerCase

ACTIVE_S = 0.1
TIMEOUT_S = 5.0


class CarriedStopTest(DialerCase):
    def setUp(self) -> None:
        super().setUp()
        self.enterContext(patch.object(stream_carrier, "ACTIVE_S", ACTIVE_S))
        self.may_answer = threading.Event()
        self.make_troubled()

    def answer_late(self, connection: socket.socket) -> None:
        self.may_answer.wait(TIMEOUT_S)
        connection.sendall(make_answer(b"late"))
        time.sleep(TIMEOUT_S)

    def test_request_that_waits_for_its_answer_holds_up_the_stop(self) -> None:
        """Guards against an order that a stopping carrier cuts while its endpoint works."""
        connection = self.dial(self.open(self.answer_late))
        self.addCleanup(connection.close)
        connection.send(REQUEST, timeout_s=TIMEOUT_S)
        gevent.sleep(3 * ACTIVE_S)
        self.carrier.close_idle()
        self.assertEqual(self.carrier.count_active(), 1)
        self.may_answer.set()
        answer = connection.read_answer("GET", timeout_s=TIMEOUT_S)
        self.assertEqual(b"".join(answer.read_chunks()), b"late")

    def test_connection_without_a_request_is_closed(self) -> None:
        """Guards against a stop that waits for connections on which nothing is asked."""
        script: Callable[[socket.socket], None] = self.answer_late
        self.may_answer.set()
        connection, _ = self.exchange(self.open(script))
        gevent.sleep(3 * ACTIVE_S)
        self.assertEqual(self.carrier.count_active(), 0)
        self.carrier.close_idle()
        gevent.sleep(ACTIVE_S)
        self.assertFalse(connection.is_clean())


if __name__ == "__main__":
    unittest.main()
