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
        """Announce every 2 s to the next router in turn, as a load balancer would distribute it."""
        for step in range(int(seconds / 2)):
            for name in names:
                self.fleet.announce(routers[step % len(routers)], make_announcement(name))
            self.fleet.network.run_for(2)

    def test_announcement_to_one_router_reaches_all(self) -> None:
        self.announce_for(20, ("e-1", "e-2"), self.fleet.names)
        for name in self.fleet.names:
            listed = self.fleet.list_availability(name)
            self.assertEqual(listed, {"e-1": READY, "e-2": READY}, name)

    def test_an_expired_lease_removes_everywhere(self) -> None:
        self.announce_for(10, ("e-1",), self.fleet.names)
        self.fleet.network.run_for(7)
        for name in self.fleet.names:
            self.assertEqual(self.fleet.list_availability(name), {}, name)

    def test_leases_expire_on_partitioned_router(self) -> None:
        """A router is partitioned from its peers while endpoints announce to the others.

        It does not learn which endpoints leave, so it must remove each endpoint at the end
        of the last known lease instead of routing by an outdated list.
        """
        self.announce_for(10, ("e-1", "e-2"), self.fleet.names)
        self.fleet.network.cut(["router-0"], self.fleet.names[1:])
        self.announce_for(8, ("e-1", "e-2"), self.fleet.names[1:])
        self.assertEqual(self.fleet.list_availability("router-0"), {})
        self.assertEqual(self.fleet.list_availability("router-1"), {"e-1": READY, "e-2": READY})
        self.fleet.network.heal()
        self.announce_for(4, ("e-1", "e-2"), self.fleet.names[1:])
        self.assertEqual(self.fleet.list_availability("router-0"), {"e-1": READY, "e-2": READY})

    def test_leaving_reaches_all_routers_within_a_second(self) -> None:
        self.announce_for(10, ("e-1", "e-2"), self.fleet.names)
        self.fleet.announce("router-3", make_announcement("e-1", state=LEAVING))
        self.fleet.network.run_for(1)
        for name in self.fleet.names:
            listed = self.fleet.list_availability(name)
            self.assertEqual(listed, {"e-1": Availability.LEAVING, "e-2": READY}, name)

    def test_leaving_is_final_for_an_incarnation(self) -> None:
        """An older "ready" announcement arrives at another router after a "leaving" one.

        If it took effect, requests would be sent to an endpoint that is about to stop.
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

    def test_older_ready_announcement_is_not_kept(self) -> None:
        """Router 1 received "ready", router 2 "leaving"; then routers 2 and 3 restart empty.

        The publications of router 2 are lost with it. If router 1 still published "ready",
        restarted routers would send requests to the endpoint until the end of its lease.
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

    def test_renewals_of_leaving_endpoint_do_not_keep_it_ready(self) -> None:
        """A router missed a "leaving" announcement but gets renewals from routers that know it.

        If renewals identified endpoints by id and incarnation alone, they would extend the
        lease, and requests would be sent to the endpoint until it has stopped.
        """
        registry = self.fleet.registries["router-0"]
        registry.announce(make_announcement("e-1"), now=0.0)
        endpoint_hash = hash_endpoint("e-1", 1, leaving=True)
        payload = encode(Renewals((Renewal(endpoint_hash, 0),)))
        for second in range(1, 8):
            entry = Entry(TOPIC_RENEWAL, "", second, int(Urgency.LOAD), 0, payload)
            frame = GossipFrame(1, second * 1000, (Delta("router-1", 1, 0, (entry,)),))
            event = MessageReceived(source="router-1", message=frame)
            self.fleet.gossips["router-0"].handle(event, now=float(second))
            registry.handle(TimeReached(), now=float(second))
        self.assertEqual(self.fleet.list_availability("router-0"), {})

    def test_new_incarnation_is_listed_everywhere_within_seconds(self) -> None:
        """Endpoints of a small idle fleet leave and return as a new incarnation.

        Other routers still publish the old incarnation, and updates that every router has
        do not count as pending. If either delayed the new announcement, the endpoint would
        stay unavailable on all routers but one.
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
