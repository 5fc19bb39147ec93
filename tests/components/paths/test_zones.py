"""Tests of paths to whole zones."""

import unittest

from chivetrack.components.paths.const import LOST_ZONE_MEMORY_S
from chivetrack.components.paths.zones import ZonePaths, may_exclude


class ZonePathsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.zones = ZonePaths()

    def test_zone_is_lost_after_two_endpoints_that_do_not_answer(self) -> None:
        """Guards against requests that all wait for connections into a zone that is cut off."""
        self.zones.record_unanswered("z2", "e1", now=1.0)
        self.assertEqual(self.zones.list_lost(now=1.0), frozenset())
        self.zones.record_unanswered("z2", "e2", now=1.3)
        self.assertEqual(self.zones.list_lost(now=1.3), {"z2"})

    def test_endpoint_that_is_down_loses_no_zone(self) -> None:
        """Guards against a zone that gets nothing since a single endpoint of it hangs."""
        for at in range(5):
            self.zones.record_unanswered("z2", "e1", now=1.0 + at)
        self.assertEqual(self.zones.list_lost(now=6.0), frozenset())

    def test_answer_of_another_endpoint_shows_that_the_zone_is_reached(self) -> None:
        """Guards against several crashed endpoints that are taken for a lost path."""
        self.zones.record_unanswered("z2", "e1", now=1.0)
        self.assertTrue(self.zones.record_reached("z2"))
        self.zones.record_unanswered("z2", "e2", now=1.3)
        self.assertEqual(self.zones.list_lost(now=1.3), frozenset())

    def test_failures_long_apart_lose_no_zone(self) -> None:
        """Guards against a zone with little traffic that is lost by two endpoints hours apart."""
        self.zones.record_unanswered("z2", "e1", now=1.0)
        self.zones.record_unanswered("z2", "e2", now=1.1 + LOST_ZONE_MEMORY_S)
        self.assertEqual(self.zones.list_lost(now=1.1 + LOST_ZONE_MEMORY_S), frozenset())

    def test_lost_zone_is_tried_again_without_probes(self) -> None:
        """Guards against a zone that gets nothing for good."""
        self.zones.record_unanswered("z2", "e1", now=1.0)
        self.zones.record_unanswered("z2", "e2", now=1.0)
        self.assertEqual(self.zones.list_lost(now=1.1 + LOST_ZONE_MEMORY_S), frozenset())

    def test_too_few_endpoints_remain(self) -> None:
        """Guards against a router cut from all zones that leaves its callers without endpoints."""
        self.assertTrue(may_exclude(2, 3))
        self.assertFalse(may_exclude(3, 3))
        self.assertFalse(may_exclude(8, 10))


if __name__ == "__main__":
    unittest.main()
