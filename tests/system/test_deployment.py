"""System tests of routers and replicas: serving, losses, evacuation, drains and stops."""

import contextlib
import io
import json
import threading
import time
import unittest
from functools import partial
from typing import Any

from chivetrack.cli.__main__ import run
from tests.system.deployment import (
    CALLER_PORT,
    CONTROL_PORT,
    METRICS_PORT,
    READY_PORT,
    Deployment,
    Endpoint,
    make_config,
    open_deployment,
    open_endpoint,
)
from tests.system.fleets import wait_for


class DeploymentCase(unittest.TestCase):
    def open(self, replicas: int = 3, routers: int = 1) -> Deployment:
        deployment = self.enterContext(open_deployment(replicas=replicas, routers=routers))
        deployment.start_all()
        return deployment

    def open_endpoint(self, deployment: Deployment, number: int) -> Endpoint:
        return self.enterContext(open_endpoint(deployment, number))


class ServingTest(DeploymentCase):
    def test_request_from_caller_to_endpoint(self) -> None:
        deployment = self.open(routers=2)
        endpoint = self.open_endpoint(deployment, 1)
        host = deployment.get_host("r1")
        self.assertEqual(deployment.call("r1")[0] in (0, 503), True)
        deployment.put(make_config(3))
        deployment.announce(endpoint)
        for router in ("r1", "r2"):
            deployment.wait_served(router)
            self.assertEqual(deployment.call(router, "/b/")[0], 404)
            self.assertEqual(deployment.call(router, X_Chivetrack_Key="other")[0], 401)
        path, headers = endpoint.seen[-1]
        self.assertEqual(path, "/a/x")
        self.assertEqual(headers["X-Chivetrack-Tenant"], "w")
        self.assertEqual(headers["X-Chivetrack-Expect-Instance"], "i-1")
        self.assertNotIn("X-Chivetrack-Key", headers)
        self.assertLessEqual(int(headers["X-Chivetrack-Deadline-Ms"]), 3000)
        self.assertEqual(
            deployment.send_request("GET", f"http://{host}:{READY_PORT}/ready")[0], 200
        )
        status, text = deployment.send_request("GET", f"http://{host}:{METRICS_PORT}/metrics")
        self.assertEqual(status, 200)
        self.assertIn(b"chivetrack_router_requests", text)
        for code in (b"unknown_route", b"unknown_key"):
            with self.subTest(code):
                self.assertRegex(text, rb'chivetrack_router_rejections_total{code="%b"' % code)

    def test_newer_configuration_reaches_all_and_an_older_one_nobody(self) -> None:
        deployment = self.open(routers=2)
        endpoint = self.open_endpoint(deployment, 1)
        deployment.put(make_config(3, "/a/"))
        deployment.announce(endpoint)
        deployment.put(make_config(9, "/a/", "/c/"))
        for router in ("r1", "r2"):
            deployment.wait_served(router, "/c/x")
        deployment.put(make_config(4, "/a/"))
        deployment.put(make_config(9, "/a/"))
        time.sleep(1.0)
        self.assertEqual(deployment.read(), 9)
        self.assertEqual(deployment.call("r1", "/c/x")[0], 200)
        status, _ = deployment.control("PUT", "p1", "/config", make_config(10, "/a/", "/a/"))
        self.assertEqual(status, 400)
        self.assertEqual(deployment.read(), 9)


