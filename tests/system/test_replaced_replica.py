"""System tests of a replica that is removed for good, and of disks that are lost after it."""

import unittest

from tests.system.deployment import Deployment, make_config, open_deployment
from tests.system.fleets import wait_for

CATCH_UP_S = 4.0
"""Default of the settings: from a new replica's start until it must vote."""

CHANGE_DELAY_S = 1.0
"""Limit for the log line of a change; a silent voter would be kept for longer."""


class ReplacedReplicaTest(unittest.TestCase):
    def setUp(self) -> None:
        self.deployment = self.enterContext(open_deployment(replicas=5, routers=0))
        self.deployment.start_all()
        self.deployment.put(make_config(1))
        for name in ("p4", "p5"):
            self.wait_changed("promote", name)
        self.deployment.is_first_start = False
        self.deployment.start("p6")
        wait_for(self.has_applied, "p6 has no configuration")

    def has_applied(self) -> bool:
        events = self.deployment.read_events("p6")
        return any(event.get("event") == "configuration_applied" for event in events)

    def wait_changed(self, kind: str, name: str, *, within_s: float = 20.0) -> None:
        """Wait until the leader has committed a change of the replica on an instance."""
        host = f"{self.deployment.get_host(name)}:"

        def is_changed() -> bool:
            return any(
                event["kind"] == kind
                and event["replica"].startswith(host)
                and event["outcome"] == "committed"
                for event in list_member_changes(self.deployment)
            )

        wait_for(is_changed, f"no {kind} of {name}", within_s=within_s)

    def lose_two_disks(self) -> None:
        leader = self.deployment.find_leader()
        other = next(one for one in ("p1", "p2", "p3", "p4") if one != leader)
        for name in (leader, other):
            self.deployment.kill(name)
            self.deployment.wipe(name)
        for name in (leader, other):
            self.deployment.start(name)

    def test_two_disks_are_lost_after_a_replica_was_killed_for_good(self) -> None:
        """Guards against a removed replica that stays a voter beside its waiting successor."""
        self.deployment.kill("p5")
        self.wait_changed("promote", "p6", within_s=CATCH_UP_S)
        self.deployment.put(make_config(2))
        self.lose_two_disks()
        self.assertEqual(self.deployment.read(), 2)
        self.deployment.put(make_config(3))

    def test_two_disks_are_lost_right_after_a_replica_has_stopped(self) -> None:
        """Guards against a replica that ends while its successor still waits to vote."""
        self.assertEqual(self.deployment.stop("p5"), 0)
        self.wait_changed("promote", "p6", within_s=CHANGE_DELAY_S)
        self.lose_two_disks()
        self.assertEqual(self.deployment.read(), 1)
        self.deployment.put(make_config(3))


def list_member_changes(deployment: Deployment) -> list[dict[str, str]]:
    """Return the lines about member changes of all replicas."""
    names = [*deployment.list_names("p"), "p6"]
    return [
        event
        for name in names
        if (deployment.folder / f"{name}.log").exists()
        for event in deployment.read_events(name)
        if event.get("event") == "member_change"
    ]


if __name__ == "__main__":
    unittest.main()
