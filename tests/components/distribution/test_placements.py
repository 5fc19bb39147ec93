"""What routers learn about each other: loads and placements of prompt parts."""

import unittest
from random import Random
from unittest import mock

from chivetrack.components.announcements.packing import pack_records
from chivetrack.components.distribution import publisher as publisher_module
from chivetrack.components.distribution.const import BULK_BYTES_PER_S, MAX_SEND_AHEAD_S
from chivetrack.components.distribution.messages import (
    EndpointLoad,
    EndpointUpdate,
    Follow,
    PlacedPart,
    View,
)
from chivetrack.components.peers.frames import encode_frame
from chivetrack.helpers.codec import pack
from tests.components.announcements.test_packing import make_fleet
from tests.components.distribution.world import Fixture, make_assigned_follow


class PlacementTest(unittest.TestCase):
    def test_starting_router_gets_placements(self) -> None:
        fixture = Fixture()
        placed = (PlacedPart(part="d:10000", endpoint_id="e1", age_s=1.0),)
        fixture.publisher.handle_follow(make_assigned_follow("r2", placed=placed), now=0.0)
        (answer,) = fixture.publisher.handle_follow(make_assigned_follow("r3"), now=20.0)
        view = answer.message
        assert isinstance(view, View)
        self.assertEqual(view.placed, (PlacedPart(part="d:10000", endpoint_id="e1", age_s=21.0),))
        again = make_assigned_follow("r3", run=view.run, placed_change=view.placed_change)
        (answer,) = fixture.publisher.handle_follow(again, now=20.3)
        assert isinstance(answer.message, View)
        self.assertEqual(answer.message.placed, ())
        (answer,) = fixture.publisher.handle_follow(make_assigned_follow("r4"), now=90.0)
        assert isinstance(answer.message, View)
        self.assertEqual(answer.message.placed, ())

    def test_endpoints_are_sent_before_placements(self) -> None:
        """Guards against placements that a router drops because it gets the endpoints later."""
        fixture = Fixture()
        for record in make_fleet(400):
            fixture.table.merge(record, now=0.0)
        placed = (PlacedPart(part="d:10000", endpoint_id="e1", age_s=1.0),)
        fixture.publisher.handle_follow(make_assigned_follow("r2", placed=placed), now=0.0)
        received = []
        for change in (0, 0, fixture.table.change):
            follow = make_assigned_follow("r1", run="run1", change=change)
            (answer,) = fixture.publisher.handle_follow(follow, now=0.3)
            fixture.publisher.send_round(now=0.3)
            assert isinstance(answer.message, View)
            received.append((len(answer.message.placed), answer.message.placed_change))
        self.assertEqual(received, [(0, 0), (0, 0), (1, 1)])

    def test_configuration_is_sent_before_placements(self) -> None:
        """Guards against placements that delay the configuration after a power loss.

        39 routers request everything from a replica. Until a router has the configuration it
        refuses its callers and has no use for placements, so it gets them once it reports the
        newest version.
        """
        fixture = Fixture()
        fixture.put(7)
        placed = (PlacedPart(part="d:10000", endpoint_id="e1", age_s=1.0),)
        fixture.publisher.handle_follow(make_assigned_follow("r2", placed=placed), now=0.0)
        received = []
        for version in (0, 6, 7):
            follow = make_assigned_follow("r1", run="run1", version=version)
            (answer,) = fixture.publisher.handle_follow(follow, now=0.3)
            assert isinstance(answer.message, View)
            received.append(len(answer.message.placed))
        self.assertEqual(received, [0, 0, 1])

    @mock.patch.object(publisher_module, "PLACEMENTS_PER_ROUND", 1200)
    def test_full_link_is_not_filled_further(self) -> None:
        """Guards against a full link that repeated answers keep full.

        When the answers of a replica arrive a second late, each poll still names the old state.
        Answered anew each time, the same placements were sent four times, and endpoints and
        operators got no answer.
        """
        fixture = Fixture()
        placed = tuple(
            PlacedPart(part=f"d{n}:5000", endpoint_id="e1", age_s=0.0) for n in range(900)
        )
        fixture.publisher.handle_follow(make_assigned_follow("r2", placed=placed), now=0.0)
        sent: list[int] = []
        for step in range(4):
            (answer,) = fixture.publisher.handle_follow(make_assigned_follow("r1"), now=step * 0.2)
            assert isinstance(answer.message, View)
            sent.append(len(answer.message.placed))
        limit = 1200 // 2
        self.assertEqual(sent, [limit, 900 - limit, 0, 0])
        (answer,) = fixture.publisher.handle_follow(make_assigned_follow("r1"), now=2.0)
        assert isinstance(answer.message, View)
        self.assertEqual(len(answer.message.placed), limit)

    def test_hundreds_of_routers_get_placements_in_time(self) -> None:
        """Guards against late placements when 195 routers place 220 prompt parts a second.

        With thirty parts in each answer, a router fell behind by seconds and sent long prompts to
        engines that had to read them although others had cached them, 0.46 k tokens for each
        request. Each answer brings all new placements, and those to 39 routers take less than half
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
                    is_assigned=True,
                    placed_change=changes[number],
                )
                (answer,) = publisher.handle_follow(follow, now=now)
                assert isinstance(answer.message, View)
                changes[number] = answer.message.placed_change
                sent_bytes += len(encode_frame([pack(answer.message)]))
                self.assertEqual(changes[number], publisher.placements.change)
        self.assertLess(sent_bytes / 6.0, 262_000)

    def test_placements_and_endpoints_share_the_rate_limit(self) -> None:
        """Guards against a log that waits behind both after all instances were killed."""
        fixture = Fixture()
        for record in make_fleet(3000):
            fixture.table.merge(record, now=0.0)
        placed = tuple(
            PlacedPart(part=f"{n:08x}:5000", endpoint_id=f"e{n}", age_s=0.0) for n in range(737)
        )
        fixture.publisher.placements.record(placed, now=0.0)
        sent_bytes = 0
        changes = [0] * 59
        for step in range(12):
            now = step * 0.15
            for number in range(step % 2, 59, 2):
                follow = make_assigned_follow(
                    f"r{number}", run="run1", placed_change=changes[number]
                )
                (answer,) = fixture.publisher.handle_follow(follow, now=now)
                assert isinstance(answer.message, View)
                changes[number] = answer.message.placed_change
                sent_bytes += 14 * len(answer.message.placed)
            for effect in fixture.publisher.send_round(now=now):
                assert isinstance(effect.message, EndpointUpdate)
                sent_bytes += len(effect.message.payload)
        largest = len(pack_records(fixture.table.list_records()))
        self.assertLessEqual(sent_bytes, BULK_BYTES_PER_S * (now + MAX_SEND_AHEAD_S) + largest)

    def test_loads_are_those_of_the_other_routers(self) -> None:
        """Three routers are assigned to one replica, a fourth router to another.

        Each gets the sum of all others without its own load, of which it knows a newer value.
        """
        fixture, other = Fixture("run1"), Fixture("run2")
        for router, running in (("r1", 3), ("r2", 4), ("r3", 5)):
            fixture.publisher.handle_follow(make_assigned_follow(router, running), now=0.0)
        other.publisher.handle_follow(make_assigned_follow("r4", 6), now=0.0)
        fixture.publisher.handle_exchange("p2", other.publisher.make_exchange(now=0.1), now=0.1)
        (answer,) = fixture.publisher.handle_follow(make_assigned_follow("r2", 4), now=0.2)
        view = answer.message
        assert isinstance(view, View)
        self.assertEqual(view.loads, (EndpointLoad(endpoint_id="e1", running=14, tokens=30),))
        self.assertEqual(view.routers, 4)
        (answer,) = fixture.publisher.handle_follow(make_assigned_follow("r2", 4), now=9.0)
        assert isinstance(answer.message, View)
        self.assertEqual((answer.message.loads, answer.message.routers), ((), 1))

    def test_placements_reach_routers_of_other_replicas_once(self) -> None:
        fixture, other = Fixture("run1"), Fixture("run2")
        placed = (PlacedPart(part="d:10000", endpoint_id="e1", age_s=0.0),)
        fixture.publisher.handle_follow(make_assigned_follow("r1", placed=placed), now=0.0)
        other.publisher.handle_exchange("p1", fixture.publisher.make_exchange(now=0.1), now=0.1)
        (answer,) = other.publisher.handle_follow(make_assigned_follow("r4"), now=0.2)
        assert isinstance(answer.message, View)
        self.assertEqual([placement.part for placement in answer.message.placed], ["d:10000"])
        self.assertEqual(other.publisher.make_exchange(now=0.3).placed, ())
        self.assertEqual(fixture.publisher.make_exchange(now=0.3).placed, ())


if __name__ == "__main__":
    unittest.main()
