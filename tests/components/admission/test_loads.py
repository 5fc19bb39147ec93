"""Tests of the admission to a plain service under the loads that it answers.

Each plays 67 or 380 routers before a few endpoints of six slots, with callers that return once
when they were refused, on the same seeds with the scheduler and with counts that routers exchange.
"""

import unittest
from collections.abc import Callable
from typing import Any

from tests.components.admission.model import Caller, PlainService

SEEDS = range(3)
# Largest share of requests that may be late where there is room for all.
MAX_LATE = 0.05
# Largest share of arrivals that full endpoints may reject.
MAX_REJECTED = 0.05
# No kind may be served this much less often than a less urgent one.
MAX_RANK_GAP = 0.05


def play(callers: list[Caller], *, has_scheduler: bool, **changes: Any) -> list[PlainService]:
    """Play a load on all seeds."""
    return [
        PlainService(callers=callers, has_scheduler=has_scheduler, seed=seed, **changes).play()
        for seed in SEEDS
    ]


def find_mean(plays: list[PlainService], read: Callable[[PlainService], float]) -> float:
    """Return the mean of a figure over plays."""
    return sum(read(one) for one in plays) / len(plays)


def find_in_time(plays: list[PlainService], **which: Any) -> float:
    """Return the share of requests that were answered within the latency target."""
    return find_mean(plays, lambda one: one.share(one.in_time, **which))


def find_served(plays: list[PlainService], **which: Any) -> float:
    """Return the share of requests that were answered."""
    return find_mean(plays, lambda one: one.share(one.served, **which))


def find_rejected(plays: list[PlainService]) -> float:
    """Return the share of the arrivals at endpoints that were rejected."""
    return find_mean(plays, lambda one: one.counts["rejected"] / one.counts["arrivals"])


class LoadTest(unittest.TestCase):
    def check_better(self, callers: list[Caller], **changes: Any) -> list[PlainService]:
        """Check that slots serve more in time than counts, and that no endpoint rejects."""
        counted = play(callers, has_scheduler=False, **changes)
        scheduled = play(callers, has_scheduler=True, **changes)
        self.assertGreaterEqual(find_in_time(scheduled), find_in_time(counted))
        self.assertLessEqual(find_rejected(scheduled), MAX_REJECTED)
        return scheduled

    def test_endpoint_that_is_taken_away(self) -> None:
        """Guards against routers that all fill the endpoint which was idle a while ago."""
        scheduled = self.check_better([Caller(rate=115)], slowness=(1.0, 1.0))
        self.assertGreaterEqual(find_in_time(scheduled), 1 - MAX_LATE)

    def test_more_than_all_endpoints_can_serve(self) -> None:
        """Guards against queues in which everything is answered late."""
        room = 2 * 6 / 0.09
        scheduled = self.check_better([Caller(rate=150)], slowness=(1.0, 1.0))
        self.assertGreaterEqual(find_in_time(scheduled) * 150, 0.85 * room)

    def test_endpoints_of_different_speed(self) -> None:
        """Guards against a slow endpoint that gets as much as the fast ones."""
        scheduled = self.check_better([Caller(rate=100)], slowness=(1.0, 1.0, 7.5))
        self.assertGreaterEqual(find_in_time(scheduled), 1 - MAX_LATE)

    def test_380_routers(self) -> None:
        """Guards against a decision that holds for few routers only."""
        self.check_better([Caller(rate=115)], slowness=(1.0, 1.0), routers=380, seconds=10.0)

    def test_workspace_that_sends_many_times_its_usual(self) -> None:
        """Guards against a surge of one workspace that takes the slots of all others."""
        others = [Caller(workspace=f"w{n}", rate=6) for n in range(10)]
        hot = Caller(workspace="hot", rate=40, surge=(3.0, 14.0, 6.0))
        scheduled = self.check_better([*others, hot])
        for one in others:
            in_time = find_in_time(scheduled, workspace=one.workspace)
            self.assertGreaterEqual(in_time, 1 - MAX_LATE)
        self.assertGreaterEqual(find_served(scheduled, workspace="hot"), 0.25)

    def test_surges_of_two_ranks(self) -> None:
        """Guards against the least urgent requests that take the room of the most urgent ones.

        Neither may the urgent ones starve the others, as with strict priority.
        """
        urgent = Caller(rank=0, rate=60, surge=(5.0, 9.0, 1.8))
        deferrable = Caller(rank=2, rate=60, surge=(4.0, 10.0, 2.5))
        scheduled = self.check_better([urgent, deferrable])
        first, last = (find_served(scheduled, rank=rank) for rank in (0, 2))
        self.assertGreaterEqual(first, last - MAX_RANK_GAP)
        self.assertGreaterEqual(last, 0.25 * find_served(scheduled))

    def test_scheduler_that_forgets_all(self) -> None:
        """Guards against a change of leader after which slots are granted twice for long."""
        self.check_better([Caller(rate=115)], slowness=(1.0, 1.0), restart_at=8.0)


if __name__ == "__main__":
    unittest.main()
