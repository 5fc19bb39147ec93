"""Tests of when the slots of a service are scheduled."""

import unittest

from chivetrack.components.admission.const import ENGAGED_S
from chivetrack.components.admission.engagement import Engagement

SLOTS = 18


class EngagementTest(unittest.TestCase):
    def play(self, *loads: tuple[float, int]) -> Engagement:
        """Record loads, each for some seconds, by two requests a second."""
        engagement = Engagement(is_enabled=True, min_load=0.25)
        now = 0.0
        for seconds, running in loads:
            for _ in range(round(2 * seconds)):
                now += 0.5
                engagement.record_load("portal", running=running, slots=SLOTS, now=now)
        self.now = now
        return engagement

    def test_service_with_free_slots(self) -> None:
        """Guards against a round trip that a service with room does not need."""
        self.assertFalse(self.play((20.0, 2)).is_engaged("portal", self.now))

    def test_requests_that_hang_for_a_moment(self) -> None:
        """Guards against slots that are handed out since an endpoint hangs with a few requests."""
        engagement = self.play((10.0, 1), (1.0, 7), (1.0, 1))
        self.assertFalse(engagement.is_engaged("portal", self.now))

    def test_service_that_runs_short(self) -> None:
        """Guards against routers that all fill the endpoint which was idle a while ago."""
        engagement = self.play((10.0, 1), (4.0, 8))
        self.assertTrue(engagement.is_engaged("portal", self.now))
        self.assertFalse(engagement.is_engaged("portal", self.now + 1.1 * ENGAGED_S))


if __name__ == "__main__":
    unittest.main()
