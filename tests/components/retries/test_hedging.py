"""Tests of the limits on hedged requests, under the loads that they answer."""

import heapq
import unittest
from collections.abc import Callable
from random import Random

from chivetrack.components.observation.speeds import ServiceSpeeds
from chivetrack.components.retries.hedging import (
    MAX_SAVED_HEDGES,
    HedgingPolicy,
    allows_hedge,
    find_hedge_delay,
)
from chivetrack.components.retries.service_budgets import ServiceRetryBudgets
from chivetrack.components.traffic.models import RouteKind
from tests.components.traffic.documents import make_route

SERVICE = "portal"
WORK_MS = 30.0
RATE = 30.0
MAX_SHARE = 0.05
RETRY_RATIO = 0.2
SLOTS = 18


class Load:
    """Requests to one service whose endpoints are slow at times, in simulated time.

    ``is_slow`` returns whether an endpoint is slow at a time; it then takes eight times as long.
    """

    def __init__(
        self, *, is_slow: Callable[[int, float], bool], max_share: float, ratio: float, seed: int
    ) -> None:
        """Play 60 s of one router's requests to three endpoints."""
        random = Random(seed)
        policy = HedgingPolicy(max_share=max_share, max_load=0.5)
        budgets = ServiceRetryBudgets(ratio=ratio, window_s=10.0)
        speeds = ServiceSpeeds()
        running: list[float] = []
        self.times_ms: list[float] = []
        self.hedges = 0
        now = 0.0
        while now < 60.0:
            now += random.expovariate(RATE)
            while running and running[0] <= now:
                heapq.heappop(running)
            policy.record_request(SERVICE)
            budgets.record_request(SERVICE, now)
            first = min(range(3), key=lambda one: speeds.find_slowness(str(one), now))
            took_ms = self._draw(random, is_slow(first, now))
            expected_ms = speeds.expect_plain_ms(str(first), now)
            delay_ms = 1000 * find_hedge_delay(expected_ms, speeds.tail_factor)
            overtaken_ms = took_ms
            if took_ms > delay_ms and policy.may_hedge(SERVICE, running=len(running), slots=SLOTS):
                reservation = budgets.reserve_spare(SERVICE, now)
                if reservation is not None and budgets.commit(reservation, now):
                    policy.record_hedge(SERVICE)
                    self.hedges += 1
                    second = (first + 1) % 3
                    hedged_ms = delay_ms + self._draw(random, is_slow(second, now))
                    took_ms = min(took_ms, hedged_ms)
            heapq.heappush(running, now + overtaken_ms / 1000)
            self.times_ms.append(took_ms)
            if took_ms < overtaken_ms:
                speeds.record_overtaken(str(first), tokens=None, took_ms=took_ms, now=now)
            else:
                speeds.record_plain_answer(str(first), took_ms=took_ms, now=now)

    def _draw(self, random: Random, is_slow: bool) -> float:
        return WORK_MS * random.lognormvariate(-0.125, 0.5) * (8.0 if is_slow else 1.0)

    @property
    def share(self) -> float:
        """Return the share of requests that were sent twice."""
        return self.hedges / len(self.times_ms)

    def find_quantile(self, share: float) -> float:
        """Return a quantile of the times in ms."""
        return sorted(self.times_ms)[int(share * len(self.times_ms))]


def is_one_slow_at_times(endpoint: int, now: float) -> bool:
    """Return whether an endpoint is slow: each in turn for 0.3 s of 3 s."""
    return int(now) % 3 == endpoint and now % 1 < 0.3


class LoadTest(unittest.TestCase):
    def play(self, is_slow: Callable[[int, float], bool], **changes: float) -> list[Load]:
        values = {"max_share": MAX_SHARE, "ratio": RETRY_RATIO, **changes}
        return [Load(is_slow=is_slow, seed=seed, **values) for seed in range(4)]

    def test_endpoint_that_is_slow_for_moments(self) -> None:
        """Guards against hedges that cost more load than allowed or cut no slow answers."""
        plain = self.play(is_one_slow_at_times, max_share=0.0)
        hedged = self.play(is_one_slow_at_times)
        for before, after in zip(plain, hedged, strict=True):
            self.assertLess(after.find_quantile(0.99), before.find_quantile(0.99))
            self.assertLessEqual(after.share, MAX_SHARE)
            self.assertGreater(after.hedges, 0)

    def test_all_endpoints_slow(self) -> None:
        """Guards against a second copy of every request to a service that is slow everywhere."""
        for load in self.play(lambda endpoint, now: now > 20.0):
            self.assertLessEqual(load.hedges, MAX_SHARE * len(load.times_ms) + MAX_SAVED_HEDGES)

    def test_no_budget(self) -> None:
        """Guards against hedges that come on top of the retry budget."""
        for load in self.play(is_one_slow_at_times, ratio=0.0):
            self.assertEqual(load.hedges, 0)


class PolicyTest(unittest.TestCase):
    def test_full_service_is_not_hedged(self) -> None:
        """Guards against a second copy that takes the slot of another caller's request."""
        policy = HedgingPolicy(max_share=1.0, max_load=0.5)
        policy.record_request(SERVICE)
        self.assertTrue(policy.may_hedge(SERVICE, running=8, slots=18))
        self.assertFalse(policy.may_hedge(SERVICE, running=9, slots=18))

    def test_hedges_leave_budget_to_retries(self) -> None:
        """Guards against hedges that use up what failed requests need."""
        budgets = ServiceRetryBudgets(ratio=RETRY_RATIO, window_s=10.0)
        for _ in range(200):
            budgets.record_request(SERVICE, 1.0)
        hedges = retries = 0
        while budgets.reserve_spare(SERVICE, 1.0) is not None:
            hedges += 1
        while budgets.reserve(SERVICE, 1.0) is not None:
            retries += 1
        self.assertGreater(hedges, 0)
        self.assertGreaterEqual(retries, hedges)

    def test_only_repeatable_requests_of_two_attempts(self) -> None:
        """Guards against a request that must run once and runs at two endpoints."""
        once = make_route(kind=RouteKind.NON_IDEMPOTENT, max_attempts=2)
        stream = make_route(kind=RouteKind.STREAM, max_attempts=2)
        single = make_route(max_attempts=1)
        self.assertEqual([allows_hedge(one) for one in (once, stream, single)], [False] * 3)
        resumable = make_route(kind=RouteKind.STREAM, is_resumable=True, max_attempts=2)
        self.assertTrue(allows_hedge(make_route()) and allows_hedge(resumable))


if __name__ == "__main__":
    unittest.main()
