"""Tests of routers that are behind and close new connections unread."""

import random
import unittest
from collections import deque
from dataclasses import dataclass, field

from chivetrack.components.limits.shedding import (
    KEPT_CONNECTIONS,
    MAX_BUSY_SHARE,
    MAX_LAG_S,
    ConnectionShedder,
)

SAMPLE_S = 0.02
CONTACT_S = 3.0
FOCUS_FROM_S = 4.0
END_S = 12.0
TIME_LIMIT_S = 1.5
MAX_TRIES = 2


class ShedderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.shedder = ConnectionShedder()

    def record(self, *, lag_s: float = 0.0, share: float = 0.0, samples: int = 50) -> None:
        for _ in range(samples):
            self.shedder.record_sample(lag_s=lag_s, busy_share=share)

    def accept(self, count: int) -> int:
        return sum(self.shedder.may_accept() for _ in range(count))

    def test_router_that_is_not_behind_takes_all(self) -> None:
        self.record(lag_s=MAX_LAG_S / 2, share=MAX_BUSY_SHARE / 2)
        self.assertEqual(self.accept(100), 100)

    def test_single_late_sample_closes_nothing(self) -> None:
        """Guards against closing connections for one pause, as when a process is frozen."""
        self.record(samples=50)
        self.record(lag_s=MAX_LAG_S * 4, samples=1)
        self.assertEqual(self.accept(100), 100)

    def test_router_that_is_late_or_busy_takes_one_in_ten(self) -> None:
        for busy in ({"lag_s": 2 * MAX_LAG_S}, {"share": 1.0}):
            with self.subTest(busy=busy):
                self.setUp()
                self.record(**busy)
                self.assertEqual(self.accept(100), 100 // KEPT_CONNECTIONS)
                self.assertEqual(self.shedder.closed_count, 90)

    def test_router_that_has_caught_up_takes_all(self) -> None:
        self.record(share=1.0)
        self.record()
        self.assertEqual(self.accept(100), 100)


@dataclass(slots=True)
class _Router:
    """A router that works on requests one after the other; ``due`` holds when they were sent."""

    is_shedding: bool
    shedder: ConnectionShedder = field(default_factory=ConnectionShedder)
    due: deque[float] = field(default_factory=deque)
    credit_s: float = 0.0

    def takes(self) -> bool:
        return not self.is_shedding or self.shedder.may_accept()

    def work(self, now: float, work_s: float) -> int:
        """Work for one sample; return how many requests were answered in time."""
        self.credit_s = min(self.credit_s, 0.0) + SAMPLE_S
        in_time = 0
        while self.due and self.credit_s > 0:
            in_time += now - self.due.popleft() <= TIME_LIMIT_S
            self.credit_s -= work_s
        share = 1.0 if self.due else 1.0 - max(0.0, self.credit_s) / SAMPLE_S
        self.shedder.record_sample(lag_s=0.0, busy_share=share)
        return in_time


class FocusTest(unittest.TestCase):
    """A stand-in load balancer hands most new connections of nine routers to one of them."""

    def play(self, *, requests_per_s: float, work_s: float, is_shedding: bool) -> list[float]:
        """Return which part of the requests read was served in time, before and from contact on.

        The third value is the part of all requests.
        """
        source = random.Random(1)
        routers = [_Router(is_shedding) for _ in range(9)]
        read, served, sent = [0, 0], [0, 0], [0, 0]
        for step in range(int(END_S / SAMPLE_S)):
            now = step * SAMPLE_S
            is_focused = now > FOCUS_FROM_S
            phase = int(now > FOCUS_FROM_S + CONTACT_S)
            is_counted = phase or not is_focused
            for _ in range(int(requests_per_s * SAMPLE_S)):
                sent[phase] += is_counted
                for attempt in range(MAX_TRIES):
                    is_first = is_focused and not attempt and source.random() < 0.9
                    router = routers[0] if is_first else source.choice(routers)
                    if router.takes():
                        read[phase] += is_counted
                        router.due.append(now)
                        break
            answered = sum(router.work(now, work_s) for router in routers)
            served[phase] += answered if is_counted else 0
        return [served[0] / read[0], served[1] / read[1], served[1] / sent[1]]

    def test_requests_are_served_while_most_connections_go_to_one_router(self) -> None:
        """Guards against a router that reads more than it can answer, and answers nothing in time.

        One router can serve 400 of 900 requests a second, all nine 3,600.
        """
        before, focused, of_all = self.play(requests_per_s=900, work_s=0.0025, is_shedding=True)
        self.assertGreaterEqual(focused, 0.75 * before)
        self.assertGreater(of_all, 0.9)
        _, without, _ = self.play(requests_per_s=900, work_s=0.0025, is_shedding=False)
        self.assertLess(without, 0.75 * before)

    def test_routers_that_are_all_behind_serve_what_they_can(self) -> None:
        """Guards against routers that all close what none of them has room for, and stand idle."""
        _, _, of_all = self.play(requests_per_s=7200, work_s=0.0025, is_shedding=True)
        self.assertGreater(of_all, 0.8 * 3600 / 7200)


if __name__ == "__main__":
    unittest.main()
