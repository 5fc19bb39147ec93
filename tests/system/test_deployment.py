"""Routers and replicas as processes: founding, losses, drains and stops."""

import threading
import time
import unittest

from tests.system.deployment import (
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
        self.assertEqual(deployment.ask("GET", f"http://{host}:{READY_PORT}/ready")[0], 200)
        status, text = deployment.ask("GET", f"http://{host}:{METRICS_PORT}/metrics")
        self.assertEqual(status, 200)
        self.assertIn(b"chivetrack_router_requests", text)

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
        """Right after a configuration was acknowledged everything dies, two disks are gone.

        The two come back as strangers with empty disks. Nobody is there to add them. What
        was acknowledged is read back, and the two vote again, so that two others may be
        lost next.
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
            lambda: self.count_promoted(deployment, restarted_at) >= 2, "the lost two do not vote"
        )
        for name in ("p1", "p3"):
            deployment.kill(name)
            deployment.wipe(name)
        self.assertEqual(deployment.read(), 7)
        deployment.put(make_config(8))

    def count_promoted(self, deployment: Deployment, since: float) -> int:
        """Return how many replicas were let vote since a time.

        Earlier lines do not count: a killed process loses those of its last moment.
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


class LeavingTest(DeploymentCase):
    def test_acknowledged_drain_reaches_every_router(self) -> None:
        """An endpoint says that it drains, to one replica; the word is acknowledged.

        From two seconds later on, no router sends it anything. The other endpoint gets all.
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

    def test_stop_cuts_nothing(self) -> None:
        """A router gets SIGTERM while requests are in flight and more come.

        It says that it is not ready, serves what comes while the balancer still sends,
        finishes, and exits with 0 well before it would be killed.
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
        self.assertEqual(deployment.ask("GET", url)[0], 503)
        for caller in callers[2:]:
            caller.start()
        for caller in callers:
            caller.join()
        stopper.join()
        self.assertEqual(answers, [200] * 4)
        self.assertEqual(codes, [0])


if __name__ == "__main__":
    unittest.main()
