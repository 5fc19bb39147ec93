"""Tests for endpoints that fail a part of their requests."""

import unittest
from collections import Counter
from random import Random

from chivetrack.components.observation.failures import FailureTracker
from chivetrack.components.placement.choice import Candidate
from chivetrack.components.placement.placement import Placement
from chivetrack.components.traffic.models import Service
from chivetrack.components.traffic.requests import RequestFacts
from tests.components.announcements.test_table import make_record

NAMES = ("e0", "e1", "e2", "e3")


class FailureBookTest(unittest.TestCase):
    def send_requests(self, shares: dict[str, float], count: int, seed: int) -> Counter[str]:
        """Send ``count`` requests, one every 40 ms; return the failures by endpoint."""
        random = Random(seed)
        tracker = FailureTracker()
        placement = Placement(zone="z0")
        failed: Counter[str] = Counter()
        for number in range(count):
            now = number * 0.04
            candidates = [
                Candidate(
                    record=make_record(endpoint_id=name, zone=f"z{index}", slots=6),
                    failure_share=tracker.find_share(name, now),
                )
                for index, name in enumerate(NAMES)
            ]
            choice = placement.choose(
                candidates, service=Service(name="llm"), facts=RequestFacts(request_id="q"), now=now
            )
            assert choice is not None
            name = choice.record.endpoint_id
            fails = random.random() < shares.get(name, 0.0)
            failed[name] += fails
            tracker.record(name, tries=1, failures=float(fails), now=now)
        return failed

    def test_endpoint_that_loses_a_part_of_its_answers(self) -> None:
        """The nearest of four endpoints loses the answers of three requests in ten.

        Its status check succeeds, and no circuit breaker opens at such a share. A request that
        it ran must not run again, so each lost answer is a lost request: 75 of 250 if all
        requests go there.
        """
        for seed in range(5):
            failed = self.send_requests({"e0": 0.3}, 250, seed)
            self.assertLess(failed["e0"], 25, seed)

    def test_requests_that_fail_at_any_endpoint(self) -> None:
        """A seventh of the requests fails at every endpoint; their shares must stay equal."""
        tracker = FailureTracker()
        for name in NAMES:
            tracker.record(name, tries=70, failures=10, now=1.0)
        shares = [tracker.find_share(name, 1.0) for name in NAMES]
        self.assertLess(max(shares) - min(shares), 0.01)

    def test_few_outcomes_have_little_weight_and_decay(self) -> None:
        tracker = FailureTracker()
        tracker.record("e1", tries=100, failures=0, now=1.0)
        tracker.record("e0", tries=1, failures=1, now=1.0)
        self.assertLess(tracker.find_share("e0", 1.0), 0.2)
        tracker.record("e0", tries=20, failures=20, now=1.0)
        self.assertGreater(tracker.find_share("e0", 1.0), 0.4)
        self.assertLess(tracker.find_share("e0", 30.0), 0.05)
        tracker.forget("e0")
        self.assertEqual(tracker.find_share("e0", 1.0), 0.0)


if __name__ == "__main__":
    unittest.main()
