"""System tests of the stop of a router: which requests it still accepts and how they end."""

import http.client
import json
import signal
import threading
import time
import unittest
from typing import Any

from tests.system.deployment import (
    CALLER_PORT,
    CONTROL_PORT,
    Deployment,
    Endpoint,
    make_config,
    open_deployment,
)
from tests.system.deployment import open_endpoint as open_endpoint_of
from tests.system.fleets import wait_for

ROUTE_TIMEOUT_MS = 15_000
ORDERS = 6
ORDER_INTERVAL_S = 0.3
QUICK_ORDERS = 10
HEADERS = {"Host": "one.example", "X-Chivetrack-Key": "key"}


class StopCase(unittest.TestCase):
    """Starts three routers and one endpoint of a service whose route has a long timeout."""

    def open(self, *, stop_within_s: float) -> tuple[Deployment, Endpoint]:
        deployment = self.enterContext(open_deployment(replicas=1, routers=3))
        deployment.stop_within_s = stop_within_s
        deployment.start_all()
        endpoint = self.enterContext(open_endpoint_of(deployment, 1))
        config = make_config(3)
        config["routes"][0]["timeoutMs"] = ROUTE_TIMEOUT_MS
        deployment.put(config)
        deployment.announce(endpoint)
        for name in deployment.list_names("r"):
            deployment.wait_served(name)
        return deployment, endpoint

    def start_call(self, deployment: Deployment, **headers: str) -> threading.Thread:
        """Start a request in a thread, with a deadline of ``ROUTE_TIMEOUT_MS``."""
        headers.setdefault("X_Chivetrack_Deadline_Ms", str(ROUTE_TIMEOUT_MS))
        caller = threading.Thread(target=lambda: deployment.call("r1", **headers))
        caller.start()
        self.addCleanup(caller.join)
        return caller

    @staticmethod
    def find_events(deployment: Deployment, event: str, request: str) -> list[dict[str, Any]]:
        events = deployment.read_events("r1")
        return [
            entry
            for entry in events
            if entry.get("event") == event and entry.get("request") == request
        ]


class UnknownOrderTest(StopCase):
    def test_order_of_an_unknown_kind_is_left_to_other_routers(self) -> None:
        """Guards against an order that a stopping router takes as short, runs and cuts."""
        deployment, _ = self.open(stop_within_s=5.0)
        slow = self.enterContext(open_endpoint_of(deployment, 2, "slow"))
        slow.work_s = 6.0
        config = make_config(4, "/a/", "/slow/")
        config["services"].append({**config["services"][0], "name": "slow"})
        for route in config["routes"]:
            route["timeoutMs"] = ROUTE_TIMEOUT_MS
        config["routes"][1]["service"] = "slow"
        deployment.put(config)
        deployment.announce(slow)
        self.wait_routed(deployment, "/slow/x")
        answers = self.send_late_orders(deployment)
        self.assertEqual([one for one in answers if one != 503], [])
        self.assertEqual(slow.seen, [])

    def test_order_among_quick_ones_of_its_service_is_left_to_other_routers(self) -> None:
        """Guards against an order that is taken as short since others of its service are."""
        deployment, endpoint = self.open(stop_within_s=5.0)
        config = make_config(4, "/a/", "/slow/")
        for route in config["routes"]:
            route["timeoutMs"] = ROUTE_TIMEOUT_MS
        deployment.put(config)
        wait_for(lambda: self.has_applied(deployment), "r1 does not know the configuration")
        for _ in range(QUICK_ORDERS):
            deployment.wait_served("r1")
        endpoint.work_s = 6.0
        quick = len(endpoint.seen)
        answers = self.send_late_orders(deployment)
        self.assertEqual([one for one in answers if one != 503], [])
        self.assertEqual(len(endpoint.seen), quick)

    @staticmethod
    def has_applied(deployment: Deployment) -> bool:
        events = deployment.read_events("r1")
        in_force = [one for one in events if one["event"] == "configuration_in_force"]
        return bool(in_force) and in_force[-1]["version"] == 4

    def wait_routed(self, deployment: Deployment, path: str) -> None:
        """Wait until a router knows a route and its endpoint, without sending a request."""

        def is_routed() -> bool:
            events = deployment.read_events("r1")
            versions = [
                one["version"] for one in events if one["event"] == "configuration_in_force"
            ]
            endpoints = [one for one in events if one["event"] == "endpoint_changed"]
            return 4 in versions and len(endpoints) >= 2

        wait_for(is_routed, f"r1 does not know {path}")

    def send_late_orders(self, deployment: Deployment) -> list[int]:
        """Stop a router and send it orders as long as it accepts some; return their statuses."""
        process = deployment.begin_stop("r1")
        statuses: list[int] = []
        callers = []
        for _ in range(ORDERS):
            time.sleep(ORDER_INTERVAL_S)
            caller = threading.Thread(
                target=lambda: statuses.append(
                    deployment.call("r1", "/slow/x", X_Chivetrack_Deadline_Ms="15000")[0]
                )
            )
            caller.start()
            callers.append(caller)
        for caller in callers:
            caller.join()
        process.wait(timeout=20)
        return statuses


