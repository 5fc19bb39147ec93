"""What reaches a router when messages are lost, late or from a replica that lags."""

import json
import unittest
import zlib
from collections import Counter
from random import Random
from unittest import mock

from chivetrack.components.announcements.models import EndpointState
from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.distribution import publisher as publisher_module
from chivetrack.components.distribution.const import (
    FETCH_AGAIN_S,
    FOLLOW_EVERY_S,
    IN_FLIGHT_S,
)
from chivetrack.components.distribution.messages import (
    DocumentSent,
    EndpointLoad,
    FetchDocument,
    FetchElsewhere,
    Follow,
    PlacedPart,
    View,
)
from chivetrack.components.distribution.publisher import PacedDocument, Publisher
from chivetrack.components.distribution.subscriber import OwnNews, Subscriber
from chivetrack.components.document.patch import make_patch
from chivetrack.components.document.store import StoredDocument
from chivetrack.components.evacuation.models import Evacuations, ZoneState
from chivetrack.components.peers.frames import encode_frame
from chivetrack.core import SendMessage
from chivetrack.helpers.codec import pack
from tests.components.announcements.test_table import make_record


def make_body(routes: int, *, quota: int) -> bytes:
    """Return a document of some 100 bytes a route."""
    listed = [
        {"host": f"h{n}.example", "prefix": f"/{n * 7919 % 9973}/", "timeout": 1000 + n % 7}
        for n in range(routes)
    ]
    return json.dumps({"version": quota, "routes": listed, "quota": {"t1": quota}}).encode()


class Fixture:
    """A replica and a router that talk by hand."""

    def __init__(self, run: str = "run1") -> None:
        self.table = EndpointTable()
        self.taken: list[int] = []
        self.unreadable: list[int] = []
        self.bodies: dict[int, bytes] = {}
        self.publisher = self.make_publisher(run)
        self.own = EndpointTable()
        self.subscriber = Subscriber(
            router="r1",
            reads_at="r1:80",
            seeds=["p1"],
            table=self.own,
            take_document=self.take_document,
            note_unreadable=lambda version, detail: self.unreadable.append(version),
            get_news=lambda: OwnNews(loads=(), placed=()),
        )

    def make_publisher(self, run: str) -> Publisher:
        return Publisher(
            run=run,
            table=self.table,
            list_replicas=lambda: ("p1", "p2"),
        )

    def take_document(self, version: int, body: bytes) -> None:
        self.taken.append(version)
        self.bodies[version] = body

    def put(self, version: int, body: bytes = b"{}") -> None:
        stored = StoredDocument(version=version, payload=zlib.compress(body))
        self.publisher.history.note(stored)

    def follow(self, now: float) -> Follow:
        for effect in self.subscriber.wake(now=now):
            if isinstance(effect, SendMessage) and isinstance(effect.message, Follow):
                return effect.message
        raise AssertionError("no follow was due")

    def exchange_until(self, end: float) -> None:
        """Carry questions and answers as they come due."""
        for step in range(1, int(end / 0.1) + 1):
            for effect in self.subscriber.wake(now=step * 0.1):
                if isinstance(effect, SendMessage) and isinstance(effect.message, Follow):
                    (answer,) = self.publisher.take_follow(effect.message, now=step * 0.1)
                    assert isinstance(answer.message, View)
                    self.subscriber.take_view(effect.target, answer.message, now=step * 0.1)

    def exchange(self, now: float) -> list[SendMessage]:
        """Carry one question and its answer; return what the router sends on."""
        (answer,) = self.publisher.take_follow(self.follow(now), now=now)
        assert isinstance(answer.message, View)
        effects = self.subscriber.take_view("p1", answer.message, now=now)
        return [one for one in effects if isinstance(one, SendMessage)]


def count_bytes(paced: PacedDocument) -> int:
    """Return what a document takes on the replica's link; a referral takes next to none."""
    return len(paced.message.payload) if isinstance(paced.message, DocumentSent) else 0


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


