"""What reaches a router when messages are lost, late or from a replica that lags."""

import unittest
import zlib

from chivetrack.components.announcements.directory import EndpointDirectory
from chivetrack.components.announcements.models import EndpointState
from chivetrack.components.announcements.table import FORGET_AFTER_S, EndpointTable
from chivetrack.components.distribution.const import (
    FOLLOW_EVERY_S,
    IN_FLIGHT_S,
)
from chivetrack.components.distribution.messages import (
    DocumentSent,
    Exchange,
    Follow,
    View,
)
from chivetrack.components.distribution.subscriber import OwnNews
from chivetrack.components.evacuation.models import Evacuations, ZoneState
from tests.components.announcements.test_packing import make_fleet
from tests.components.announcements.test_table import make_record
from tests.components.distribution.world import Fixture, make_close

HEARTBEAT_S = 1.2


class UnchangedEndpointsTest(unittest.TestCase):
    def simulate_heartbeats(
        self, fixture: Fixture, directory: EndpointDirectory, duration_s: float
    ) -> None:
        """Send heartbeats of five endpoints; after each round the router polls and cleans up."""
        for step in range(round(duration_s / HEARTBEAT_S)):
            now = step * HEARTBEAT_S
            for number in range(5):
                fixture.table.merge(make_record(step + 1, endpoint_id=f"e{number}"), now=now)
            fixture.exchange(now)
            directory.apply_changes(now=now)
            directory.table.remove_expired(now)

    def test_unchanged_endpoints_are_kept(self) -> None:
        """Guards against routers dropping endpoints unchanged for over ``FORGET_AFTER_S``."""
        directory = EndpointDirectory()
        fixture = Fixture(own=directory.table)
        fixture.publisher.list_replicas = lambda: ("p1",)
        end_s = 2 * FORGET_AFTER_S
        self.simulate_heartbeats(fixture, directory, end_s)
        fixture.table.merge(make_record(1, endpoint_id="new"), now=end_s)
        fixture.exchange(end_s)
        directory.apply_changes(now=end_s)
        names = {record.endpoint_id for record in directory.list_ready("llm")}
        self.assertEqual(names, {"e0", "e1", "e2", "e3", "e4", "new"})


