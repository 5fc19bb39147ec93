"""System test of requests that come around the decision of a stopping router to exit."""

import unittest

from tests.system.stop_sweep import run_sweep

SEED = 45


class StopSweepTest(unittest.TestCase):
    def test_request_around_the_exit_of_a_router_gets_a_true_answer(self) -> None:
        """Guards against requests that a router reads or passes on and does not answer."""
        tally = run_sweep(rounds=2, seed=SEED, routers=8, probes=6)
        self.assertEqual(len(tally.faults), 0, f"\n{tally.format()}")


if __name__ == "__main__":
    unittest.main()
