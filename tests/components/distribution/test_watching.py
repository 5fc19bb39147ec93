"""Which replicas a router polls, and how often."""

import unittest

from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.distribution.messages import (
    Follow,
    View,
)
from chivetrack.components.distribution.subscriber import RouterReport, Subscriber
from chivetrack.core import SendMessage
from tests.components.distribution.world import Fixture, Watch


class WatchingTest(unittest.TestCase):
    def test_starting_router_polls_few_replicas_and_then_all(self) -> None:
        """Guards against an election delayed by connections from all routers at a common start.

        Each router polls two replicas first, different routers different ones, and every replica a
        second later.
        """
        polled: set[str] = set()
        for number in range(9):
            subscriber = Subscriber(
                router=f"r{number}",
                document_address="",
                seeds=["p1", "p2", "p3"],
                table=EndpointTable(),
                apply_document=lambda version, body: None,
                on_unreadable=lambda version, detail: None,
                on_bad_update=lambda replica, detail: None,
                get_report=lambda: RouterReport(loads=(), placed=()),
            )
            first = {e.target for e in subscriber.wake(now=0.0) if isinstance(e, SendMessage)}
            later = {e.target for e in subscriber.wake(now=2.0) if isinstance(e, SendMessage)}
            self.assertEqual(len(first), 2)
            self.assertEqual(later, {"p1", "p2", "p3"})
            polled |= first
        self.assertEqual(polled, {"p1", "p2", "p3"})

    def test_two_majorities_overlap_in_a_large_fleet(self) -> None:
        """Guards against a router that misses a drain acknowledged by a majority of five replicas.

        195 routers that poll all replicas take half of a core of each. So each router polls its
        assigned replica and enough others for a majority, which includes a replica that knows of
        the drain.
        """
        polled_by_all: list[str] = []
        for number in range(195):
            watch = Watch(f"r{number}")
            polled = {name for _, name in watch.run(3.0, 6.0)}
            self.assertEqual(len(polled), 3)
            polled_by_all += polled
        for name in watch.replicas:
            self.assertAlmostEqual(polled_by_all.count(name), 195 * 3 / 5, delta=35)

    def test_silent_replica_is_replaced_and_found_again(self) -> None:
        """Guards against a missed departure when a replica that a router polls freezes for seconds.

        Another replica replaces it within two seconds, so that a departure acknowledged by the
        remaining replicas reaches the router in time. The frozen replica is probed, and polled as
        before once it answers.
        """
        watch = Watch("r1")
        before = {name for _, name in watch.run(3.0, 6.0)}
        for frozen in sorted(before):
            watch.frozen = {frozen}
            watch.run(6.0, 8.0)
            answered = {name for _, name in watch.run(8.0, 12.0) if name != frozen}
            self.assertEqual(len(answered), 3, frozen)
            polled = [name for _, name in watch.run(12.0, 18.0)]
            self.assertLessEqual(polled.count(frozen), 2)
            watch.frozen = set()
            watch.run(18.0, 22.0)
            self.assertEqual({name for _, name in watch.run(22.0, 25.0)}, before)
            watch = Watch("r1")
            watch.run(0.0, 6.0)

    def test_silent_assigned_replica_is_replaced(self) -> None:
        fixture = Fixture()
        fixture.exchange(0.0)
        targets = []
        for step in range(1, 12):
            for effect in fixture.subscriber.wake(now=step * 0.3):
                follow = effect.message if isinstance(effect, SendMessage) else None
                if isinstance(follow, Follow) and follow.is_assigned:
                    targets.append(effect.target)
        self.assertEqual(targets[:3], ["p1"] * 3)
        self.assertIn("p2", targets[3:])

    def test_large_fleet_polls_less_often(self) -> None:
        """Guards against replicas overloaded by the polls of 87 routers.

        Five replicas with half a core and 3 Mbit/s each, polled by all routers every 0.4 s,
        answered nobody in time: two of three calls of endpoints failed. With the longer interval,
        each replica gets about 120 polls a second.
        """
        fixture = Fixture()
        view = View(
            run="x",
            base=0,
            change=0,
            version=0,
            records=(),
            replicas=("p1", "p2", "p3", "p4", "p5"),
            silent=(),
            has_loads=True,
            routers=87,
        )
        fixture.subscriber.handle_view("p1", view, now=0.0)
        polls = 0
        for step in range(1000):
            now = 2.0 + step * 0.01
            fixture.subscriber.handle_view("p1", view, now=now)
            effects = fixture.subscriber.wake(now=now)
            polls += sum(1 for effect in effects if isinstance(effect, SendMessage))
        self.assertLess(polls * 87 / 5 / 10.0, 125)


if __name__ == "__main__":
    unittest.main()
