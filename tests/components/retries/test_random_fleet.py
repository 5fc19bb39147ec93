"""Random fleets against the bound on the retries of the whole fleet."""

import unittest

from tests.components.retries.fleet import RetryingFleet
from tests.components.retries.oracle import find_excess

# Two seeds that fail if a new leader lends at once, and a few more.
SEEDS = (121, 297, *range(60))


class RandomFleetTest(unittest.TestCase):
    def test_retries_stay_within_the_bound_in_every_window(self) -> None:
        """Guards against retries beyond the budget, whatever is killed, cut, frozen or added."""
        retries = refused = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = RetryingFleet(seed).play()
                self.assertEqual(find_excess(fleet.requests, fleet.retries), [])
                retries += len(fleet.retries)
                refused += fleet.refused
        self.assertGreater(retries, 100 * len(SEEDS))
        self.assertGreater(refused, 100 * len(SEEDS))


if __name__ == "__main__":
    unittest.main()
