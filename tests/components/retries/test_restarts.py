"""Tests of the retry budget over several lives of the routers."""

import unittest

from chivetrack.components.retries.lender import SlackLender
from chivetrack.components.retries.service_budgets import ServiceRetryBudgets
from tests.components.retries.oracle import RATIO, SLACK, WINDOW_S, find_excess

ROUTERS = 9
SERVICE = "llm"


def make_budgets() -> ServiceRetryBudgets:
    return ServiceRetryBudgets(ratio=RATIO, window_s=WINDOW_S)


def make_lender() -> SlackLender:
    """Return a lender that has led for long."""
    lender = SlackLender(slack=SLACK, window_s=WINDOW_S)
    lender.confirm_leadership(1, at=-100.0)
    return lender


def try_retry(budgets: ServiceRetryBudgets, lender: SlackLender, now: float) -> bool:
    """Send a retry if the router or the lender has one."""
    reservation = budgets.reserve(SERVICE, now)
    if reservation is not None:
        return budgets.commit(reservation, now)
    lender.confirm_leadership(1, at=now)
    return lender.lend(SERVICE, now=now) == 0


class RestartTest(unittest.TestCase):
    def test_retries_over_restarts_of_all_routers_stay_within_the_fleet_budget(self) -> None:
        """Guards against lives of a router that each use the slack of the same window."""
        lender = make_lender()
        requests, retries = [], []
        for step in range(2000):
            now = step * 0.01
            if step % 200 == 0:
                routers = [make_budgets() for _ in range(ROUTERS)]
            router = routers[step % ROUTERS]
            router.record_request(SERVICE, now)
            requests.append(now)
            if try_retry(router, lender, now):
                retries.append(now)
        self.assertEqual(find_excess(requests, retries), [])


class SteadyFleetTest(unittest.TestCase):
    def test_retries_of_all_routers_stay_within_the_fleet_budget(self) -> None:
        """Guards against routers that each know only their own part of the traffic.

        All endpoints fail for 30 s, and nine routers try to retry every request: they must stay
        within the bound, and use most of it.
        """
        lender = make_lender()
        routers = [make_budgets() for _ in range(ROUTERS)]
        requests, retries = [], []
        for step in range(3000):
            now = step * 0.01
            routers[step % ROUTERS].record_request(SERVICE, now)
            requests.append(now)
            if try_retry(routers[step % ROUTERS], lender, now):
                retries.append(now)
        self.assertEqual(find_excess(requests, retries), [])
        self.assertGreater(len(retries), 500)

    def test_service_with_little_traffic_can_use_the_slack(self) -> None:
        """Guards against a slack that is lost to a router with few requests."""
        lender, router = make_lender(), make_budgets()
        router.record_request(SERVICE, 0.0)
        granted = sum(try_retry(router, lender, 0.0) for _ in range(100))
        self.assertEqual(granted, SLACK)
        self.assertTrue(try_retry(router, lender, 20.0))


if __name__ == "__main__":
    unittest.main()