class Watch:
    """A router of a large fleet and five replicas that answer at once unless frozen."""

    replicas = ("p1", "p2", "p3", "p4", "p5")

    def __init__(self, router: str) -> None:
        self.frozen: set[str] = set()
        self.subscriber = Subscriber(
            router=router,
            reads_at="",
            seeds=self.replicas[:3],
            table=EndpointTable(),
            take_document=lambda version, body: None,
            note_unreadable=lambda version, detail: None,
            get_news=lambda: OwnNews(loads=(), placed=()),
        )
        self.run(0.0, 3.0)

    def run(self, start: float, end: float) -> list[tuple[float, str]]:
        """Return when each replica was asked."""
        asked: list[tuple[float, str]] = []
        for step in range(round((end - start) * 20)):
            now = start + step * 0.05
            for effect in self.subscriber.wake(now=now):
                if isinstance(effect, SendMessage):
                    asked.append((now, effect.target))
                    if effect.target not in self.frozen:
                        self.subscriber.take_view(effect.target, self.make_view(), now=now)
        return asked

    def make_view(self) -> View:
        return View(
            run="run",
            base=0,
            change=0,
            version=0,
            records=(),
            replicas=self.replicas,
            silent=(),
            routers=195,
            has_loads=True,
        )


class DistributionTest(unittest.TestCase):
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

    def test_newer_document_is_fetched_once_and_again_after_a_loss(self) -> None:
        fixture = Fixture()
        fixture.put(2)
        (fetch,) = fixture.exchange(0.0)
        self.assertEqual(fetch.message, FetchDocument(held_version=0))
        view = fixture.publisher.publish(now=0.1)[0].message
        assert isinstance(view, View)
        self.assertEqual(fixture.subscriber.take_view("p2", view, now=0.1), [])
        again = fixture.subscriber.take_view("p2", view, now=FETCH_AGAIN_S + 0.01)
        self.assertEqual(len(again), 1)
        (sent,) = fixture.publisher.take_fetch("r1", FetchDocument(held_version=0), now=0.0)
        self.assertEqual(sent.message, DocumentSent(version=2, payload=zlib.compress(b"{}")))
        newest = FetchDocument(held_version=2)
        self.assertEqual(fixture.publisher.take_fetch("r1", newest, now=0.0), ())

    def test_change_of_one_object_travels_as_a_patch(self) -> None:
        """Operators change a quota each second; the document has 600 routes.

        Sent whole, packed to 15 kB, it filled the links of the replicas for 0.7 s each time,
        and loads and acknowledgements waited behind it.
        """
        fixture = Fixture()
        old = make_body(600, quota=1)
        new = make_body(600, quota=2)
        fixture.put(1, old)
        self.fetch(fixture, 0.0)
        fixture.put(2, new)
        sent = self.fetch(fixture, FOLLOW_EVERY_S)
        self.assertEqual((sent.version, sent.base_version), (2, 1))
        self.assertLess(len(sent.payload), 300)
        self.assertEqual(fixture.taken, [1, 2])
        self.assertEqual(fixture.bodies[2], new)

    def fetch(self, fixture: Fixture, now: float) -> DocumentSent:
        (ask,) = fixture.exchange(now)
        assert isinstance(ask.message, FetchDocument)
        (answer,) = fixture.publisher.take_fetch("r1", ask.message, now=now)
        assert isinstance(answer.message, DocumentSent)
        fixture.subscriber.take_document(answer.message)
        return answer.message

    def test_patch_that_does_not_fit_is_dropped_and_the_whole_asked_for(self) -> None:
        """A patch was spoiled, or made of other content under the version held here.

        What comes of it must never be in force; the next question is for the whole.
        """
        fixture = Fixture()
        fixture.put(1, make_body(600, quota=1))
        self.fetch(fixture, 0.0)
        spoiled = make_patch(make_body(601, quota=7), make_body(600, quota=9))
        fixture.subscriber.take_document(DocumentSent(version=2, payload=spoiled, base_version=1))
        self.assertEqual((fixture.taken, fixture.unreadable), ([1], [2]))
        fixture.put(2, make_body(600, quota=2))
        sent = self.fetch(fixture, FOLLOW_EVERY_S)
        self.assertEqual(sent.base_version, 0)
        self.assertEqual(fixture.bodies[2], make_body(600, quota=2))

    def test_patch_of_another_version_than_the_one_held_is_dropped(self) -> None:
        fixture = Fixture()
        fixture.put(3, make_body(10, quota=3))
        self.fetch(fixture, 0.0)
        patch = make_patch(make_body(10, quota=2), make_body(10, quota=4))
        fixture.subscriber.take_document(DocumentSent(version=4, payload=patch, base_version=2))
        self.assertEqual((fixture.taken, fixture.unreadable), ([3], []))

    def test_documents_leave_room_for_heartbeats(self) -> None:
        """1,300 routes are added; 17 routers ask a replica for 20 kB each at once.

        On 3 Mbit/s that is a second in which the leader's heartbeats come late, the others
        elect a new one, and operators get no answer. Sent one after the other, the last
        router still has its document well within the 2.5 s that it may take. Who asks
        again meanwhile is not sent a second copy.
        """
        fixture = Fixture()
        random = Random(1)
        fixture.put(1, random.randbytes(20_000))
        ask = FetchDocument(held_version=0)
        sent = []
        for now in (0.0, 0.2, 0.4):
            for number in range(17):
                sent += fixture.publisher.take_fetch(f"r{number}", ask, now=now)
        self.assertEqual(len(sent), 17)
        for start in sent:
            together = [one for one in sent if 0 <= one.delay_s - start.delay_s < 0.3]
            size = sum(count_bytes(one) for one in together)
            self.assertLess(size, 0.3 * 375_000)
        self.assertLess(sent[-1].delay_s, 1.5)
        again = fixture.publisher.take_fetch("r0", ask, now=3.0)
        self.assertEqual(len(again), 1)

    def test_routers_hand_a_large_document_on(self) -> None:
        """1,680 routes are added; 39 routers ask a replica for 24 kB each in one moment.

        On the replica's 4 Mbit/s, paced for heartbeats, that takes over three seconds, and
        the last routers answer 404 on routes that were acknowledged before. The first ones
        are served by the replica, the others by those, and nobody sends more than a dozen.
        """
        publisher = Fixture().publisher
        publisher.history.note(
            StoredDocument(version=1, payload=zlib.compress(Random(1).randbytes(24_000)))
        )
        ask = FetchDocument(held_version=0)
        has_at: dict[str, float] = {}
        handed_out: Counter[str] = Counter()
        for number in range(39):
            (paced,) = publisher.take_fetch(f"r{number}", ask, now=0.0)
            if isinstance(paced.message, DocumentSent):
                has_at[paced.target] = paced.delay_s + 24_000 / 300_000
                continue
            holder = paced.message.holder
            self.assertLessEqual(has_at[holder], paced.delay_s)
            handed_out[holder] += 1
            has_at[paced.target] = paced.delay_s + handed_out[holder] * 24_000 / 1_250_000
        self.assertEqual(len(has_at), 39)
        self.assertLess(max(has_at.values()), 1.0)
        self.assertLessEqual(max(handed_out.values()), 12)

    def test_router_that_got_nothing_from_another_is_served_by_the_replica(self) -> None:
        """The router that should hand the document on was killed meanwhile."""
        publisher = Fixture().publisher
        publisher.history.note(StoredDocument(version=1, payload=Random(1).randbytes(24_000)))
        ask = FetchDocument(held_version=0)
        referred = ""
        for number in range(8):
            (paced,) = publisher.take_fetch(f"r{number}", ask, now=0.0)
            if isinstance(paced.message, FetchElsewhere):
                referred = paced.target
        (again,) = publisher.take_fetch(referred, ask, now=1.2)
        self.assertIsInstance(again.message, DocumentSent)

    def test_router_hands_on_what_fits(self) -> None:
        """One router holds the version that the patch was made for, another an older one."""
        fixture = Fixture()
        old, new = make_body(600, quota=1), make_body(600, quota=2)
        fixture.put(1, old)
        self.fetch(fixture, 0.0)
        fixture.put(2, new)
        sent = self.fetch(fixture, FOLLOW_EVERY_S)
        asked = fixture.subscriber.answer_fetch
        self.assertEqual(
            asked("r2", FetchDocument(held_version=1)), [SendMessage(target="r2", message=sent)]
        )
        self.assertEqual(asked("r2", FetchDocument(held_version=2)), [])
        (effect,) = asked("r2", FetchDocument(held_version=0))
        assert isinstance(effect, SendMessage) and isinstance(effect.message, DocumentSent)
        self.assertEqual(effect.message.base_version, 0)
        self.assertEqual(zlib.decompress(effect.message.payload), new)
        referral = FetchElsewhere(version=2, holder="r2")
        self.assertEqual(fixture.subscriber.take_referral(referral), [])
        newer = FetchElsewhere(version=3, holder="r2")
        ask = FetchDocument(held_version=2)
        self.assertEqual(
            fixture.subscriber.take_referral(newer), [SendMessage(target="r2", message=ask)]
        )

    def test_routers_that_hand_out_a_version(self) -> None:
        """Only who is close, was heard lately and has the version is named."""
        publisher = Fixture().publisher
        for name, version, is_close in (("a", 5, True), ("b", 4, True), ("c", 5, False)):
            publisher.take_follow(
                Follow(
                    router=name,
                    run="",
                    change=0,
                    version=version,
                    is_close=is_close,
                    reads_at=f"{name}:80",
                ),
                now=0.0,
            )
        self.assertEqual(publisher.list_readers(5, now=0.5), ["a:80"])
        self.assertEqual(publisher.list_readers(5, now=60.0), [])

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

    def test_router_that_starts_is_told_what_was_sent_where(self) -> None:
        fixture = Fixture()
        placed = (PlacedPart(part="d:10000", endpoint_id="e1", age_s=1.0),)
        fixture.publisher.take_follow(make_close("r2", placed=placed), now=0.0)
        (answer,) = fixture.publisher.take_follow(make_close("r3"), now=20.0)
        view = answer.message
        assert isinstance(view, View)
        self.assertEqual(view.placed, (PlacedPart(part="d:10000", endpoint_id="e1", age_s=21.0),))
        again = make_close("r3", run=view.run, placed_change=view.placed_change)
        (answer,) = fixture.publisher.take_follow(again, now=20.3)
        assert isinstance(answer.message, View)
        self.assertEqual(answer.message.placed, ())
        (answer,) = fixture.publisher.take_follow(make_close("r4"), now=90.0)
        assert isinstance(answer.message, View)
        self.assertEqual(answer.message.placed, ())

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

    def test_configuration_comes_before_placements(self) -> None:
        """All instances lost power and start; 39 routers ask a replica for all that it has.

        Until a router has the configuration it refuses its callers, and what was sent where
        is of no use to it. It is told that once it says that it has the newest version.
        """
        fixture = Fixture()
        fixture.put(7)
        placed = (PlacedPart(part="d:10000", endpoint_id="e1", age_s=1.0),)
        fixture.publisher.take_follow(make_close("r2", placed=placed), now=0.0)
        told = []
        for version in (0, 6, 7):
            follow = make_close("r1", run="run1", version=version)
            (answer,) = fixture.publisher.take_follow(follow, now=0.3)
            assert isinstance(answer.message, View)
            told.append(len(answer.message.placed))
        self.assertEqual(told, [0, 0, 1])

    @mock.patch.object(publisher_module, "PLACED_IN_ROUND", 1200)
    def test_full_link_is_not_filled_further(self) -> None:
        """A replica's link is full, so its answers reach routers a second late.

        Each question still names the old state. Answered anew each time, the same news
        went out four times, the link filled up, and endpoints and operators got no answer.
        """
        fixture = Fixture()
        placed = tuple(
            PlacedPart(part=f"d{n}:5000", endpoint_id="e1", age_s=0.0) for n in range(900)
        )
        fixture.publisher.take_follow(make_close("r2", placed=placed), now=0.0)
        sent: list[int] = []
        for step in range(4):
            (answer,) = fixture.publisher.take_follow(make_close("r1"), now=step * 0.2)
            assert isinstance(answer.message, View)
            sent.append(len(answer.message.placed))
        limit = 1200 // 2
        self.assertEqual(sent, [limit, 900 - limit, 0, 0])
        (answer,) = fixture.publisher.take_follow(make_close("r1"), now=2.0)
        assert isinstance(answer.message, View)
        self.assertEqual(len(answer.message.placed), limit)

    def test_hundreds_of_routers_are_told_what_was_sent_where_in_time(self) -> None:
        """195 routers place 220 parts of prompts a second at engines that lacked them.

        With thirty parts in each answer a router fell behind by seconds and had long
        prompts read again that engines had cached, 0.46 k tokens for each request. Each
        answer brings all that is new, and the placements to 39 routers take less than half
        of a link of 4 Mbit/s.
        """
        random = Random(1)
        names = [
            f"{random.getrandbits(32):08x}:{random.randrange(400, 12_000)}" for _ in range(999)
        ]
        publisher = Fixture().publisher
        sent_bytes = 0
        changes = [0] * 39
        for step in range(20):
            now = step * 0.3
            for number in range(39):
                placed: tuple[PlacedPart, ...] = ()
                if number == step:
                    placed = tuple(
                        PlacedPart(
                            part=random.choice(names),
                            endpoint_id=f"i-{random.randrange(59):010x}",
                            age_s=round(random.random(), 1),
                        )
                        for _ in range(66)
                    )
                follow = Follow(
                    router=f"r{number}",
                    run="run1",
                    change=0,
                    version=0,
                    placed=placed,
                    is_close=True,
                    placed_change=changes[number],
                )
                (answer,) = publisher.take_follow(follow, now=now)
                assert isinstance(answer.message, View)
                changes[number] = answer.message.placed_change
                sent_bytes += len(encode_frame([pack(answer.message)]))
                self.assertEqual(changes[number], publisher.placements.change)
        self.assertLess(sent_bytes / 6.0, 262_000)

    def test_start_asks_few_and_then_all(self) -> None:
        """All instances start at once; each router would connect to every replica.

        The replicas have to elect a leader in that moment. Each router asks two of them
        first, not all routers the same ones, and every replica a second later.
        """
        asked: set[str] = set()
        for number in range(9):
            subscriber = Subscriber(
                router=f"r{number}",
                reads_at="",
                seeds=["p1", "p2", "p3"],
                table=EndpointTable(),
                take_document=lambda version, body: None,
                note_unreadable=lambda version, detail: None,
                get_news=lambda: OwnNews(loads=(), placed=()),
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

    def test_loads_are_those_of_the_other_routers(self) -> None:
        """Three routers are close to one replica, a fourth one to another.

        Each is told the sum of all others and never its own share, which it knows better.
        """
        fixture, other = Fixture("run1"), Fixture("run2")
        for router, running in (("r1", 3), ("r2", 4), ("r3", 5)):
            fixture.publisher.take_follow(make_close(router, running), now=0.0)
        other.publisher.take_follow(make_close("r4", 6), now=0.0)
        fixture.publisher.take_exchange("p2", other.publisher.make_exchange(now=0.1), now=0.1)
        (answer,) = fixture.publisher.take_follow(make_close("r2", 4), now=0.2)
        view = answer.message
        assert isinstance(view, View)
        self.assertEqual(view.loads, (EndpointLoad(endpoint_id="e1", running=14, tokens=30),))
        self.assertEqual(view.routers, 4)
        (answer,) = fixture.publisher.take_follow(make_close("r2", 4), now=9.0)
        assert isinstance(answer.message, View)
        self.assertEqual((answer.message.loads, answer.message.routers), ((), 1))

    def test_placements_reach_routers_of_other_replicas_once(self) -> None:
        fixture, other = Fixture("run1"), Fixture("run2")
        placed = (PlacedPart(part="d:10000", endpoint_id="e1", age_s=0.0),)
        fixture.publisher.take_follow(make_close("r1", placed=placed), now=0.0)
        other.publisher.take_exchange("p1", fixture.publisher.make_exchange(now=0.1), now=0.1)
        (answer,) = other.publisher.take_follow(make_close("r4"), now=0.2)
        assert isinstance(answer.message, View)
        self.assertEqual([one.part for one in answer.message.placed], ["d:10000"])
        self.assertEqual(other.publisher.make_exchange(now=0.3).placed, ())
        self.assertEqual(fixture.publisher.make_exchange(now=0.3).placed, ())

    def test_silent_close_replica_is_left(self) -> None:
        fixture = Fixture()
        fixture.exchange(0.0)
        targets = []
        for step in range(1, 12):
            for effect in fixture.subscriber.wake(now=step * 0.3):
                follow = effect.message if isinstance(effect, SendMessage) else None
                if isinstance(follow, Follow) and follow.is_close:
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
        fixture.subscriber.take_view("p1", view, now=0.0)
        questions = 0
        for step in range(1000):
            now = 2.0 + step * 0.01
            fixture.subscriber.take_view("p1", view, now=now)
            effects = fixture.subscriber.wake(now=now)
            questions += sum(1 for one in effects if isinstance(one, SendMessage))
        self.assertLess(questions * 87 / 5 / 10.0, 125)


def make_close(
    router: str,
    running: int = 0,
    *,
    run: str = "",
    version: int = 0,
    placed: tuple[PlacedPart, ...] = (),
    placed_change: int = 0,
) -> Follow:
    """Return the word of a router to the replica that it is close to."""
    loads = (EndpointLoad(endpoint_id="e1", running=running, tokens=10),) if running else ()
    return Follow(
        router=router,
        run=run,
        change=0,
        version=version,
        loads=loads,
        placed=placed,
        is_close=True,
        placed_change=placed_change,
    )


if __name__ == "__main__":
    unittest.main()
