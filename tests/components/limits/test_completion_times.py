"""Tests of the times that requests of each route take."""

import unittest

from chivetrack.components.limits.completion_times import CompletionTimes


class CompletionTimesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.times = CompletionTimes()

    def test_slow_route_is_not_hidden_by_quick_ones(self) -> None:
        """Guards against long orders that are taken as short among many short ones."""
        self.times.record("long", 7.0)
        for _ in range(1000):
            self.times.record("short", 0.1)
        self.assertEqual((self.times.find("long"), self.times.find("short")), (7.0, 0.1))
        self.assertIsNone(self.times.find("other"))

    def test_slow_answer_counts_among_quick_ones_and_fades(self) -> None:
        """Guards against a time that most answers keep, and against one that lasts for ever."""
        self.times.record("mixed", 7.0)
        for _ in range(10):
            self.times.record("mixed", 0.1)
        recent = self.times.find("mixed")
        assert recent is not None
        self.assertGreater(recent, 5.0)
        for _ in range(300):
            self.times.record("mixed", 0.1)
        faded = self.times.find("mixed")
        assert faded is not None
        self.assertLess(faded, 0.2)

    def test_routes_that_are_gone_are_forgotten(self) -> None:
        """Guards against times that are kept for routes of former configurations."""
        self.times.record("old", 1.0)
        self.times.record("new", 1.0)
        self.times.keep({"new"})
        self.assertEqual((self.times.find("old"), self.times.find("new")), (None, 1.0))


if __name__ == "__main__":
    unittest.main()
