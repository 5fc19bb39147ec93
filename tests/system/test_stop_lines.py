"""System tests of the event lines that a process writes during its stop."""

import unittest
from typing import Any

from tests.system.deployment import Deployment, make_config, open_deployment, open_endpoint


class StopLinesTest(unittest.TestCase):
    def test_decision_to_exit_is_written_before_the_last_line(self) -> None:
        """Guards against lines that do not tell what came before the decision to exit."""
        deployment = self.enterContext(open_deployment(replicas=1, routers=1))
        deployment.start_all()
        endpoint = self.enterContext(open_endpoint(deployment, 1))
        deployment.put(make_config(3))
        deployment.announce(endpoint)
        deployment.wait_served("r1")
        for name in ("r1", "p1"):
            deployment.stop(name)
            with self.subTest(name):
                self.check_lines(deployment, name)

    def check_lines(self, deployment: Deployment, name: str) -> None:
        events = deployment.read_events(name)
        self.assertEqual(events[-1]["event"], "stopped")
        (stopping,) = self.find(events, "stopping")
        (decided,) = self.find(events, "exit_decided")
        self.assertEqual(decided["open"], 0)
        self.assertLessEqual(stopping["up"], decided["up"])
        self.assertLess(abs(decided["up"] - stopping["up"] - decided["after_s"]), 0.1)

    @staticmethod
    def find(events: list[dict[str, Any]], name: str) -> list[dict[str, Any]]:
        return [event for event in events if event["event"] == name]


if __name__ == "__main__":
    unittest.main()