class LossTest(DeploymentCase):
    def test_two_of_five_disks_are_lost_while_the_others_restart(self) -> None:
        """Guards against losing an acknowledged configuration with two of five disks.

        All replicas are killed right after the acknowledgement. Two restart with empty disks
        as unknown peers, and no operator adds them. The configuration must be readable, and
        both must vote again, so that the loss of two other disks is tolerated next.
        """
        deployment = self.open(replicas=5, routers=0)
        deployment.put(make_config(7))
        for name in deployment.list_names("p"):
            deployment.kill(name)
        deployment.wipe("p2")
        deployment.wipe("p4")
        deployment.is_first_start = False
        restarted_at = time.time()
        for name in deployment.list_names("p"):
            deployment.start(name)
        self.assertEqual(deployment.read(), 7)
        wait_for(
            lambda: self.count_promoted(deployment, restarted_at) >= 2,
            "the replicas with empty disks do not vote",
        )
        for name in ("p1", "p3"):
            deployment.kill(name)
            deployment.wipe(name)
        self.assertEqual(deployment.read(), 7)
        deployment.put(make_config(8))

    def count_promoted(self, deployment: Deployment, since: float) -> int:
        """Return how many promotions of replicas to voters were logged after ``since``.

        Earlier lines are not counted: a killed process loses the lines that it wrote last.
        """
        count = 0
        for name in deployment.list_names("p"):
            for event in deployment.read_events(name):
                is_promoted = event.get("event") == "member_change" and event["kind"] == "promote"
                if is_promoted and event["outcome"] == "committed" and event["at"] > since:
                    count += 1
        return count

    def test_killed_leader(self) -> None:
        deployment = self.open(routers=1)
        endpoint = self.open_endpoint(deployment, 1)
        leader = deployment.put(make_config(3))
        deployment.announce(endpoint)
        deployment.wait_served("r1")
        for name in deployment.list_names("p"):
            if any(
                event.get("event") == "leader_changed" and event.get("role") == "leader"
                for event in deployment.read_events(name)
            ):
                leader = name
        deployment.kill(leader)
        self.assertEqual(deployment.call("r1")[0], 200)
        deployment.put(make_config(5, "/a/", "/c/"))
        deployment.wait_served("r1", "/c/x")


class EvacuationTest(DeploymentCase):
    def count_seen(self, endpoint: Endpoint, deployment: Deployment, calls: int = 8) -> int:
        before = len(endpoint.seen)
        for _ in range(calls):
            deployment.call("r1")
        return len(endpoint.seen) - before

    def test_evacuation_survives_loss_of_all_processes_and_two_disks(self) -> None:
        """Guards against losing an acknowledged evacuation order.

        All processes are killed right after the acknowledgement, and two replicas restart
        with empty disks. Until the order is withdrawn, no router may send requests to the
        zone, and the order must be listed.
        """
        deployment = self.open(replicas=5, routers=1)
        near, far = (self.open_endpoint(deployment, number) for number in (1, 2))
        far.zone = "z2"
        deployment.put(make_config(3))
        deployment.announce(near)
        deployment.announce(far)
        deployment.wait_served("r1")
        self.assertGreater(self.count_seen(near, deployment), 0)
        order = partial(self.run_command, deployment, "evacuation")
        self.assertEqual(order("order", "z1")["evacuated"], True)
        for name in list(deployment.processes):
            deployment.kill(name)
        deployment.wipe("p1")
        deployment.wipe("p3")
        deployment.is_first_start = False
        deployment.start_all()
        (zone,) = order("list")["zones"]
        self.assertEqual((zone["zone"], zone["evacuated"]), ("z1", True))
        deployment.announce(near)
        deployment.announce(far)
        deployment.wait_served("r1")
        self.assertEqual(self.count_seen(near, deployment), 0)
        for name, gauge in (
            ("r1", b"chivetrack_router_evacuated_zones"),
            ("p2", b"chivetrack_replica_evacuated_since_seconds"),
        ):
            url = f"http://{deployment.get_host(name)}:{METRICS_PORT}/metrics"
            self.assertRegex(deployment.send_request("GET", url)[1], gauge + rb" [1-9]")
        order("withdraw", "z1")
        wait_for(
            lambda: self.count_seen(near, deployment, 2) > 0,
            "the zone receives no request after the withdrawal",
        )

    def run_command(self, deployment: Deployment, *words: str) -> dict[str, Any]:
        replicas = [
            f"--replica={deployment.get_host(name)}:{CONTROL_PORT}"
            for name in deployment.list_names("p")
        ]
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = run([*words, *replicas, "-o", "json"])
        self.assertEqual(code, 0, output.getvalue())
        document: dict[str, Any] = json.loads(output.getvalue())
        return document

    def test_invalid_evacuation_requests_are_rejected(self) -> None:
        """Guards against retryable answers to invalid evacuation requests.

        An unknown zone, a body or a wrong path is the operator's mistake. The answer names
        the mistake in JSON; an answer that asks for a retry would make the client resend it.
        """
        deployment = self.open(replicas=3, routers=1)
        deployment.put(make_config(3))
        cases = (
            ("POST", "/evacuate/z9", None, 404, "unknown_zone"),
            ("POST", "/evacuate/z1", {"zone": "z1"}, 400, "body"),
            ("POST", "/evacuation/z1", None, 404, "not_found"),
            ("PATCH", "/evacuate/z1", None, 405, "method_not_allowed"),
        )
        for method, path, body, status, code in cases:
            with self.subTest(path=path, method=method):
                answer = deployment.control(method, "p2", path, body)
                self.assertEqual(answer[0], status)
                self.assertEqual(json.loads(answer[1])["error"], code)


