"""Tests of the retry budget over several lives of the routers."""

import unittest

from chivetrack.components.retries.window import RetryWindow
from tests.components.retries.oracle import RATIO, SLACK, WINDOW_S, find_excess

ROUTERS = 9


def make_window() -> RetryWindow:
    return RetryWindow(ratio=RATIO, slack=SLACK, window_s=WINDOW_S)


class RestartTest(unittest.TestCase):
    def test_retries_over_restarts_of_all_routers_stay_within_the_fleet_budget(self) -> None:
        """Guards against lives of a router that each use the slack of the same window."""
        windows = [make_window() for _ in range(ROUTERS)]
        requests, retries = [], []
        for step in range(2000):
            now = step * 0.01
            if step % 200 == 0:
                windows = [make_window() for _ in range(ROUTERS)]
            window = windows[step % ROUTERS]
            window.record_request(now)
            requests.append(now)
            if window.may_retry(now, routers=ROUTERS):
                window.record_retry(now)
                retries.append(now)
        self.assertEqual(find_excess(requests, retries), [])


if __name__ == "__main__":
    unittest.main()
