"""Requests that can't be answered in their time."""

import unittest
from random import Random

from chivetrack.components.limits.infeasible import refuse_infeasible
from chivetrack.exceptions import Ran


class HopelessTest(unittest.TestCase):
    def judge(self, expected_s: float, left_s: float, seed: int = 1) -> float | None:
        fault = refuse_infeasible(
            expected_s=expected_s, left_s=left_s, target_s=0.5, random=Random(seed)
        )
        if fault is None:
            return None
        self.assertEqual((fault.status, fault.ran), (503, Ran.NO))
        assert fault.retry_after_s is not None
        return fault.retry_after_s

    def test_queue_longer_than_the_callers_patience(self) -> None:
        """Four times the usual load; the engines' queues are nine seconds long.

        A caller that waits four seconds would be held until its deadline and get nothing.
        It is told at once, and when the queue will have drained.
        """
        retry_after_s = self.judge(expected_s=9.0, left_s=4.0)
        assert retry_after_s is not None
        self.assertGreater(retry_after_s, 2.0)

    def test_doubt_is_in_favour_of_the_request(self) -> None:
        for expected_s, left_s in ((0.1, 4.0), (4.0, 4.0), (7.9, 4.0)):
            self.assertIsNone(self.judge(expected_s, left_s))

    def test_callers_do_not_come_back_together(self) -> None:
        times = {self.judge(20.0, 4.0, seed) for seed in range(20)}
        self.assertGreater(len(times), 15)


if __name__ == "__main__":
    unittest.main()
