"""Tests for the refusal of infeasible requests."""

import unittest
from random import Random

from chivetrack.components.limits.infeasible import refuse_infeasible
from chivetrack.exceptions import Ran


class InfeasibleTest(unittest.TestCase):
    def get_retry_after(self, expected_s: float, left_s: float, seed: int = 1) -> float | None:
        fault = refuse_infeasible(
            expected_s=expected_s, left_s=left_s, target_s=0.5, random=Random(seed)
        )
        if fault is None:
            return None
        self.assertEqual((fault.status, fault.ran), (503, Ran.NO))
        assert fault.retry_after_s is not None
        return fault.retry_after_s

    def test_queue_longer_than_time_left_refuses(self) -> None:
        """Guards against holding a request until its deadline without an answer.

        At four times the usual load the engines' queues take nine seconds, and the caller
        has four seconds left. It is refused at once, with the time until the queue has
        drained.
        """
        retry_after_s = self.get_retry_after(expected_s=9.0, left_s=4.0)
        assert retry_after_s is not None
        self.assertGreater(retry_after_s, 2.0)

    def test_request_that_may_be_feasible_is_not_refused(self) -> None:
        for expected_s, left_s in ((0.1, 4.0), (4.0, 4.0), (7.9, 4.0)):
            self.assertIsNone(self.get_retry_after(expected_s, left_s))

    def test_retry_after_has_jitter(self) -> None:
        times = {self.get_retry_after(20.0, 4.0, seed) for seed in range(20)}
        self.assertGreater(len(times), 15)


if __name__ == "__main__":
    unittest.main()