class ExplainTest(DeploymentCase):
    def explain(self, deployment: Deployment, *words: str) -> tuple[int, dict[str, Any]]:
        router = f"{deployment.get_host('r1')}:{METRICS_PORT}"
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = run(["explain-request", "--router", router, "-o", "json", *words])
        return code, json.loads(output.getvalue())

    def test_command_explains_without_sending(self) -> None:
        """Guards against a command that sends the request or can't reach the deployed router."""
        deployment = self.open()
        deployment.start_all()
        endpoint = self.open_endpoint(deployment, 1)
        deployment.put(make_config(2))
        deployment.announce(endpoint)
        deployment.wait_served("r1")
        seen = len(endpoint.seen)
        code, explanation = self.explain(deployment, "one.example", "/a/x", "--key", "key")
        self.assertEqual((code, explanation["endpoint"]), (0, endpoint.name))
        code, explanation = self.explain(deployment, "one.example", "/a/x", "--key", "other")
        self.assertEqual((code, explanation["why"]), (3, "no workspace has this key"))
        self.assertEqual(len(endpoint.seen), seen)


class ColdEndpointTest(DeploymentCase):
    def test_cold_endpoint_is_rate_limited_and_nothing_is_refused(self) -> None:
        """Guards against overloading a cold endpoint.

        One of two endpoints restarts cold and idle while three routers are busy. Together
        they may send it ten requests per second, plus a small burst at the start and within
        any single second. All other requests go to the warm endpoint.
        """
        deployment = self.open(routers=3)
        warm, cold = (self.open_endpoint(deployment, number) for number in (1, 2))
        config = make_config(3)
        config["services"][0] |= {"coldStartS": 3.0, "coldPerS": 10.0}
        deployment.put(config)
        deployment.announce(warm)
        for router in deployment.list_names("r"):
            deployment.wait_served(router)
        warm.work_s = 0.02
        cold.cold_ms = 3000
        deployment.announce(cold)
        statuses: list[int] = []

        def call(router: str) -> None:
            ends_at = time.monotonic() + 2.0
            while time.monotonic() < ends_at:
                statuses.append(deployment.call(router)[0])

        callers = [
            threading.Thread(target=call, args=(router,))
            for router in deployment.list_names("r") * 3
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        self.assertEqual(set(statuses), {200})
        self.assertGreater(len(statuses), 150)
        self.assertLessEqual(len(cold.seen), 2 * 15 + 5)
        self.assertGreaterEqual(len(cold.seen), 10)


class LeavingTest(DeploymentCase):
    def test_acknowledged_drain_reaches_every_router(self) -> None:
        """Guards against requests to an endpoint whose drain was acknowledged.

        The endpoint reports ``draining`` to one replica. Two seconds after the
        acknowledgement no router may send it requests; the other endpoint gets all of them.
        """
        deployment = self.open(routers=2)
        leaving = self.open_endpoint(deployment, 1)
        staying = self.open_endpoint(deployment, 2)
        deployment.put(make_config(3))
        deployment.announce(leaving)
        deployment.announce(staying)
        for router in ("r1", "r2"):
            deployment.wait_served(router)
        deployment.announce(leaving, state="draining")
        time.sleep(2.0)
        before = len(leaving.seen)
        for _ in range(10):
            for router in ("r1", "r2"):
                self.assertEqual(deployment.call(router)[0], 200)
        self.assertEqual(len(leaving.seen), before)

    def test_leaving_header_stops_new_requests(self) -> None:
        """Guards against sending requests to a leaving endpoint that heartbeats report as ready."""
        deployment = self.open(routers=1)
        leaving = self.open_endpoint(deployment, 1)
        staying = self.open_endpoint(deployment, 2)
        deployment.put(make_config(3))
        deployment.announce(leaving)
        deployment.announce(staying)
        deployment.wait_served("r1")
        leaving.extra_headers["Server-Leaving"] = "1"
        before = len(leaving.seen)
        wait_for(
            lambda: deployment.call("r1")[0] == 200 and len(leaving.seen) > before,
            "the leaving endpoint receives no request",
        )
        before = len(leaving.seen)
        for _ in range(20):
            self.assertEqual(deployment.call("r1")[0], 200)
        deployment.announce(leaving)
        for _ in range(20):
            self.assertEqual(deployment.call("r1")[0], 200)
        self.assertEqual(len(leaving.seen), before)

    def test_retry_after_pauses_endpoint(self) -> None:
        """Guards against sending requests to an endpoint before its Retry-After has passed."""
        deployment = self.open(routers=1)
        paused, other = (self.open_endpoint(deployment, number) for number in (1, 2))
        deployment.put(make_config(3))
        deployment.announce(paused)
        deployment.announce(other)
        deployment.wait_served("r1")
        paused.retry_after_s = 3.0
        before = len(paused.seen)
        wait_for(
            lambda: deployment.call("r1")[0] == 200 and len(paused.seen) > before,
            "the paused endpoint receives no request",
        )
        paused_at = time.monotonic()
        before = len(paused.seen)
        while time.monotonic() < paused_at + 2.5:
            self.assertEqual(deployment.call("r1")[0], 200)
        self.assertEqual(len(paused.seen), before)
        paused.retry_after_s = 0.0
        wait_for(
            lambda: deployment.call("r1")[0] == 200 and len(paused.seen) > before,
            "the endpoint receives no request after its pause",
        )

    def test_retry_after_when_all_endpoints_are_paused(self) -> None:
        """Guards against a Retry-After to callers shorter than that of every endpoint."""
        deployment = self.open(routers=1)
        endpoint = self.open_endpoint(deployment, 1)
        deployment.put(make_config(3))
        deployment.announce(endpoint)
        deployment.wait_served("r1")
        endpoint.retry_after_s = 4.0
        self.assertEqual(deployment.call("r1")[0], 503)
        before = len(endpoint.seen)
        url = f"http://{deployment.get_host('r1')}:{CALLER_PORT}/a/x"
        headers = {"Host": "one.example", "X-Chivetrack-Key": "key"}
        response = deployment.http.request("POST", url, body=b"body", headers=headers)
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.headers["Retry-After"]), 3.0)
        self.assertEqual(len(endpoint.seen), before)

    def test_stop_completes_requests_in_flight(self) -> None:
        """Guards against cut or refused requests while a router stops.

        The router gets SIGTERM with requests in flight. It reports that it is not ready,
        serves requests that the load balancer still sends, completes all of them, and exits
        with 0 before it would be killed.
        """
        deployment = self.open(routers=1)
        endpoint = self.open_endpoint(deployment, 1)
        deployment.put(make_config(3))
        deployment.announce(endpoint)
        deployment.wait_served("r1")
        endpoint.work_s = 1.0
        answers: list[int] = []
        callers = [
            threading.Thread(target=lambda: answers.append(deployment.call("r1")[0]))
            for _ in range(4)
        ]
        for caller in callers[:2]:
            caller.start()
        time.sleep(0.3)
        codes: list[int] = []
        stopper = threading.Thread(target=lambda: codes.append(deployment.stop("r1")))
        stopper.start()
        time.sleep(0.3)
        url = f"http://{deployment.get_host('r1')}:{READY_PORT}/ready"
        self.assertEqual(deployment.send_request("GET", url)[0], 503)
        for caller in callers[2:]:
            caller.start()
        for caller in callers:
            caller.join()
        stopper.join()
        self.assertEqual(answers, [200] * 4)
        self.assertEqual(codes, [0])


if __name__ == "__main__":
    unittest.main()
