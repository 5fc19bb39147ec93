"""System tests of the leader that lends retries to routers."""

import unittest

from tests.system.deployment import Deployment, make_config, open_deployment, open_endpoint
from tests.system.fleets import wait_for


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
            endpoint.retry_after_s = 0.1

    def has_lent(self) -> bool:
        """Send a request that both endpoints refuse; return whether a retry was lent by now."""
        for endpoint in self.endpoints:
            self.deployment.announce(endpoint)
        self.deployment.call("r1")
        return any(
            event["event"] == "retry_lent" and event["is_lent"]
            for name in self.deployment.list_names("p")
            for event in self.deployment.read_events(name)
        )

    def test_first_leader_lends_at_once(self) -> None:
        """Guards against streams that break off in a new deployment although others could go on."""
        wait_for(self.has_lent, "the first leader lends nothing", within_s=5.0)


if __name__ == "__main__":
    unittest.main()
