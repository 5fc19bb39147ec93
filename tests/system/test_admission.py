"""Tests of the admission to a plain service over processes."""

import threading
import unittest
from collections import Counter

from tests.system.deployment import (
    EndpointHandler,
    make_config,
    open_deployment,
    open_endpoint,
)
from tests.system.fleets import wait_for
from tests.system.streams import run_together

SLOTS = 8
QUEUED = 4
CALLERS = 30
WORK_S = 0.1


class CountingHandler(EndpointHandler):
    """Counts the requests that run at the same time."""

    lock = threading.Lock()
    running = 0
    most = 0

    def _serve(self, body: bytes) -> None:
        with self.lock:
            CountingHandler.running += 1
            CountingHandler.most = max(self.most, self.running)
        super()._serve(body)
        with self.lock:
            CountingHandler.running -= 1


class AdmissionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.deployment = self.enterContext(open_deployment(routers=2))
        self.deployment.min_load = 0.0
        self.endpoint = self.enterContext(open_endpoint(self.deployment, 1))
        self.endpoint.RequestHandlerClass = CountingHandler  # type: ignore[method-assign]
        CountingHandler.running = CountingHandler.most = 0
        self.deployment.start_all()
        config = make_config(2)
        config["routes"][0]["targetLatencyMs"] = 300
        self.deployment.put(config)
        self.deployment.announce(self.endpoint)
        for router in ("r1", "r2"):
            self.deployment.wait_served(router)
        wait_for(self.is_scheduled, "no slot was granted")
        self.endpoint.work_s = WORK_S

    def is_scheduled(self) -> bool:
        """Return whether both routers get slots; they know the leader a view after its election."""
        return all(
            self.deployment.call(router)[0] == 200 and self.find_state(router) == "granted"
            for router in ("r1", "r2")
        )

    def find_state(self, router: str) -> str:
        events = self.deployment.read_events(router)
        states = [one["state"] for one in events if one.get("event") == "slot_decided"]
        return states[-1] if states else ""

    def call_together(self) -> Counter[int]:
        statuses: list[int] = []

        def call(number: int) -> None:
            statuses.append(self.deployment.call(f"r{1 + number % 2}")[0])

        run_together([lambda number=number: call(number) for number in range(CALLERS)])
        return Counter(statuses)

    def test_two_routers_together_use_no_more_than_the_slots(self) -> None:
        """Guards against routers that each fill an endpoint of which the other knows nothing."""
        statuses = self.call_together()
        self.assertLessEqual(CountingHandler.most, SLOTS + QUEUED)
        self.assertEqual(set(statuses) - {200, 503}, set())
        self.assertGreaterEqual(statuses[200], 2 * SLOTS)

    def test_killed_leader(self) -> None:
        """Guards against callers that are refused or wait while no replica schedules."""
        self.deployment.kill(self.deployment.find_leader())
        statuses = self.call_together()
        self.assertEqual(statuses, Counter({200: CALLERS}))
        wait_for(self.is_scheduled, "the next leader grants no slot")


if __name__ == "__main__":
    unittest.main()
