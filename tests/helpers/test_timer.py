"""Timer service: order, cancelled calls and missed intervals."""

import unittest

from chivetrack.helpers.timer import TimerService


class TimerServiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.timers = TimerService()
        self.calls: list[float] = []

    def test_callbacks_run_in_order_of_due_time(self) -> None:
        self.timers.call_at(2.0, lambda now: self.calls.append(2.0))
        self.timers.call_at(1.0, lambda now: self.calls.append(1.0))
        self.timers.run_due(3.0)
        self.assertEqual(self.calls, [1.0, 2.0])

    def test_cancelled_callback_is_not_called(self) -> None:
        unsubscribe = self.timers.call_every(1.0, self.calls.append, now=0.0)
        unsubscribe()
        self.timers.run_due(5.0)
        self.assertEqual(self.calls, [])
        self.assertIsNone(self.timers.find_next_due())

    def test_missed_intervals_cause_one_call(self) -> None:
        self.timers.call_every(1.0, self.calls.append, now=0.0)
        self.timers.run_due(100.0)
        self.assertEqual(self.calls, [100.0])
        self.assertEqual(self.timers.find_next_due(), 101.0)
