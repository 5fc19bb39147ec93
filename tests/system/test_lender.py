"""System tests of the leader that lends retries to routers."""

import time
import unittest
from typing import Any

from tests.system.deployment import Deployment, make_config, open_deployment, open_endpoint
from tests.system.fleets import wait_for

REFUSED_FOR_S = 0.1
# After this time the endpoints take the next request. With more of them, the router's own requests
# would pay for all retries.
CALL_INTERVAL_S = 3 * REFUSED_FOR_S
MIN_WAIT_S = 8.0


class LenderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.deployment: Deployment = self.enterContext(open_deployment(replicas=3, routers=1))
        self.deployment.start_all()
        document = make_config(1)
        document["routes"][0] |= {"kind": "idempotent", "maxAttempts": 2}
        self.deployment.put(document)
        self.endpoints = [
            self.enterContext(open_endpoint(self.deployment, number)) for number in (1, 2)
        ]
        for endpoint in self.endpoints:
            endpoint.retry_after_s = REFUSED_FOR_S

    def ask(self, *names: str) -> list[dict[str, Any]]:
        """Send a request that both endpoints refuse; return what replicas were asked by now."""
        for endpoint in self.endpoints:
            self.deployment.announce(endpoint)
        self.deployment.call("r1")
        return [
            event
            for name in names or self.deployment.list_names("p")
            for event in self.deployment.read_events(name)
            if event["event"] == "retry_lent"
        ]

    def has_lent(self) -> bool:
        time.sleep(CALL_INTERVAL_S)
        return any(event["is_lent"] for event in self.ask())

    def is_refused_by(self, *names: str) -> bool:
        """Ask again later; return whether a replica of ``names`` has refused for a long time."""
        time.sleep(CALL_INTERVAL_S)
        asked = self.ask(*names)
        self.assertFalse(any(event["is_lent"] for event in asked))
        return any(event["wait_s"] > MIN_WAIT_S for event in asked)

    def test_first_leader_lends_at_once(self) -> None:
        """Guards against streams that break off in a new deployment although others could go on."""
        wait_for(self.has_lent, "the first leader lends nothing", within_s=5.0)

    def test_next_leader_waits_until_all_leases_have_expired(self) -> None:
        """Guards against a slack that is lent twice since a new leader knows no earlier leases."""
        wait_for(self.has_lent, "the first leader lends nothing", within_s=5.0)
        killed = self.deployment.find_leader()
        self.deployment.kill(killed)
        others = [name for name in self.deployment.list_names("p") if name != killed]
        wait_for(
            lambda: self.is_refused_by(*others), "the next leader does not wait", within_s=10.0
        )


if __name__ == "__main__":
    unittest.main()
