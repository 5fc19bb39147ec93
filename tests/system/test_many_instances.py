"""System test of a fleet with more instances than default thread pool sizes allow."""

import unittest

from standins.fleet import open_fleet

INSTANCES = 12


class ManyInstancesTest(unittest.TestCase):
    def test_a_dozen_instances_become_ready(self) -> None:
        """Guards against an exhausted thread pool that keeps every instance from being ready.

        Each instance has a stream open to each of the others, and each stream blocks one
        thread of a pool. With ten threads and eleven streams no votes and no configuration
        arrive, so the pool must be larger than the number of streams.
        """
        fleet = self.enterContext(open_fleet())
        fleet.plan_instances(INSTANCES)
        fleet.start_instances()
        for plan in fleet.plans:
            ready = fleet.request("GET", fleet.members[plan.name], "/readyz")
            self.assertEqual(ready.status, 200, plan.name)
