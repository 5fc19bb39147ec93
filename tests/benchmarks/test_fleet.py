"""The model of a fleet, and the loads that decided between policies."""

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
        """Nine routers, nine engines, a third of the engines' capacity in use.

        Each router knows the others' counts half a second late, so the bound that it keeps
        has to lie below the one that is promised, twice the mean and three. A wider one
        moves fewer prompts, and sends twice as many requests over the promise.
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
