"""Tests for the pacing of messages with counts."""

import unittest

from chivetrack.components.load.const import (
    FINISH_DELAY_S,
    HEARTBEAT_S,
    PEER_SILENCE_S,
    SEND_BURST,
    SEND_RATE_PER_S,
)
from chivetrack.components.load.pacer import CountsPacer


class CountsPacerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.pacer = CountsPacer()
        self.pacer.record_sent(10.0)

    def test_start_is_urgent_and_finish_may_wait(self) -> None:
        self.pacer.record_finish(10.5)
        self.assertAlmostEqual(self.pacer.find_next_due(10.5), 10.5 + FINISH_DELAY_S)
        self.pacer.record_start(10.6)
        self.assertLessEqual(self.pacer.find_next_due(10.6), 10.6)

    def test_heartbeat_is_sent_well_before_the_silence_limit(self) -> None:
        self.assertAlmostEqual(self.pacer.find_next_due(10.1), 10.0 + HEARTBEAT_S)
        self.assertLess(2 * HEARTBEAT_S, PEER_SILENCE_S)

    def test_messages_are_bounded_in_a_load_peak(self) -> None:
        """The load of a workspace rises tenfold, to a thousand starts in ten seconds.

        Each start makes the counts due immediately. The messages must stay within the rate;
        otherwise the control traffic grows with the load, when the network is busiest.
        """
        sent = 0
        for step in range(1000):
            now = 10.0 + step * 0.01
            self.pacer.record_start(now)
            if self.pacer.find_next_due(now) <= now:
                self.pacer.record_sent(now)
                sent += 1
        self.assertLessEqual(sent, SEND_BURST + SEND_RATE_PER_S * 10.0)
        self.assertGreater(sent, SEND_RATE_PER_S * 9.0)
