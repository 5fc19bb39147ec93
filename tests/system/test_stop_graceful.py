"""System tests of graceful and forced stops: requests complete, or are logged as cut off."""

import http.client
import json
import signal
import time
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

from standins.demo import CALLER_KEY, CHAT_PATH, MODEL, apply_workspace, chat, wait_routed
from standins.fleet import Fleet, Member, open_fleet
from tests.system.fleets import make_workspace
from tests.system.test_path_own_answer import make_chat, make_head, wait_until

STREAMS = 6
LATE_REQUESTS = 12
LATE_INTERVAL_S = 0.04
TOKENS = 40
END_MARK = b"data: [DONE]"


class StopCase(unittest.TestCase):
    """Starts a fleet with one engine, optionally behind the stand-in load balancer."""

    def open(self, *, deadline_s: float, token_ms: int, balancer: bool) -> Fleet:
        stack = ExitStack()
        self.addCleanup(stack.close)
        fleet = stack.enter_context(open_fleet())
        fleet.settings["stop"] = {"settle_s": 1.5, "deadline_s": deadline_s}
        fleet.plan_instances(3)
        fleet.start_instances()
        fleet.start_endpoint(
            "engine-1", "--model", MODEL, "--tokens", str(TOKENS), "--token-ms", str(token_ms)
        )
        apply_workspace(fleet)
        wait_routed(fleet)
        if balancer:
            fleet.start_balancer()
        return fleet

    def begin_stream(self, member: Member) -> http.client.HTTPResponse:
        """Start a stream and return it after its first bytes have arrived."""
        connection = http.client.HTTPConnection(member.address, timeout=60)
        headers = {"Authorization": f"Bearer {CALLER_KEY}"}
        connection.request("POST", CHAT_PATH, make_chat("s", stream=True), headers)
        response = connection.getresponse()
        self.addCleanup(connection.close)
        self.addCleanup(response.close)
        self.assertEqual(response.status, 200)
        self.assertTrue(response.read1(10))
        return response


class GracefulStopTest(StopCase):
    def test_nothing_is_cut_and_new_requests_are_served(self) -> None:
        """Guards against refused callers and cut streams while a router stops.

        The load balancer detects with a delay that the router is not ready. Closing the
        listener at once would refuse callers during that delay; ending the process at once
        would cut running streams.
        """
        fleet = self.open(deadline_s=30.0, token_ms=100, balancer=True)
        balancer = fleet.members["balancer"]
        streams = [self.begin_stream(balancer) for _ in range(STREAMS)]
        leaving = fleet.members["entry-2"]
        persistent = http.client.HTTPConnection(leaving.address, timeout=60)
        self.addCleanup(persistent.close)
        headers = {"Authorization": f"Bearer {CALLER_KEY}"}
        persistent.request("POST", CHAT_PATH, make_chat("k", stream=True), headers)
        persistent.getresponse().read()
        leaving.send(signal.SIGTERM)
        wait_until(lambda: "settling" in leaving.read_log(), "the stop has begun")
        self.assertEqual(fleet.request("GET", leaving, "/readyz").status, 503)
        persistent.request("POST", CHAT_PATH, make_chat("late", stream=True), headers)
        late = persistent.getresponse()
        self.assertEqual((late.status, late.headers["Connection"]), (200, "close"))
        with ThreadPoolExecutor(STREAMS) as workers:
            more = list(workers.map(lambda n: chat(fleet, balancer, f"n{n}"), range(STREAMS)))
            rest = list(workers.map(lambda stream: stream.read(), streams))
        self.assertIn(END_MARK, late.read())
        self.assertEqual([reply.status for reply in more], [200] * STREAMS)
        for data in rest:
            self.assertIn(END_MARK, data)
        self.assertEqual(leaving.process.wait(30), 0)
        self.assertIn("nothing cut off", leaving.read_log())


class LateRequestTest(StopCase):
    """Sends requests on kept connections from the decision to exit until the exit."""

    def keep_connection(self, member: Member) -> http.client.HTTPConnection:
        connection = http.client.HTTPConnection(member.address, timeout=60)
        self.addCleanup(connection.close)
        self.assertEqual(self.exchange(connection, "warm"), 200)
        return connection

    def exchange(self, connection: http.client.HTTPConnection, chat_id: str) -> int:
        """Return the status of the answer to a chat, or 0 if there was no answer."""
        body = make_chat("late", stream=False)
        lines = [f"X-Chat-Id: {chat_id}", "X-Idempotent: false", f"Content-Length: {len(body)}"]
        try:
            if connection.sock is None:
                connection.connect()
            connection.sock.sendall(make_head(CHAT_PATH, *lines) + body)
            response = http.client.HTTPResponse(connection.sock, method="POST")
            response.begin()
            response.read()
        except (http.client.HTTPException, ConnectionError):
            return 0
        return response.status

    def test_request_after_the_decision_to_exit_is_not_run_and_cut(self) -> None:
        """Guards against a request that is read after the decision to exit and cut by the exit."""
        fleet = self.open(deadline_s=30.0, token_ms=10, balancer=False)
        leaving = fleet.members["entry-2"]
        connections = [self.keep_connection(leaving) for _ in range(LATE_REQUESTS)]
        leaving.send(signal.SIGTERM)
        wait_until(lambda: "Stopped, nothing cut off" in leaving.read_log(), "the decision")

        def send_late(number: int) -> int:
            time.sleep(number * LATE_INTERVAL_S)
            return self.exchange(connections[number], f"late-{number}")

        with ThreadPoolExecutor(LATE_REQUESTS) as workers:
            statuses = list(workers.map(send_late, range(LATE_REQUESTS)))
        self.assertEqual(leaving.process.wait(30), 0)
        seen = {entry["chat"] for entry in fleet.read_seen(fleet.members["engine-1"])}
        cut = [n for n, status in enumerate(statuses) if f"late-{n}" in seen and status != 200]
        self.assertEqual(cut, [], statuses)
        self.assertLessEqual(set(statuses), {0, 200, 503})