class NewsTest(unittest.TestCase):
    def test_push_that_was_lost_is_made_good(self) -> None:
        """An endpoint drains; the push to one router is lost on its way.

        The replica believes that the router has it. The router's next question says up to
        which change it really is. Once the push can't be on its way any more, the answer
        begins there, well within the 2 s that a drain may take.
        """
        fixture = Fixture()
        fixture.table.merge(make_record(1), now=0.0)
        fixture.exchange(0.0)
        fixture.table.merge(make_record(2, state=EndpointState.DRAINING), now=0.1)
        (lost,) = fixture.publisher.publish(now=0.1)
        assert isinstance(lost.message, View)
        self.assertEqual(len(lost.message.records), 1)
        fixture.exchange_until(0.1 + IN_FLIGHT_S + FOLLOW_EVERY_S)
        record = fixture.own.find("e1")
        assert record is not None
        self.assertIs(record.state, EndpointState.DRAINING)

    def test_later_push_does_not_hide_a_lost_one(self) -> None:
        """Two endpoints change; the first push is lost and the second arrives.

        Did the router take the second one's number as its own, it would never ask for the
        first change again.
        """
        fixture = Fixture()
        fixture.exchange(0.0)
        fixture.table.merge(make_record(1), now=0.1)
        fixture.publisher.publish(now=0.1)
        fixture.table.merge(make_record(1, endpoint_id="e2"), now=0.2)
        (second,) = fixture.publisher.publish(now=0.2)
        assert isinstance(second.message, View)
        fixture.subscriber.take_view("p1", second.message, now=0.2)
        self.assertIsNone(fixture.own.find("e1"))
        fixture.exchange_until(0.2 + IN_FLIGHT_S + FOLLOW_EVERY_S)
        self.assertIsNotNone(fixture.own.find("e1"))

    def test_what_routers_were_sent_is_counted(self) -> None:
        """Guards against a full link of which nobody can say what it carries."""
        fixture = Fixture()
        for record in make_fleet(400):
            fixture.table.merge(record, now=0.0)
        fixture.publisher.take_follow(make_close("r1"), now=0.0)
        self.assertEqual(fixture.publisher.take_counts()["waiting"], 1)
        fixture.publisher.send_round(now=0.0)
        counts = fixture.publisher.take_counts()
        self.assertEqual((counts["tables"], counts["waiting"], counts["resent"]), (1, 0, 0))
        self.assertGreater(counts["table_bytes"], 1000)
        self.assertEqual(fixture.publisher.take_counts()["tables"], 0)

    def test_routers_are_told_how_many_of_them_stop(self) -> None:
        """Guards against callers sent from one stopping router to another that stops too."""
        fixture = Fixture()
        fixture.exchange(0.0)
        fixture.news = OwnNews(loads=(), placed=(), is_stopping=True)
        other = Exchange(routers=3, loads=(), placed=(), stopping=2)
        fixture.publisher.take_exchange("p2", other, now=1.0)
        (answer,) = fixture.publisher.take_follow(fixture.follow(1.0), now=1.0)
        assert isinstance(answer.message, View)
        self.assertEqual((answer.message.routers, answer.message.stopping), (4, 3))
        self.assertEqual(fixture.publisher.make_exchange(now=1.0).stopping, 1)

    def test_restarted_replica_numbers_anew(self) -> None:
        fixture = Fixture()
        for number in range(5):
            fixture.table.merge(make_record(1, endpoint_id=f"e{number}"), now=0.0)
        fixture.exchange(0.0)
        fixture.table = EndpointTable()
        fixture.table.merge(make_record(1, endpoint_id="new"), now=0.2)
        fixture.publisher = fixture.make_publisher("run2")
        fixture.exchange(FOLLOW_EVERY_S)
        self.assertIsNotNone(fixture.own.find("new"))

    def test_lagging_replica_takes_no_router_back(self) -> None:
        """A replica that was cut off sends the document of before the cut.

        The router has a newer one in force. Requests that a newer route served would get
        404 again; a lower version is never taken.
        """
        fixture = Fixture()
        for version in (5, 3):
            sent = DocumentSent(version=version, payload=zlib.compress(b"{}"))
            fixture.subscriber.take_document(sent)
        self.assertEqual(fixture.taken, [5])
        fixture.put(3)
        self.assertEqual(fixture.exchange(0.0), [])

    def test_change_is_pushed_by_one_replica_each_in_a_large_fleet(self) -> None:
        """Five replicas pushed each change to all of 87 routers, 35 kB of each link.

        A router gets it from the replica that it is close to, and from any other with its
        next question.
        """
        fixture = Fixture()
        for number in range(87):
            ask = Follow(router=f"r{number}", run="", change=0, version=0, is_close=number % 5 == 0)
            fixture.publisher.take_follow(ask, now=0.0)
        fixture.table.merge(make_record(1, endpoint_id="new"), now=0.1)
        pushed = {one.target for one in fixture.publisher.publish(now=0.1)}
        self.assertEqual(pushed, {f"r{number}" for number in range(0, 87, 5)})
        (answer,) = fixture.publisher.take_follow(
            Follow(router="r1", run="run1", change=0, version=0), now=1.0
        )
        assert isinstance(answer.message, View)
        self.assertEqual([one.endpoint_id for one in answer.message.records], ["new"])

    def test_replica_that_starts_elects_before_it_answers(self) -> None:
        """All instances lost power; hundreds of routers ask while replicas elect a leader.

        Votes waited behind the answers, for longer than candidates wait before they try
        again. Routers are answered once there is a leader, or after a second: a replica that
        is cut off from the others still tells of endpoints and loads.
        """
        publisher = Fixture().publisher
        publisher.started_at = 10.0
        follow = make_close("r1")
        for now, knows_leader, answers in (
            (10.1, False, 0),
            (10.3, True, 1),
            (10.9, False, 0),
            (11.1, False, 1),
        ):
            given = publisher.take_follow(follow, now=now, knows_leader=knows_leader)
            self.assertEqual(len(given), answers, now)


class ZoneOrderTest(unittest.TestCase):
    def test_order_goes_out_with_every_word(self) -> None:
        """A router that has missed the push learns of an evacuated zone with its next answer."""
        fixture = Fixture()
        fixture.exchange(0.0)
        zones = (ZoneState(zone="z1", is_evacuated=True, revision=4, since=0.0),)
        fixture.publisher.evacuations = Evacuations(zones=zones)
        for sent in (
            *fixture.publisher.publish(now=0.1),
            *fixture.publisher.take_follow(fixture.follow(0.4), now=0.4),
        ):
            assert isinstance(sent.message, View)
            self.assertEqual(sent.message.evacuations.list_evacuated(), ("z1",))

    def test_order_reaches_each_of_200_routers_at_once(self) -> None:
        """A zone is evacuated; five replicas apply the order within a heartbeat.

        Each pushes it to the routers that are close to it, so that nobody waits for the
        next question, which many routers ask rarely.
        """
        zones = (ZoneState(zone="z1", is_evacuated=True, revision=4, since=0.0),)
        told: set[str] = set()
        for replica in range(5):
            fixture = Fixture()
            for number in range(200):
                is_close = number % 5 == replica
                ask = Follow(router=f"r{number}", run="", change=0, version=0, is_close=is_close)
                fixture.publisher.take_follow(ask, now=0.0)
            fixture.publisher.evacuations = Evacuations(zones=zones)
            for sent in fixture.publisher.publish(now=0.1):
                assert isinstance(sent.message, View)
                self.assertEqual(sent.message.evacuations.list_evacuated(), ("z1",))
                told.add(sent.target)
        self.assertEqual(len(told), 200)


if __name__ == "__main__":
    unittest.main()
