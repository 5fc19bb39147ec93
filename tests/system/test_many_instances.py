"""More instances than the libraries' defaults were made for."""

import unittest

from standins.fleet import open_fleet

INSTANCES = 12


class ManyInstancesTest(unittest.TestCase):
    def test_a_dozen_instances_become_ready(self) -> None:
        """A fleet of twelve starts; callers find none of them ready, for ever.

        Each instance has a stream open to each of the others, and each stream waits
        in a thread of a pool of ten. With all taken, no vote and no configuration
        arrives any more. The pool has to be larger than the number of streams.
        """
        fleet = self.enterContext(open_fleet())
        fleet.plan_instances(INSTANCES)
        fleet.start_instances()
        for plan in fleet.plans:
            ready = fleet.request("GET", fleet.members[plan.name], "/readyz")
            self.assertEqual(ready.status, 200, plan.name)
