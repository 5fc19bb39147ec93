"""A deployment whose replicas are killed while it is being founded."""

import unittest

from benchmarks.founding import run_scenario


class KilledFoundingTest(unittest.TestCase):
    def test_kills_in_the_first_second(self) -> None:
        """One, two or all replicas are killed while the log is being founded, some repeatedly.

        They come back without the word that the deployment starts, one at times with an
        empty disk. Every replica must acknowledge a configuration some seconds later.
        """
        for seed in range(1, 13):
            with self.subTest(seed=seed):
                self.assertIsNotNone(run_scenario(seed))


if __name__ == "__main__":
    unittest.main()
