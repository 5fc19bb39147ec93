"""How a new configuration reaches routers: as a patch, paced, from each other."""

import unittest
import zlib
from collections import Counter
from random import Random

import msgspec

from chivetrack.components.distribution.const import (
    FETCH_AGAIN_S,
    FOLLOW_EVERY_S,
)
from chivetrack.components.distribution.messages import (
    DocumentSent,
    FetchDocument,
    FetchElsewhere,
    Follow,
    View,
)
from chivetrack.components.document.patch import make_patch
from chivetrack.components.document.store import StoredDocument
from chivetrack.core import SendMessage
from tests.components.distribution.world import Fixture, count_bytes, make_body, make_close


class DocumentTest(unittest.TestCase):
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
        publisher.history.set_current(
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
        publisher.history.set_current(
            StoredDocument(version=1, payload=Random(1).randbytes(24_000))
        )
        ask = FetchDocument(held_version=0)
        referred = ""
        for number in range(8):
            (paced,) = publisher.take_fetch(f"r{number}", ask, now=0.0)
            if isinstance(paced.message, FetchElsewhere):
                referred = paced.target
        (again,) = publisher.take_fetch(referred, ask, now=1.2)
        self.assertIsInstance(again.message, DocumentSent)

    def refer(self, *, is_stopping: bool, version: int) -> str:
        """Return to whom routers are referred once ``r0``, which had the document, says this."""
        fixture = Fixture()
        fixture.put(1, make_body(1600, quota=1))
        publisher = fixture.publisher
        publisher.take_follow(make_close("r0", version=1), now=0.0)
        word = make_close("r0", version=version, is_stopping=is_stopping)
        publisher.take_follow(word, now=5.0)
        ask = FetchDocument(held_version=0)
        for number in range(1, 12):
            (paced,) = publisher.take_fetch(f"r{number}", ask, now=5.0)
            if isinstance(paced.message, FetchElsewhere):
                return paced.message.holder
        return ""

    def test_routers_that_can_not_hand_on_are_not_named(self) -> None:
        """Guards against a document asked of a router that has restarted, or is gone."""
        self.assertEqual(self.refer(is_stopping=False, version=1), "r0")
        self.assertNotEqual(self.refer(is_stopping=False, version=0), "r0")
        self.assertNotEqual(self.refer(is_stopping=True, version=1), "r0")

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
        stopping = make_close("a", version=5, is_stopping=True)
        publisher.take_follow(msgspec.structs.replace(stopping, reads_at="a:80"), now=1.0)
        self.assertEqual(publisher.list_readers(5, now=1.0), [])


if __name__ == "__main__":
    unittest.main()
