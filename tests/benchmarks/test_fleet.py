"""Tests of the fleet simulation and of the load bound that it shows."""

import unittest
from dataclasses import replace

from benchmarks.fleet.deployment import Deployment, draw_deployment, make_boards
from benchmarks.fleet.policies import POLICIES
from benchmarks.fleet.report import Figures, average, measure
from benchmarks.fleet.world import World


def simulate(deployment: Deployment, policy: str, seed: int = 1) -> Figures:
    world = World(deployment=deployment, policy=POLICIES[policy](), seed=seed)
    return measure(world.simulate())


class FleetModelTest(unittest.TestCase):
    def test_same_seed_same_figures(self) -> None:
        deployment = replace(draw_deployment(3), seconds=5.0)
        self.assertEqual(simulate(deployment, "deployed"), simulate(deployment, "deployed"))

    def test_every_request_has_an_outcome(self) -> None:
        deployment = replace(make_boards(seed=2, requests_per_s=50.0), seconds=10.0)
        world = World(deployment=deployment, policy=POLICIES["deployed"](), seed=2)
        result = world.simulate()
        ends = len(result.outcomes)
        self.assertGreater(ends, 350)
        self.assertLess(measure(result).unserved, 0.01)

    def test_load_bound_holds_with_delayed_counts(self) -> None:
        """Guards against a load bound of routers that is too wide for delayed counts.

        Nine routers send to nine engines at a third of their capacity. A router gets the
        others' counts about half a second late, so its own bound must be lower than the
        documented one of twice the mean plus three. A wider bound moves fewer prompts and
        sends twice as many requests above the documented bound.
        """
        figures: dict[str, list[Figures]] = {"deployed": [], "wide-bound": []}
        for name, runs in figures.items():
            for seed in (1, 2):
                deployment = replace(make_boards(seed=seed, requests_per_s=150.0), seconds=20.0)
                runs.append(simulate(deployment, name, seed))
        deployed = average(figures["deployed"])
        wide = average(figures["wide-bound"])
        self.assertLess(deployed.over, 0.01)
        self.assertLess(deployed.over, wide.over)
        self.assertLess(wide.moved, deployed.moved)


if __name__ == "__main__":
    unittest.main()
