"""Endpoints that stop without a word while requests wait there."""

import unittest

from chivetrack.components.observation.silence import (
    MIN_WAIT_LIMIT_S,
    SilenceTable,
    exclude_silent,
    find_wait_limit,
)
from chivetrack.components.observation.speeds import ServiceSpeeds


class SilenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = SilenceTable()

    def test_endpoint_loses_power(self) -> None:
        """An endpoint stops without a reset while two callers wait three seconds for it.

        Nothing fails before those callers' deadlines. Until then each further request sent
        there would wait as long; the third one already goes elsewhere.
        """
        first = self.table.start("e", now=10.0, wait_limit_s=0.3)
        self.table.start("e", now=10.1, wait_limit_s=0.3)
        self.assertFalse(self.table.is_silent("e", 10.35))
        self.assertTrue(self.table.is_silent("e", 10.5))
        self.assertFalse(self.table.is_silent("other", 10.5))
        self.table.finish("e", first)
        self.assertFalse(self.table.is_silent("e", 13.0))

    def test_one_request_that_takes_long_proves_nothing(self) -> None:
        """A calm day; a router sends a status service one request in two seconds.

        One of them takes its whole time limit. Nothing else is heard from its endpoint
        meanwhile, which is healthy and would be held back for the whole fleet.
        """
        self.table.start("e", now=10.0, wait_limit_s=0.3)
        self.assertFalse(self.table.is_silent("e", 12.0))

    def test_long_request_beside_answers(self) -> None:
        """One request takes long; others of the endpoint get their bytes meanwhile."""
        self.table.start("e", now=10.0, wait_limit_s=0.3)
        other = self.table.start("e", now=10.1, wait_limit_s=0.3)
        self.table.record_bytes("e", other, now=10.2)
        self.assertFalse(self.table.is_silent("e", 12.0))

    def test_streams_that_die_with_their_endpoint(self) -> None:
        """A stream got bytes until the power went; requests that came later show it."""
        stream = self.table.start("e", now=10.0, wait_limit_s=0.3)
        self.table.record_bytes("e", stream, now=10.5)
        self.table.start("e", now=10.6, wait_limit_s=0.3)
        self.table.start("e", now=10.6, wait_limit_s=0.3)
        self.assertFalse(self.table.is_silent("e", 10.8))
        self.assertTrue(self.table.is_silent("e", 11.0))

    def test_endpoint_starts_again(self) -> None:
        number = self.table.start("e", now=10.0, wait_limit_s=0.3)
        self.table.start("e", now=10.0, wait_limit_s=0.3)
        self.assertTrue(self.table.is_silent("e", 11.0))
        self.table.forget("e")
        self.assertFalse(self.table.is_silent("e", 11.0))
        self.table.record_bytes("e", number, now=11.0)
        self.table.finish("e", number)

    def test_patience_grows_with_what_is_expected(self) -> None:
        self.assertEqual(find_wait_limit(5.0, 2.0), MIN_WAIT_LIMIT_S)
        self.assertGreater(find_wait_limit(400.0, 2.0), 2.0)

    def test_overload_is_no_silence(self) -> None:
        """Four times the usual load; every engine owes answers for a second.

        Were they left out, each for a moment, the rest would get their load and fall
        behind in turn. Answers that come late widen the spread, and with it the patience.
        """
        names = ["e0", "e1", "e2", "e3", "e4", "e5"]
        self.assertEqual(exclude_silent(names, {"e1"}), ["e0", "e2", "e3", "e4", "e5"])
        self.assertEqual(exclude_silent(names, {"e1", "e2", "e3"}), names)
        self.assertEqual(exclude_silent(["e0"], {"e0"}), [])
        speeds = ServiceSpeeds()
        for number in range(40):
            late = 40.0 * (1 + number % 20)
            speeds.record_first_event("e0", tokens=100, took_ms=late, now=number * 0.05)
        expected_ms = speeds.expect_first_ms("e0", 100, now=2.0)
        self.assertGreater(find_wait_limit(expected_ms, speeds.tail_factor), 0.8)


if __name__ == "__main__":
    unittest.main()
