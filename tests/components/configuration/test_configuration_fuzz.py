"""Seeded fuzzing: lost, late, duplicate and reordered messages, partitions and restarts."""

import os
import unittest

from tests.components.configuration.fleet import SETTINGS, Fleet

RUNS = int(os.environ.get("CHIVETRACK_FUZZ_EXAMPLES", "25"))
STEPS = 40


class ConfigurationFuzzTest(unittest.TestCase):
    def test_any_order_of_faults(self) -> None:
        """Routers lose messages, are partitioned and restart while changes are committed.

        Invariants after every event: no router applies a lower revision than before, also
        after a restart; its state matches a single revision; a confirmed router is behind
        by at most the window. At the end all routers are up to date.
        """
        for seed in range(RUNS):
            with self.subTest(seed=seed):
                self.run_seed(seed)

    def run_seed(self, seed: int) -> None:
        fleet = Fleet(seed=seed)
        for _ in range(STEPS):
            self.disturb(fleet)
            fleet.run(fleet.rng.choice([0.05, 0.3, 1.0, 3.0]))
        fleet.chaos = False
        fleet.partitioned.clear()
        fleet.is_leader_partitioned = False
        fleet.run(20.0)
        self.assertEqual(fleet.list_revisions(), [fleet.store.revision] * len(fleet.names))
        for name in fleet.names:
            node = fleet.nodes[name]
            self.assertTrue(node.configuration.view.is_confirmed(node.read_clock(fleet.time)))
        leader = fleet.nodes["leader"]
        in_force = leader.configuration.compute_rollout_status(
            fleet.names, now=leader.read_clock(fleet.time)
        )
        self.assertEqual(in_force.missing, ())

    def disturb(self, fleet: Fleet) -> None:
        for _ in range(fleet.rng.choice([0, 1, 1, 2, 5, 60])):
            fleet.change()
        draw = fleet.rng.random()
        if draw < 0.2:
            fleet.restart(fleet.rng.choice(fleet.names))
        elif draw < 0.3:
            fleet.partitioned = set(fleet.rng.sample(fleet.names, 3))
        elif draw < 0.4:
            fleet.partitioned.clear()
        elif draw < 0.6:
            fleet.gossip()
        elif draw < 0.65:
            fleet.is_leader_partitioned = not fleet.is_leader_partitioned


class FleetTest(unittest.TestCase):
    def test_change_reaches_every_router_in_time(self) -> None:
        fleet = Fleet(seed=1, routers=9, chaos=False)
        fleet.run(5.0)
        fleet.change()
        fleet.run(SETTINGS.push_interval_s * 3)
        self.assertEqual(fleet.list_revisions(), [1] * 9)
        leader = fleet.nodes["leader"]
        clock = leader.read_clock(fleet.time)
        in_force = leader.configuration.compute_rollout_status(fleet.names, now=clock)
        self.assertEqual((in_force.applied, in_force.missing), (9, ()))

    def test_leader_serves_relays_only(self) -> None:
        fleet = Fleet(seed=1, routers=9, chaos=False)
        fleet.run(5.0)
        leader = fleet.nodes["leader"].configuration.publisher
        self.assertLessEqual(len(leader._downstream), 6)
