"""Tests of requests that arrive around the decision of a graceful stop to exit."""

import json
import socket as stdlib_socket
import time
import unittest
from collections.abc import Callable, Iterable
from typing import Any

import gevent
from gevent.event import Event as Signal
from gevent.socket import wait_read

from chivetrack.components.caller_api.const import PATH_READY
from chivetrack.components.caller_api.gateway import Gateway
from chivetrack.components.memory.budget import make_budget
from chivetrack.components.proposals.models import SubmissionEnded
from chivetrack.components.settings.models import ListenerSettings
from chivetrack.components.upstream.client import UpstreamClient
from chivetrack.core import Event
from chivetrack.daemon.call_gate import CallGate
from chivetrack.daemon.encryption import Encryption
from chivetrack.daemon.instance_requests import InstanceRequests
from chivetrack.daemon.listeners import Applications, Listeners
from chivetrack.daemon.refusals import ConnectionGate, StopRefusal
from chivetrack.daemon.stop import GracefulStop, StopReport
from chivetrack.daemon.submissions import Submissions
from chivetrack.exceptions import Ran
from chivetrack.helpers.sections.values import Address
from chivetrack.helpers.telemetry import open_telemetry

REQUEST = b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
READY_REQUEST = b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"
CHUNK_BYTES = 65536


class HeldRequests(InstanceRequests):
    """Calls ``at_decision`` after the last count, while no greenlet of the server can run."""

    at_decision: Callable[[], None] = staticmethod(lambda: None)

    def refuse_new(self) -> None:
        self.at_decision()
        super().refuse_new()


