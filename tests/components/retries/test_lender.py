"""Tests of the lender of the retry budgets' slack."""

import unittest

from chivetrack.components.retries.const import (
    LEASE_DURATION_S,
    MAX_ARRIVAL_DELAY_S,
    MAX_CONFIRMATION_AGE_S,
)
from chivetrack.components.retries.lender import SlackLender

RETENTION_S = 10.0 + LEASE_DURATION_S + MAX_ARRIVAL_DELAY_S
WAIT_S = RETENTION_S + MAX_CONFIRMATION_AGE_S


class LenderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lender = SlackLender(slack=2.0, window_s=10.0)

    def lend(self, now: float, *, term: int | None = 1, service: str = "llm") -> bool:
        if term is not None:
            self.lender.confirm_leadership(term, at=now)
        return self.lender.lend(service, now=now) == 0

    def test_replica_that_does_not_lead_lends_nothing(self) -> None:
        self.assertFalse(self.lend(0.0, term=None))

    def test_new_leader_waits_until_earlier_leases_have_expired(self) -> None:
        """Guards against a leader that lends the slack a second time after the one before."""
        self.assertFalse(self.lend(0.0))
        self.assertFalse(self.lend(WAIT_S - 0.1))
        self.assertTrue(self.lend(WAIT_S))

    def test_first_leader_of_a_deployment_lends_at_once(self) -> None:
        """Guards against streams that break off in a new deployment although others could go on."""
        self.lender.confirm_leadership(1, at=0.0, is_first=True)
        self.assertEqual(self.lender.lend("llm", now=0.0), 0.0)
        self.assertFalse(self.lend(1.0, term=2))

    def test_leader_that_was_replaced_meanwhile_waits_again(self) -> None:
        """Guards against a leader that leads again and does not know what others have lent."""
        self.lend(0.0)
        self.assertTrue(self.lend(WAIT_S))
        self.assertFalse(self.lend(WAIT_S + 1.0, term=3))
        self.assertTrue(self.lend(2 * WAIT_S + 1.0, term=3))

    def test_leader_that_is_not_confirmed_lends_nothing(self) -> None:
        """Guards against a leader that was replaced while it was frozen."""
        self.lend(0.0)
        self.assertTrue(self.lend(WAIT_S))
        self.assertFalse(self.lend(WAIT_S + MAX_CONFIRMATION_AGE_S + 0.1, term=None))

    def test_slack_of_a_window_is_lent_once(self) -> None:
        self.lend(0.0)
        lent = [self.lend(WAIT_S) for _ in range(3)]
        self.assertEqual(lent, [True, True, False])
        self.assertTrue(self.lend(WAIT_S, service="portal"))
        self.assertFalse(self.lend(WAIT_S + RETENTION_S - 0.1))
        self.assertTrue(self.lend(WAIT_S + RETENTION_S + 0.1))

    def test_refusal_tells_when_a_lease_expires(self) -> None:
        self.lend(0.0)
        self.lend(WAIT_S)
        self.lend(WAIT_S)
        wait_s = self.lender.lend("llm", now=WAIT_S + 0.5)
        self.assertAlmostEqual(wait_s, RETENTION_S - 0.5)

    def test_refused_routers_wait_for_different_leases(self) -> None:
        """Guards against hundreds of refused routers that ask again together."""
        self.lend(0.0)
        self.lend(WAIT_S)
        self.lend(WAIT_S + 3.0)
        waits = [self.lender.lend("llm", now=WAIT_S + 3.5) for _ in range(3)]
        self.assertEqual([round(one, 1) for one in waits], [8.5, 11.5, 11.5])
        self.assertTrue(self.lend(WAIT_S + RETENTION_S + 0.1))

    def test_expired_leases_are_forgotten(self) -> None:
        """Guards against services that are kept for ever."""
        self.lend(0.0)
        for number in range(100):
            self.lend(WAIT_S, service=f"s{number}")
        self.lend(WAIT_S + 2 * RETENTION_S)
        self.assertEqual(self.lender.count_lent("s1", now=WAIT_S + 2 * RETENTION_S), 0)
        self.assertEqual(len(self.lender._services), 1)


if __name__ == "__main__":
    unittest.main()
