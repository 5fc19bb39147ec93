"""Tests of placement by the load and speed that endpoints report themselves."""

import unittest
from random import Random

from chivetrack.components.distribution.messages import EndpointLoad
from chivetrack.components.observation.speeds import ServiceSpeeds
from chivetrack.components.placement.loads import REPORT_TTL_S, LoadTable
from chivetrack.components.placement.placement import MAX_REPORTED_TURNS, Placement
from chivetrack.components.traffic.requests import EndpointLoadFacts
from tests.components.announcements.test_table import make_record

NOISE_S = 0.6
NOISY_SHARE = 0.15
NOISE_FACTOR = 2.5


class CountTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loads = LoadTable()
        self.loads.handle_other_loads([EndpointLoad("e1", 5)], now=1.0)

    def test_newer_report_replaces_counts_of_other_routers(self) -> None:
        """Guards against placement by counts that are older than what the endpoint says."""
        self.loads.start("e1", 0)
        self.loads.record_report("e1", 12, now=1.1)
        self.assertEqual(self.loads.count_running("e1", 1.2), 12)
        self.loads.start("e1", 0)
        self.assertEqual(self.loads.count_running("e1", 1.2), 13)
        self.loads.finish("e1")
        self.loads.finish("e1")
        self.assertEqual(self.loads.count_running("e1", 1.2), 11)

    def test_old_report_is_not_used(self) -> None:
        """Guards against a report that stands for an endpoint's load long after it was made."""
        self.loads.record_report("e1", 12, now=1.1)
        self.assertEqual(self.loads.count_running("e1", 1.2 + REPORT_TTL_S), 5)

    def test_newer_counts_replace_the_report(self) -> None:
        """Guards against a report that hides what other routers have sent since."""
        self.loads.record_report("e1", 12, now=1.1)
        self.loads.handle_other_loads([EndpointLoad("e1", 20)], now=1.3)
        self.assertEqual(self.loads.count_running("e1", 1.4), 20)


class SpeedTest(unittest.TestCase):
    def test_report_is_nearer_to_the_truth_than_answers_alone(self) -> None:
        """Guards against an endpoint that is slow for a moment and learned about when it is over.

        Other programs slow a machine down by 2.5 times, for 0.6 s at a time. Answers come every
        0.2 s on the average, as at the few endpoints of a router with many requests.
        """
        errors = {False: 0.0, True: 0.0}
        for uses_reports in errors:
            random = Random(1)
            speeds = ServiceSpeeds()
            now, factor, changes_at = 0.0, 1.0, 0.0
            for _ in range(4000):
                now += random.expovariate(5.0)
                if now >= changes_at:
                    changes_at = now + NOISE_S
                    factor = NOISE_FACTOR if random.random() < NOISY_SHARE else 1.0
                errors[uses_reports] += abs(speeds.find_slowness("e1", now) - factor)
                took_ms = 30.0 * factor * random.lognormvariate(0.0, 0.3)
                speeds.record_plain_answer("e1", took_ms=took_ms, now=now)
                if uses_reports:
                    speeds.record_report("e1", factor, now=now)
        self.assertLess(errors[True], 0.8 * errors[False])

    def test_learned_slowness_returns_as_the_report_ages(self) -> None:
        """Guards against a report that is trusted long after the machine's load has changed."""
        speeds = ServiceSpeeds()
        speeds.record_report("e1", 2.5, now=1.0)
        self.assertAlmostEqual(speeds.find_slowness("e1", 1.0), 2.5)
        self.assertLess(speeds.find_slowness("e1", 2.0), 1.05)


class PlacementTest(unittest.TestCase):
    def report(self, load: EndpointLoadFacts) -> Placement:
        placement = Placement(zone="z")
        placement.record_report(make_record(), load, now=1.0)
        return placement

    def test_endpoint_that_states_no_speed_is_placed_on_as_before(self) -> None:
        """Guards against other decisions where an endpoint reports what it always has."""
        placement = self.report(EndpointLoadFacts(running=9, waiting=3, slots=64))
        self.assertEqual(placement.loads.count_running("e1", 1.0), 0)

    def test_impossible_figures_are_bounded(self) -> None:
        """Guards against one endpoint's report that raises the bound of all others."""
        load = EndpointLoadFacts(running=10**9, waiting=0, slots=64, work_factor=10**6)
        placement = self.report(load)
        self.assertEqual(placement.loads.count_running("e1", 1.0), MAX_REPORTED_TURNS * 64)
        self.assertLess(placement.get_speeds("llm").find_slowness("e1", 1.0), 10)

    def test_new_lifetime_does_not_inherit_a_report(self) -> None:
        """Guards against an endpoint that starts again and is taken for slow and full."""
        load = EndpointLoadFacts(running=9, waiting=3, slots=64, work_factor=2.5)
        placement = self.report(load)
        self.assertEqual(placement.loads.count_running("e1", 1.0), 12)
        placement.forget("e1")
        self.assertEqual(placement.loads.count_running("e1", 1.0), 0)
        self.assertEqual(placement.get_speeds("llm").find_slowness("e1", 1.0), 1.0)


if __name__ == "__main__":
    unittest.main()
