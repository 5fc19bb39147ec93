"""Leases, leaving and incarnations of endpoints over several routers."""

import unittest

from chivetrack.components.endpoints.const import TOPIC_RENEWAL
from chivetrack.components.endpoints.models import Availability
from chivetrack.components.endpoints.wire import Renewal, Renewals, hash_endpoint
from chivetrack.components.gossip.models import Delta, Entry, GossipFrame, Urgency
from chivetrack.core import MessageReceived, TimeReached
from chivetrack.helpers.codec import encode
from tests.components.endpoints.fleet import LEAVING, EndpointFleet, make_announcement

READY = Availability.READY


class LeaseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = EndpointFleet(9)

    def announce_for(self, seconds: float, names: tuple[str, ...], routers: list[str]) -> None:
        """Announce every 2 s, each time to the next router, as the balancer would."""
        for step in range(int(seconds / 2)):
            for name in names:
                self.fleet.announce(routers[step % len(routers)], make_announcement(name))
            self.fleet.network.run_for(2)

    def test_every_router_lists_what_one_was_told(self) -> None:
        self.announce_for(20, ("e-1", "e-2"), self.fleet.names)
        for name in self.fleet.names:
            listed = self.fleet.list_availability(name)
            self.assertEqual(listed, {"e-1": READY, "e-2": READY}, name)

    def test_an_expired_lease_removes_everywhere(self) -> None:
        self.announce_for(10, ("e-1",), self.fleet.names)
        self.fleet.network.run_for(7)
        for name in self.fleet.names:
            self.assertEqual(self.fleet.list_availability(name), {}, name)

    def test_a_cut_router_lets_leases_run_out(self) -> None:
        """A router is cut from its peers; endpoints go on announcing to the others.

        Nobody tells it which of them left. It must drop each at the end of the lease
        that it last heard of rather than route by a view that nobody refreshes.
        """
        self.announce_for(10, ("e-1", "e-2"), self.fleet.names)
        self.fleet.network.cut(["router-0"], self.fleet.names[1:])
        self.announce_for(8, ("e-1", "e-2"), self.fleet.names[1:])
        self.assertEqual(self.fleet.list_availability("router-0"), {})
        self.assertEqual(self.fleet.list_availability("router-1"), {"e-1": READY, "e-2": READY})
        self.fleet.network.heal()
        self.announce_for(4, ("e-1", "e-2"), self.fleet.names[1:])
        self.assertEqual(self.fleet.list_availability("router-0"), {"e-1": READY, "e-2": READY})

    def test_leaving_is_everywhere_in_a_second(self) -> None:
        self.announce_for(10, ("e-1", "e-2"), self.fleet.names)
        self.fleet.announce("router-3", make_announcement("e-1", state=LEAVING))
        self.fleet.network.run_for(1)
        for name in self.fleet.names:
            listed = self.fleet.list_availability(name)
            self.assertEqual(listed, {"e-1": Availability.LEAVING, "e-2": READY}, name)

    def test_leaving_is_final_for_an_incarnation(self) -> None:
        """An endpoint says that it leaves; an older "ready" of it arrives later elsewhere.

        If that undid it, callers would be sent to an endpoint that stops under them.
        """
        self.announce_for(6, ("e-1",), self.fleet.names)
        self.fleet.announce("router-3", make_announcement("e-1", state=LEAVING))
        self.fleet.announce("router-5", make_announcement("e-1"))
        self.fleet.network.run_for(1)
        for name in self.fleet.names:
            self.assertEqual(
                self.fleet.list_availability(name), {"e-1": Availability.LEAVING}, name
            )
        refused = self.fleet.announce("router-1", make_announcement("e-1"))
        self.assertEqual(refused.swap().ok.code, "endpoint_leaving")
        self.fleet.announce("router-1", make_announcement("e-1", incarnation=2))
        self.fleet.network.run_for(2)
        for name in self.fleet.names:
            self.assertEqual(self.fleet.list_availability(name), {"e-1": READY}, name)

    def test_a_stale_incarnation_never_returns(self) -> None:
        self.announce_for(4, ("e-1",), self.fleet.names)
        new = make_announcement("e-1", incarnation=2, address="http://10.0.0.2:8000")
        self.fleet.announce("router-2", new)
        self.fleet.network.run_for(1)
        for name in self.fleet.names:
            refused = self.fleet.announce(name, make_announcement("e-1"))
            self.assertEqual(refused.swap().ok.code, "stale_incarnation", name)
            listed = self.fleet.registries[name].list_endpoints("valuation")
            self.assertEqual([state.address for state in listed], [new.address], name)

    def test_an_older_ready_is_not_left_behind(self) -> None:
        """Router 1 was told "ready", router 2 "leaving"; then 2 and 3 restart empty.

        What router 2 published goes with it. If router 1 still offered its "ready", those
        who start now would give the endpoint work up to the end of the lease.
        """
        self.fleet.announce("router-1", make_announcement("e-1"))
        self.fleet.network.run_for(1)
        self.fleet.announce("router-2", make_announcement("e-1", state=LEAVING))
        self.fleet.network.run_for(1.5)
        self.fleet.start("router-2", incarnation=2)
        self.fleet.network.run_for(0.5)
        self.fleet.start("router-3", incarnation=2)
        self.fleet.network.run_for(2)
        for name in self.fleet.names:
            self.assertNotIn(READY, self.fleet.list_availability(name).values(), name)

    def test_renewals_of_one_that_leaves_do_not_keep_it_ready(self) -> None:
        """A router missed that an endpoint leaves, but gets the renewals of those who know.

        Named by id and incarnation alone they would extend the lease, and callers would
        be sent to the endpoint for as long as it takes to stop.
        """
        registry = self.fleet.registries["router-0"]
        registry.announce(make_announcement("e-1"), now=0.0)
        name = hash_endpoint("e-1", 1, leaving=True)
        payload = encode(Renewals((Renewal(name, 0),)))
        for second in range(1, 8):
            entry = Entry(TOPIC_RENEWAL, "", second, int(Urgency.LOAD), 0, payload)
            frame = GossipFrame(1, second * 1000, (Delta("router-1", 1, 0, (entry,)),))
            event = MessageReceived(source="router-1", message=frame)
            self.fleet.gossips["router-0"].handle(event, now=float(second))
            registry.handle(TimeReached(), now=float(second))
        self.assertEqual(self.fleet.list_availability("router-0"), {})

    def test_a_new_incarnation_is_back_everywhere_in_seconds(self) -> None:
        """Endpoints of a quiet small fleet leave and come back as a new incarnation.

        Others still carry the old one, and what everyone has counts as no backlog; if
        either put off the news, the endpoint would stay out at all routers but one.
        """
        fleet = self.fleet = EndpointFleet(3)
        names = tuple(f"e-{index}" for index in range(6))
        self.announce_for(16, names, fleet.names)
        for step, name in enumerate(names):
            router = fleet.names[step % 3]
            fleet.announce(router, make_announcement(name, state=LEAVING))
            fleet.network.run_for(1)
            for index in range(8):
                payload = bytes([step]) * 100
                fleet.gossips[router].publish(
                    "other", f"{index}", payload, Urgency.ANNOUNCEMENT, now=fleet.network.now
                )
            fleet.announce(router, make_announcement(name, incarnation=2))
            fleet.network.run_for(3)
            for viewer in fleet.names:
                self.assertIs(fleet.list_availability(viewer).get(name), READY, (viewer, name))
