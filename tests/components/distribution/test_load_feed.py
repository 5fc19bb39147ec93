"""How the loads of many endpoints reach many routers over a slow link of their replica."""

import unittest

from chivetrack.components.distribution.load_packing import (
    pack_loads,
    subtract_load,
    unpack_loads,
)
from chivetrack.components.distribution.messages import EndpointLoad, Exchange, LoadUpdate, View
from chivetrack.components.peers.const import FRAME_OVERHEAD_BYTES
from chivetrack.components.peers.frames import encode_frame
from chivetrack.core import SendMessage
from chivetrack.helpers.codec import pack
from tests.components.announcements.test_packing import make_fleet
from tests.components.distribution.world import Fixture, make_assigned_follow

ROUTERS = 59
LINK_BYTES_PER_S = 525_000
# Control traffic may take 19 kB/s of a router's link and processor in all.
ROUTER_BYTES_PER_S = 19_000


def make_loads(count: int) -> tuple[EndpointLoad, ...]:
    return tuple(
        EndpointLoad(record.endpoint_id, 1 + number % 3, number * 7919 % 900, number % 4)
        for number, record in enumerate(make_fleet(count))
    )


class LoadFeedTest(unittest.TestCase):
    def simulate(self, loads: int) -> tuple[int, dict[str, list[float]], list[View]]:
        """Return the bytes sent in 10 s, when each router got packed loads, and all answers."""
        publisher = Fixture().publisher
        sent = 0
        received: dict[str, list[float]] = {f"r{number}": [] for number in range(ROUTERS)}
        views: list[View] = []
        for step in range(80):
            now = step * 0.125
            exchange = Exchange(routers=236, loads=make_loads(loads), placed=())
            publisher.handle_exchange("p2", exchange, now=now)
            messages: list[SendMessage] = []
            for number in range(step % 2, ROUTERS, 2):
                messages += publisher.handle_follow(make_assigned_follow(f"r{number}"), now=now)
            messages += publisher.send_round(now=now)
            for sent_message in messages:
                sent += len(encode_frame([pack(sent_message.message)])) + FRAME_OVERHEAD_BYTES
                if isinstance(sent_message.message, LoadUpdate):
                    for router in (sent_message.target, *sent_message.message.forward_to):
                        received[router].append(now)
                elif isinstance(sent_message.message, View):
                    views.append(sent_message.message)
        return sent, received, views

    def test_loads_leave_room_for_the_log(self) -> None:
        """Guards against configurations that no quorum confirms while the fleet is busy."""
        sent, received, _ = self.simulate(loads=1000)
        self.assertLess(sent, 10 * LINK_BYTES_PER_S / 2)
        for times in received.values():
            gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
            self.assertLessEqual(max(gaps), 1.5)
            self.assertLess(len(times) * len(pack_loads(make_loads(1000))), 10 * ROUTER_BYTES_PER_S)

    def test_few_loads_are_sent_with_each_answer(self) -> None:
        """Guards against unnecessarily old counts in a fleet with few endpoints."""
        _, received, views = self.simulate(loads=30)
        self.assertFalse(any(received.values()))
        self.assertTrue(all(view.loads for view in views))

    def test_packed_loads_are_unpacked_unchanged(self) -> None:
        loads = make_loads(50)
        self.assertCountEqual(unpack_loads(pack_loads(loads)).ok, loads)
        self.assertTrue(unpack_loads(b"x").is_error())

    def test_own_share_is_subtracted(self) -> None:
        """Guards against a router that counts its own requests twice."""
        total = EndpointLoad("e1", 5, 300, 4, 1)
        self.assertEqual(
            subtract_load(total, EndpointLoad("e1", 2, 100, 1, 0)), EndpointLoad("e1", 3, 200, 3, 1)
        )
        newer = EndpointLoad("e1", 9, 900, 9, 9)
        self.assertEqual(subtract_load(total, newer), EndpointLoad("e1", 0, 0, 0, 0))
        self.assertEqual(subtract_load(total, None), total)


if __name__ == "__main__":
    unittest.main()