class StopCase(unittest.TestCase):
    def setUp(self) -> None:
        self.served: list[str] = []
        self.work_s = 0.0
        self.may_answer = Signal()
        self.may_answer.set()
        self.refuse = StopRefusal(
            application=self.answer, make_id=lambda: "r1", answered_paths=[PATH_READY]
        )
        self.connection_gate = ConnectionGate(application=self.answer, refuse=self.refuse)
        self.gates = [
            CallGate(application=self.connection_gate, refuse=self.refuse),
            CallGate(application=self.answer, refuse=self.refuse),
        ]
        self.listeners = self.open_listeners()
        self.posted: list[Event] = []
        self.submissions = Submissions(
            post=self.posted.append, read_clock=time.monotonic, make_id=lambda: "s1"
        )
        self.requests = HeldRequests(
            gateway=self.make_gateway(),
            submissions=self.submissions,
            connection_gate=self.connection_gate,
            caller_gate=self.gates[0],
            operator_gate=self.gates[1],
            listeners=self.listeners,
        )
        self.stop = GracefulStop(
            settle_s=0.0, deadline_s=5.0, requests=self.requests, read_clock=time.monotonic
        )

    def make_gateway(self) -> Gateway:
        return Gateway(
            post=self.posted.append,
            client=UpstreamClient(),
            telemetry=self.enterContext(open_telemetry(instance_id="entry-1")),
            read_clock=time.monotonic,
            make_id=lambda: "r1",
        )

    def answer(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        self.served.append(environ["PATH_INFO"])
        environ["wsgi.input"].read()
        gevent.sleep(self.work_s)
        self.may_answer.wait()
        start_response("200 OK", [("Content-Length", "6")])
        return [b"served"]

    def open_listeners(self) -> Listeners:
        address = Address(host="127.0.0.1", port=0)
        settings = ListenerSettings(
            caller=address, resources=address, peer=address, telemetry=address
        )
        listeners = Listeners(
            settings=settings,
            applications=Applications(
                caller=self.gates[0], resources=self.gates[1], telemetry=self.answer
            ),
            encryption=Encryption(listeners={}),
            memory=make_budget(memory_bytes=10**8, max_descriptors=4096),
            is_closing=lambda: self.stop.is_stopping,
        )
        listeners.start()
        self.addCleanup(listeners.stop)
        return listeners

    def connect(self, name: str = "caller") -> stdlib_socket.socket:
        """Return a connection whose calls block the thread, so that no greenlet runs."""
        port = self.listeners.get_port(name)
        connection = stdlib_socket.create_connection(("127.0.0.1", port), timeout=10)
        self.addCleanup(connection.close)
        return connection

    def keep_connection(self, name: str = "caller") -> stdlib_socket.socket:
        """Return a connection on which one request has been served."""
        connection = self.connect(name)
        connection.sendall(REQUEST)
        wait_read(connection.fileno(), timeout=10)
        self.assertIn(b"served", connection.recv(CHUNK_BYTES))
        self.served.clear()
        return connection

    def wait_open(self) -> None:
        """Wait until a request is in progress."""
        with gevent.Timeout(10):
            while not self.requests.count():
                gevent.sleep(0.01)

    def run_stop(self) -> StopReport:
        self.stop.request()
        return self.stop.wait()

    @staticmethod
    def receive(connection: stdlib_socket.socket) -> bytes:
        received: list[bytes] = []
        while data := connection.recv(CHUNK_BYTES):
            received.append(data)
        return b"".join(received)

    def assert_refused(self, connection: stdlib_socket.socket) -> None:
        head, _, body = self.receive(connection).partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 503"), head)
        self.assertIn(b"Connection: close", head)
        error = json.loads(body)["error"]
        self.assertEqual((error["code"], error["ran"]), ("instance_stopping", "no"))


class DecisionTest(StopCase):
    def test_request_on_a_kept_connection_is_refused(self) -> None:
        """Guards against a request that is passed on after the decision to exit."""
        caller = self.keep_connection()
        self.requests.at_decision = lambda: caller.sendall(REQUEST)
        self.assertEqual(self.run_stop(), StopReport(cut=0))
        self.assert_refused(caller)
        self.assertEqual(self.served, [])

    def test_connection_in_the_accept_queue_is_refused(self) -> None:
        """Guards against a reset of callers that wait in the accept queue at the exit."""
        callers: list[stdlib_socket.socket] = []

        def send() -> None:
            callers.extend(self.connect() for _ in range(5))
            for caller in callers:
                caller.sendall(REQUEST)

        self.requests.at_decision = send
        self.assertEqual(self.run_stop(), StopReport(cut=0))
        for caller in callers:
            self.assert_refused(caller)
        self.assertEqual(self.served, [])

    def test_request_of_an_operator_is_refused(self) -> None:
        """Guards against a change that is submitted after the decision to exit."""
        operator = self.keep_connection("resources")
        self.requests.at_decision = lambda: operator.sendall(REQUEST)
        self.assertEqual(self.run_stop(), StopReport(cut=0))
        self.assertEqual(self.listeners.drain_rest(ends_at=time.monotonic() + 5.0), 0)
        self.assert_refused(operator)
        self.assertEqual(self.served, [])

    def test_request_whose_body_is_read_is_finished(self) -> None:
        """Guards against an exit while the body of a request is read, which nothing counted."""
        caller = self.connect()
        caller.sendall(REQUEST[:-1])
        self.wait_open()
        gevent.spawn_later(0.5, caller.sendall, REQUEST[-1:])
        self.assertEqual(self.run_stop(), StopReport(cut=0))
        self.assertIn(b"served", self.receive(caller))

    def test_submission_of_an_operator_is_finished(self) -> None:
        """Guards against an exit while a change of an operator waits for the log."""
        operator = self.connect("resources")
        self.may_answer.clear()
        operator.sendall(REQUEST)
        self.wait_open()
        gevent.spawn_later(0.5, self.may_answer.set)
        self.assertEqual(self.run_stop(), StopReport(cut=0))
        self.assertEqual(self.listeners.drain_rest(ends_at=time.monotonic() + 5.0), 0)
        self.assertIn(b"served", self.receive(operator))

    def test_stop_ends_while_callers_keep_coming(self) -> None:
        """Guards against a stop that never ends since callers keep opening connections."""
        self.work_s = 0.3
        first = self.connect()
        first.sendall(REQUEST)
        self.wait_open()
        callers: list[stdlib_socket.socket] = []

        def keep_coming() -> None:
            while True:
                callers.append(self.connect())
                callers[-1].sendall(REQUEST)
                gevent.sleep(0.1)

        coming = gevent.spawn(keep_coming)
        self.requests.at_decision = coming.kill
        self.assertEqual(self.run_stop(), StopReport(cut=0))
        self.assertIn(b"served", self.receive(first))
        for caller in callers[1:]:
            self.assert_refused(caller)

    def test_second_signal_refuses_what_is_half_received(self) -> None:
        """Guards against a second signal that closes a connection without an answer."""
        caller = self.connect()

        def send() -> None:
            caller.sendall(REQUEST[:-1])
            gevent.spawn_later(0.1, self.stop.request)

        self.requests.at_decision = send
        self.assertEqual(self.run_stop(), StopReport(cut=0))
        self.assert_refused(caller)

    def test_readiness_is_answered_to_the_end(self) -> None:
        """Guards against a readiness check without an answer during the last step of a stop."""
        prober = self.connect()
        self.requests.at_decision = lambda: prober.sendall(READY_REQUEST)
        self.run_stop()
        self.assertIn(b"served", self.receive(prober))
        self.assertEqual(self.served, [PATH_READY])


class SubmissionEndTest(StopCase):
    """Submissions that wait for the log when a stop is forced."""

    def test_change_may_have_been_made_and_a_read_has_not_run(self) -> None:
        """Guards against an operator without an answer, or told that a change was not made."""
        self.submissions.make_id = iter(("s1", "s2")).__next__
        change = gevent.spawn(self.submissions.submit, b"", timeout_s=10.0)
        read = gevent.spawn(self.submissions.read, b"", timeout_s=10.0)
        gevent.sleep(0)
        self.submissions.end_open()
        faults = [waiting.get(timeout=5).error for waiting in (change, read)]
        self.assertEqual([fault.status for fault in faults], [502, 503])
        self.assertEqual([fault.ran for fault in faults], [Ran.MAYBE, Ran.NO])

    def test_result_that_has_come_is_kept(self) -> None:
        """Guards against a committed change that is reported as unknown."""
        waiting = gevent.spawn(self.submissions.submit, b"", timeout_s=10.0)
        gevent.sleep(0)
        self.submissions.handle_end(SubmissionEnded(submission_id="api:s1", result=b"done"))
        self.submissions.end_open()
        self.assertEqual(waiting.get(timeout=5).ok, b"done")

    def test_nothing_is_submitted_after_the_end(self) -> None:
        """Guards against a change that an open request submits after the decision to exit."""
        self.submissions.end_open()
        fault = self.submissions.submit(b"", timeout_s=10.0).error
        self.assertEqual((fault.code, fault.ran), ("instance_stopping", Ran.NO))
        self.assertEqual(self.posted, [])


if __name__ == "__main__":
    unittest.main()
