"""Endpoints that fail a part of their requests."""

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
    def play(self, shares: dict[str, float], count: int, seed: int) -> Counter[str]:
        """Send requests 40 ms apart, 45 ms each; return how many failed at each endpoint."""
        random = Random(seed)
        book = FailureTracker()
        placement = Placement(zone="z0")
        failed: Counter[str] = Counter()
        for number in range(count):
            now = number * 0.04
            candidates = [
                Candidate(
                    record=make_record(endpoint_id=name, zone=f"z{index}", slots=6),
                    failure_share=book.find_share(name, now),
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
            book.record(name, tries=1, failures=float(fails), now=now)
        return failed

    def test_endpoint_that_loses_a_part_of_its_answers(self) -> None:
        """The nearest of four endpoints loses the answers of three requests in ten.

        Its status check is good and no breaker opens at such a share. A quote that it ran
        must not run again, so each lost answer is a lost quote: 75 of 250 if all go there.
        """
        for seed in range(5):
            failed = self.play({"e0": 0.3}, 250, seed)
            self.assertLess(failed["e0"], 25, seed)

    def test_requests_that_fail_wherever_they_run(self) -> None:
        """A seventh of all requests fails at any endpoint; none of them is worse for it."""
        book = FailureTracker()
        for name in NAMES:
            book.record(name, tries=70, failures=10, now=1.0)
        shares = [book.find_share(name, 1.0) for name in NAMES]
        self.assertLess(max(shares) - min(shares), 0.01)

    def test_few_outcomes_prove_little_and_are_forgotten(self) -> None:
        book = FailureTracker()
        book.record("e1", tries=100, failures=0, now=1.0)
        book.record("e0", tries=1, failures=1, now=1.0)
        self.assertLess(book.find_share("e0", 1.0), 0.2)
        book.record("e0", tries=20, failures=20, now=1.0)
        self.assertGreater(book.find_share("e0", 1.0), 0.4)
        self.assertLess(book.find_share("e0", 30.0), 0.05)
        book.forget("e0")
        self.assertEqual(book.find_share("e0", 1.0), 0.0)


if __name__ == "__main__":
    unittest.main()