class CutRequestTest(StopCase):
    def test_request_cut_by_the_exit_has_its_end_logged(self) -> None:
        """Guards against a request that is cut by the exit without a ``request_ended`` event."""
        deployment, endpoint = self.open(stop_within_s=2.0)
        endpoint.work_s = 6.0
        caller = self.start_call(deployment, X_Chivetrack_Attempt_Id="cut-1")
        time.sleep(0.3)
        started_at = time.monotonic()
        deployment.begin_stop("r1").wait(timeout=20)
        self.assertLess(time.monotonic() - started_at, 2.0)
        caller.join()
        (ended,) = self.find_events(deployment, "request_ended", "cut-1")
        self.assertEqual(ended["outcome"], "cut_by_stop")
        self.assertLess(ended["came_after_stop_ms"], 0)


class ForeseeableCutTest(StopCase):
    def test_answer_that_takes_longer_than_the_exit_is_not_begun(self) -> None:
        """Guards against accepting a request that the exit will foreseeably cut."""
        deployment, endpoint = self.open(stop_within_s=3.0)
        endpoint.work_s = 1.0
        callers = [self.start_call(deployment) for _ in range(30)]
        for caller in callers:
            caller.join()
        self.start_call(deployment)
        time.sleep(0.3)
        self.addCleanup(deployment.begin_stop("r1").wait)
        time.sleep(1.0)
        before = len(endpoint.seen)
        url = f"http://{deployment.get_host('r1')}:{CALLER_PORT}/a/x"
        response = deployment.http.request("POST", url, body=b"body", headers=HEADERS)
        self.assertEqual((response.status, response.json()["error"]["ran"]), (503, "no"))
        self.assertLess(float(response.headers["Retry-After"]), 0.5)
        self.assertEqual(len(endpoint.seen), before)


class LateRequestTest(StopCase):
    def open_stopping(self) -> tuple[Deployment, Endpoint]:
        """Return a deployment whose router stops while a request stays in flight until its exit."""
        deployment, endpoint = self.open(stop_within_s=8.0)
        endpoint.work_s = 9.0
        self.start_call(deployment)
        time.sleep(0.3)
        self.addCleanup(deployment.begin_stop("r1").wait)
        endpoint.work_s = 0.0
        return deployment, endpoint

    def test_connection_after_the_window_is_answered_at_once(self) -> None:
        """Guards against connections that are not accepted until the process exits."""
        deployment, endpoint = self.open_stopping()
        time.sleep(4.0)
        before = len(endpoint.seen)
        started_at = time.monotonic()
        url = f"http://{deployment.get_host('r1')}:{CALLER_PORT}/a/x"
        response = deployment.http.request("POST", url, body=b"body", headers=HEADERS)
        self.assertLess(time.monotonic() - started_at, 0.5)
        self.assertEqual(response.status, 503)
        self.assertEqual(response.headers["Connection"], "close")
        self.assertLess(float(response.headers["Retry-After"]), 0.5)
        self.assertEqual(len(endpoint.seen), before)

    def test_request_that_ends_before_the_exit_is_served_after_the_window(self) -> None:
        """Guards against refusing a request whose own timeout ends before the exit."""
        deployment, _ = self.open_stopping()
        time.sleep(4.0)
        self.assertEqual(deployment.call("r1", X_Chivetrack_Deadline_Ms="1500")[0], 200)

    def test_late_request_on_an_open_connection_is_not_run(self) -> None:
        """Guards against a request that is accepted 3 s after SIGTERM and cut at the exit."""
        deployment, endpoint = self.open_stopping()
        time.sleep(1.5)
        connection = http.client.HTTPConnection(deployment.get_host("r1"), CALLER_PORT, timeout=20)
        self.addCleanup(connection.close)
        connection.connect()
        time.sleep(1.6)
        endpoint.work_s = 6.0
        before = len(endpoint.seen)
        started_at = time.monotonic()
        with self.assertRaises(ConnectionError):
            connection.request("POST", "/a/x", b"body", HEADERS)
            connection.getresponse()
        self.assertLess(time.monotonic() - started_at, 0.5)
        self.assertEqual(len(endpoint.seen), before)

    def test_late_request_on_a_new_connection_is_not_run(self) -> None:
        """Guards against a request that is accepted 3 s after SIGTERM and cut at the exit."""
        deployment, endpoint = self.open_stopping()
        time.sleep(3.0)
        endpoint.work_s = 6.0
        before = len(endpoint.seen)
        url = f"http://{deployment.get_host('r1')}:{CALLER_PORT}/a/x"
        response = deployment.http.request("POST", url, body=b"body", headers=HEADERS)
        self.assertEqual((response.status, response.json()["error"]["ran"]), (503, "no"))
        self.assertEqual(len(endpoint.seen), before)


class ReplicaStopTest(unittest.TestCase):
    def test_call_in_progress_gets_its_answer(self) -> None:
        """Guards against a change whose operator gets no answer when the replica stops."""
        deployment = self.enterContext(open_deployment(replicas=3, routers=0))
        deployment.start_all()
        deployment.put(make_config(3))
        leader = deployment.find_leader()
        follower, other = (name for name in deployment.list_names("p") if name != leader)
        deployment.kill(other)
        deployment.processes[leader].send_signal(signal.SIGSTOP)
        url = f"http://{deployment.get_host(follower)}:{CONTROL_PORT}/config"
        body = json.dumps(make_config(4))
        answers: list[int] = []
        caller = threading.Thread(
            target=lambda: answers.append(deployment.send_request("PUT", url, body=body)[0])
        )
        caller.start()
        time.sleep(0.2)
        self.assertEqual(deployment.stop(follower), 0)
        caller.join()
        self.assertIn(answers, ([307], [503]))


if __name__ == "__main__":
    unittest.main()
