"""Which replicas a router asks, and how often."""

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
    def test_start_asks_few_and_then_all(self) -> None:
        """All instances start at once; each router would connect to every replica.

        The replicas have to elect a leader in that moment. Each router asks two of them
        first, not all routers the same ones, and every replica a second later.
        """
        asked: set[str] = set()
        for number in range(9):
            subscriber = Subscriber(
                router=f"r{number}",
                document_address="",
                seeds=["p1", "p2", "p3"],
                table=EndpointTable(),
                take_document=lambda version, body: None,
                on_unreadable=lambda version, detail: None,
                on_bad_update=lambda replica, detail: None,
                get_news=lambda: RouterReport(loads=(), placed=()),
            )
            first = {e.target for e in subscriber.wake(now=0.0) if isinstance(e, SendMessage)}
            later = {e.target for e in subscriber.wake(now=2.0) if isinstance(e, SendMessage)}
            self.assertEqual(len(first), 2)
            self.assertEqual(later, {"p1", "p2", "p3"})
            asked |= first
        self.assertEqual(asked, {"p1", "p2", "p3"})

    def test_two_majorities_meet_in_a_large_fleet(self) -> None:
        """An endpoint drains; a majority of five replicas knows it and acknowledges.

        195 routers that ask all replicas take half of a core of each. Each asks the close
        one and so many others that one of them is among those that know.
        """
        asked_by_all: list[str] = []
        for number in range(195):
            watch = Watch(f"r{number}")
            asked = {name for _, name in watch.run(3.0, 6.0)}
            self.assertEqual(len(asked), 3)
            asked_by_all += asked
        for name in watch.replicas:
            self.assertAlmostEqual(asked_by_all.count(name), 195 * 3 / 5, delta=35)

    def test_silent_replica_is_replaced_and_found_again(self) -> None:
        """One of the replicas that a router follows freezes, and wakes again seconds later.

        Another one takes its part within two seconds, so that a departure acknowledged by
        those that are left reaches the router in time. Now and then the frozen one is
        asked, and once it answers it is followed as before.
        """
        watch = Watch("r1")
        before = {name for _, name in watch.run(3.0, 6.0)}
        for frozen in sorted(before):
            watch.frozen = {frozen}
            watch.run(6.0, 8.0)
            answered = {name for _, name in watch.run(8.0, 12.0) if name != frozen}
            self.assertEqual(len(answered), 3, frozen)
            asked = [name for _, name in watch.run(12.0, 18.0)]
            self.assertLessEqual(asked.count(frozen), 2)
            watch.frozen = set()
            watch.run(18.0, 22.0)
            self.assertEqual({name for _, name in watch.run(22.0, 25.0)}, before)
            watch = Watch("r1")
            watch.run(0.0, 6.0)

    def test_silent_close_replica_is_left(self) -> None:
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

    def test_large_fleet_asks_less_often(self) -> None:
        """87 routers ask 5 replicas with half a core and 3 Mbit/s each.

        Asked by all every 0.4 s, the replicas answered nobody in time: two of three calls
        of endpoints failed. Each gets some 120 questions a second this way.
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
        questions = 0
        for step in range(1000):
            now = 2.0 + step * 0.01
            fixture.subscriber.handle_view("p1", view, now=now)
            effects = fixture.subscriber.wake(now=now)
            questions += sum(1 for one in effects if isinstance(one, SendMessage))
        self.assertLess(questions * 87 / 5 / 10.0, 125)


if __name__ == "__main__":
    unittest.main()
