"""Counts of a transport: the longest wait of messages, by kind."""

import unittest

from chivetrack.components.peers.outbox import TrafficCount


class LongestWaitTest(unittest.TestCase):
    def test_longest_wait_of_each_kind_since_the_last_call(self) -> None:
        """Guards against a full link that no log line shows: only the latest wait was kept."""
        traffic = TrafficCount()
        for kind, wait_s in (("log", 0.2), ("log", 0.1), ("view", 1.5)):
            traffic.record_wait(kind, wait_s)
        self.assertEqual(traffic.pop_longest_waits(), {"log": 0.2, "view": 1.5})
        self.assertEqual(traffic.pop_longest_waits(), {})


if __name__ == "__main__":
    unittest.main()
