"""Seeded fuzzing: lost, late, doubled and reordered messages, cuts and restarts."""

import os
import unittest

from tests.components.configuration.fleet import SETTINGS, Fleet

RUNS = int(os.environ.get("CHIVETRACK_FUZZ_EXAMPLES", "25"))
STEPS = 40


class ConfigurationFuzzTest(unittest.TestCase):
    def test_any_order_of_faults(self) -> None:
        """Routers lose messages, are cut off and restart while changes are made.

        After every event: no router applies a lower revision, also after a restart;
        what it applies is the state of one revision; none that calls itself
        confirmed is behind by more than the window. At the end all are up to date.
        """
        for seed in range(RUNS):
            with self.subTest(seed=seed):
                self.run_one(seed)

    def run_one(self, seed: int) -> None:
        fleet = Fleet(seed=seed)
        for _ in range(STEPS):
            self.disturb(fleet)
            fleet.run(fleet.rng.choice([0.05, 0.3, 1.0, 3.0]))
        fleet.chaos = False
        fleet.cut.clear()
        fleet.is_leader_cut = False
        fleet.run(20.0)
        self.assertEqual(fleet.list_revisions(), [fleet.store.revision] * len(fleet.names))
        for name in fleet.names:
            node = fleet.nodes[name]
            self.assertTrue(node.configuration.view.is_confirmed(node.read_clock(fleet.time)))
        leader = fleet.nodes["leader"]
        in_force = leader.configuration.compute_in_force(
            fleet.names, now=leader.read_clock(fleet.time)
        )
        self.assertEqual(in_force.missing, ())

    def disturb(self, fleet: Fleet) -> None:
        for _ in range(fleet.rng.choice([0, 1, 1, 2, 5, 60])):
            fleet.change()
        lot = fleet.rng.random()
        if lot < 0.2:
            fleet.restart(fleet.rng.choice(fleet.names))
        elif lot < 0.3:
            fleet.cut = set(fleet.rng.sample(fleet.names, 3))
        elif lot < 0.4:
            fleet.cut.clear()
        elif lot < 0.6:
            fleet.gossip()
        elif lot < 0.65:
            fleet.is_leader_cut = not fleet.is_leader_cut


class FleetTest(unittest.TestCase):
    def test_change_reaches_every_router_in_time(self) -> None:
        fleet = Fleet(seed=1, routers=9, chaos=False)
        fleet.run(5.0)
        fleet.change()
        fleet.run(SETTINGS.push_interval_s * 3)
        self.assertEqual(fleet.list_revisions(), [1] * 9)
        leader = fleet.nodes["leader"]
        clock = leader.read_clock(fleet.time)
        in_force = leader.configuration.compute_in_force(fleet.names, now=clock)
        self.assertEqual((in_force.applied, in_force.missing), (9, ()))

    def test_leader_serves_relays_only(self) -> None:
        fleet = Fleet(seed=1, routers=9, chaos=False)
        fleet.run(5.0)
        leader = fleet.nodes["leader"].configuration.publisher
        self.assertLessEqual(len(leader._downstream), 6)
