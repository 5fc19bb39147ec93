"""System tests of requests that crash the endpoints that run them."""

import itertools
import json
import time
import unittest

from tests.system.crashing import CrashingEndpoint, open_crashing_endpoints
from tests.system.deployment import Deployment, make_config, open_deployment
from tests.system.fleets import wait_for

PROPAGATION_S = 3.0
POISON = b"poison"


class QuarantineTest(unittest.TestCase):
    def start_deployment(
        self, endpoints: int, *, keeps_port_open: bool = False
    ) -> tuple[Deployment, list[CrashingEndpoint]]:
        deployment = self.enterContext(open_deployment(replicas=3, routers=3))
        deployment.start_all()
        deployment.put(make_config(3))
        opened = self.enterContext(
            open_crashing_endpoints(deployment, endpoints, keeps_port_open=keeps_port_open)
        )
        for router in deployment.list_names("r"):
            deployment.wait_served(router)
        for endpoint in opened:
            endpoint.crash_bodies.add(POISON)
        return deployment, opened

    def repeat_poison(self, deployment: Deployment, until: float) -> list[int]:
        """Send the crashing request to the routers in turn."""
        routers = itertools.cycle(deployment.list_names("r"))
        statuses = []
        while time.monotonic() < until:
            statuses.append(deployment.call(next(routers), body=POISON)[0])
            time.sleep(0.25)
        return statuses

    def list_poison_runs(self, endpoints: list[CrashingEndpoint]) -> list[float]:
        return sorted(at for endpoint in endpoints for at, body in endpoint.runs if body == POISON)

    def count_late_runs(self, endpoints: list[CrashingEndpoint]) -> int:
        """Return the number of runs later than ``PROPAGATION_S`` after the third crash."""
        crashes = sorted(at for endpoint in endpoints for at in endpoint.crashes)
        self.assertGreaterEqual(len(crashes), 3)
        return sum(at > crashes[2] + PROPAGATION_S for at in self.list_poison_runs(endpoints))

    def test_crashing_request_is_rejected_fleet_wide(self) -> None:
        """Guards against one repeated request crashing endpoint after endpoint."""
        deployment, endpoints = self.start_deployment(5)
        statuses = self.repeat_poison(deployment, time.monotonic() + 14.0)
        self.assertLessEqual(self.count_late_runs(endpoints), 3)
        self.assertEqual(statuses[-1], 500)
        for router in deployment.list_names("r"):
            self.assertEqual(deployment.call(router, body=b"innocent")[0], 200)

    def test_crashing_request_is_rejected_although_ports_stay_open(self) -> None:
        """Guards against missing crashes of endpoints whose listening socket stays open."""
        deployment, endpoints = self.start_deployment(5, keeps_port_open=True)
        statuses = self.repeat_poison(deployment, time.monotonic() + 14.0)
        self.assertLessEqual(self.count_late_runs(endpoints), 3)
        self.assertEqual(statuses[-1], 500)

    def test_quarantine_survives_restart_of_all_processes_and_can_be_released(self) -> None:
        """Guards against losing the quarantine when all processes are killed at once."""
        deployment, endpoints = self.start_deployment(5)
        path = "/quarantine"

        def read_fingerprints() -> list[str]:
            self.repeat_poison(deployment, time.monotonic() + 0.1)
            status, data = deployment.control("GET", "p1", path)
            return (
                [entry["fingerprint"] for entry in json.loads(data)["requests"]]
                if status == 200
                else []
            )

        (fingerprint,) = wait_for(
            read_fingerprints, "the request is not quarantined", within_s=30.0
        )
        for name in list(deployment.processes):
            deployment.kill(name)
        deployment.is_first_start = False
        deployment.start_all()
        for router in deployment.list_names("r"):
            deployment.wait_served(router)
        before = len(self.list_poison_runs(endpoints))
        for router in deployment.list_names("r"):
            self.assertEqual(deployment.call(router, body=POISON)[0], 500)
        self.assertEqual(len(self.list_poison_runs(endpoints)), before)
        for endpoint in endpoints:
            endpoint.crash_bodies.clear()
        status, _ = deployment.control("DELETE", "p2", f"{path}/{fingerprint}")
        self.assertEqual(status, 200)
        for router in deployment.list_names("r"):
            wait_for(
                lambda name=router: deployment.call(name, body=POISON)[0] == 200,
                "a released request is still rejected",
            )


if __name__ == "__main__":
    unittest.main()
