"""System test of a deployment whose replicas are killed during the bootstrap of its log."""

import unittest

from benchmarks.founding import run_scenario


class KilledFoundingTest(unittest.TestCase):
    def test_kills_in_the_first_second(self) -> None:
        """Guards against a bootstrap that never completes after replicas were killed.

        One, two or all replicas are killed during the bootstrap, some repeatedly. They
        restart without ``is_first_start``, in some runs one with an empty disk. Every replica
        must acknowledge a configuration some seconds later.
        """
        for seed in range(1, 13):
            with self.subTest(seed=seed):
                self.assertIsNotNone(run_scenario(seed))


if __name__ == "__main__":
    unittest.main()
