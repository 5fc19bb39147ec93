"""Tests for the detection of endpoints that stop sending while requests wait."""

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
        """An endpoint stops without a reset while two callers wait for it.

        Their requests fail only at their deadlines of three seconds. Until then each further
        request sent there would wait too; the third one must already go elsewhere.
        """
        first = self.table.start("e", now=10.0, wait_limit_s=0.3)
        self.table.start("e", now=10.1, wait_limit_s=0.3)
        self.assertFalse(self.table.is_silent("e", 10.35))
        self.assertTrue(self.table.is_silent("e", 10.5))
        self.assertFalse(self.table.is_silent("other", 10.5))
        self.table.finish("e", first)
        self.assertFalse(self.table.is_silent("e", 13.0))

    def test_single_overdue_request_is_not_silence(self) -> None:
        """Under low load, a router sends one request in two seconds to a service.

        One request takes its whole time limit, and its healthy endpoint sends nothing else
        meanwhile. It must not count as silent, or the whole fleet would hold it back.
        """
        self.table.start("e", now=10.0, wait_limit_s=0.3)
        self.assertFalse(self.table.is_silent("e", 12.0))

    def test_long_request_beside_answers(self) -> None:
        """One request takes long, but another request receives bytes from the endpoint."""
        self.table.start("e", now=10.0, wait_limit_s=0.3)
        other = self.table.start("e", now=10.1, wait_limit_s=0.3)
        self.table.record_bytes("e", other, now=10.2)
        self.assertFalse(self.table.is_silent("e", 12.0))

    def test_endpoint_loses_power_during_a_stream(self) -> None:
        """A stream received bytes until the power failure; later requests reveal the failure."""
        stream = self.table.start("e", now=10.0, wait_limit_s=0.3)
        self.table.record_bytes("e", stream, now=10.5)
        self.table.start("e", now=10.6, wait_limit_s=0.3)
        self.table.start("e", now=10.6, wait_limit_s=0.3)
        self.assertFalse(self.table.is_silent("e", 10.8))
        self.assertTrue(self.table.is_silent("e", 11.0))

    def test_endpoint_restarts(self) -> None:
        number = self.table.start("e", now=10.0, wait_limit_s=0.3)
        self.table.start("e", now=10.0, wait_limit_s=0.3)
        self.assertTrue(self.table.is_silent("e", 11.0))
        self.table.forget("e")
        self.assertFalse(self.table.is_silent("e", 11.0))
        self.table.record_bytes("e", number, now=11.0)
        self.table.finish("e", number)

    def test_wait_limit_grows_with_the_expected_time(self) -> None:
        self.assertEqual(find_wait_limit(5.0, 2.0), MIN_WAIT_LIMIT_S)
        self.assertGreater(find_wait_limit(400.0, 2.0), 2.0)

    def test_overload_is_not_silence(self) -> None:
        """At four times the usual load, the answers of every engine are overdue for a second.

        If these engines were excluded, the others would get their load and be overloaded in
        turn. Late answers must raise the tail factor, and with it the wait limit.
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