def count_in_flight(fleet: Fleet, member: Member) -> int:
    """Return the number of requests in flight at an instance."""
    return int(fleet.manage("GET", member, "/api/v1/status").json()["requests_in_flight"])


class ForcedStopTest(StopCase):
    def force_stop(self, leaving: Member, condition: Callable[[], bool]) -> None:
        """Stop an instance by two signals once a condition holds."""
        wait_until(condition, "the request is in progress")
        leaving.send(signal.SIGTERM)
        wait_until(lambda: "settling" in leaving.read_log(), "the stop has begun")
        leaving.send(signal.SIGTERM)

    def assert_cut(self, leaving: Member, stream: http.client.HTTPResponse) -> None:
        with self.assertRaises((http.client.IncompleteRead, ConnectionError)):
            stream.read()
        self.assertEqual(leaving.process.wait(30), 1)
        self.assertIn("Stopped with 1 requests cut off", leaving.read_log())

    def test_second_signal_ends_the_process(self) -> None:
        """Guards against a second signal that is ignored and cut requests that are not logged."""
        fleet = self.open(deadline_s=60.0, token_ms=5, balancer=False)
        leaving = fleet.members["entry-2"]
        fleet.inject_fault(fleet.members["engine-1"], "stall", delay_s=60.0)
        stream = self.begin_stream(leaving)
        leaving.send(signal.SIGTERM)
        wait_until(lambda: "settling" in leaving.read_log(), "the stop has begun")
        leaving.send(signal.SIGTERM)
        self.assert_cut(leaving, stream)

    def test_request_without_an_answer_may_have_run(self) -> None:
        """Guards against a forced stop that cuts a running request without a typed error."""
        fleet = self.open(deadline_s=60.0, token_ms=5, balancer=False)
        leaving, engine = fleet.members["entry-2"], fleet.members["engine-1"]
        fleet.inject_fault(engine, "late", delay_s=60.0)
        with ThreadPoolExecutor(1) as workers:
            running = workers.submit(chat, fleet, leaving, "x", stream=False)
            self.force_stop(leaving, lambda: count_in_flight(fleet, leaving) == 1)
            reply = running.result()
        self.assertEqual((reply.status, reply.error["ran"]), (502, "maybe"))
        self.assertEqual(reply.error["code"], "instance_stopping")
        self.assertEqual(leaving.process.wait(30), 1)
        self.assertIn("Stopped with 1 requests cut off", leaving.read_log())

    def test_request_that_is_still_arriving_has_not_run(self) -> None:
        """Guards against a forced stop that cuts a half-sent request without a typed error."""
        fleet = self.open(deadline_s=60.0, token_ms=5, balancer=False)
        leaving = fleet.members["entry-2"]
        connection = http.client.HTTPConnection(leaving.address, timeout=60)
        self.addCleanup(connection.close)
        connection.connect()
        connection.sock.sendall(make_head(CHAT_PATH, "Content-Length: 9") + b"half")
        self.force_stop(leaving, lambda: True)
        response = http.client.HTTPResponse(connection.sock, method="POST")
        response.begin()
        error = json.loads(response.read())["error"]
        self.assertEqual((response.status, error["ran"]), (503, "no"))
        self.assertEqual(error["code"], "instance_stopping")
        self.assertEqual(leaving.process.wait(30), 1)

    def test_change_that_waits_for_the_log_is_of_unknown_outcome(self) -> None:
        """Guards against a forced stop that cuts an operator's change without an answer."""
        fleet = self.open(deadline_s=60.0, token_ms=5, balancer=False)
        leaving = fleet.members["entry-2"]
        for name in ("entry-1", "entry-3"):
            fleet.members[name].freeze()
        with ThreadPoolExecutor(1) as workers:
            path = "/api/v1/workspace"
            value = make_workspace("late", priority=1)
            running = workers.submit(fleet.manage, "POST", leaving, path, value)
            time.sleep(0.5)
            self.force_stop(leaving, lambda: not running.done())
            reply = running.result()
        self.assertEqual(reply.status, 504, reply.data)
        self.assertEqual(reply.json()["error"]["code"], "outcome_unknown")

    def test_stop_deadline_ends_the_process(self) -> None:
        """Guards against a stop that waits longer than its deadline for a stream."""
        fleet = self.open(deadline_s=2.0, token_ms=5, balancer=False)
        leaving = fleet.members["entry-2"]
        fleet.inject_fault(fleet.members["engine-1"], "stall", delay_s=60.0)
        stream = self.begin_stream(leaving)
        leaving.send(signal.SIGTERM)
        self.assert_cut(leaving, stream)
