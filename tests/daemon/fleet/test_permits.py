"""Tests of permits for requests to cold endpoints."""

import unittest
from typing import Any

import gevent

from chivetrack.components.slow_start.messages import PermitAnswer, PermitRequest
from chivetrack.components.traffic.models import Service
from chivetrack.components.traffic.table import RouteTable
from chivetrack.daemon.fleet.permits import PermitClient
from chivetrack.helpers.codec import Message
from chivetrack.helpers.events import EventLog
from tests.components.announcements.test_table import make_record
from tests.components.traffic.documents import make_document
from tests.daemon.fleet.scripted import Caller, make_call
from tests.daemon.fleet.test_fleet_view import FleetViewCase

LIMITED = Service(name="portal", cold_per_s=10.0)


class PermitCase(FleetViewCase):
    """A router with one replica that answers with the waits set by the test."""

    def setUp(self) -> None:
        super().setUp()
        self.view.table = RouteTable(document=make_document(services=(LIMITED,)))
        self.waits: dict[str, float] = {}
        self.requested: list[str] = []
        self.is_lost = False
        self.client = PermitClient(
            view=self.view,
            find_replica=lambda: "p1",
            send=self.send,
            events=EventLog(instance="r1"),
        )

    def send(self, target: str, message: Message) -> None:
        assert isinstance(message, PermitRequest)
        self.requested.append(message.endpoint_id)
        wait_s = self.waits.get(message.endpoint_id, 0.0)
        if not self.is_lost:
            gevent.spawn(
                self.client.handle_answer, PermitAnswer(number=message.number, wait_s=wait_s)
            )

    def apply_cold(self, *endpoint_ids: str, **changes: Any) -> None:
        records = [
            make_record(service="portal", endpoint_id=one, cold_s=3.0, **changes)
            for one in endpoint_ids
        ]
        self.apply_view(*records)


class PermitDeskTest(PermitCase):
    def test_warm_endpoints_need_no_permit(self) -> None:
        self.apply_view(make_record(service="portal"))
        self.assertTrue(self.client.allows("portal", "e1"))
        self.assertEqual(self.requested, [])

    def test_cold_endpoint_of_a_service_without_a_limit(self) -> None:
        self.view.table = RouteTable(document=make_document())
        self.apply_cold("e1")
        self.assertTrue(self.client.allows("portal", "e1"))
        self.assertEqual(self.requested, [])

    def test_refused_endpoint_is_excluded_until_its_wait_ends(self) -> None:
        """The replica's answer contains a wait; until it ends, requests go to other endpoints."""
        self.apply_cold("e1")
        self.apply_view(make_record(service="portal", endpoint_id="e2"))
        self.waits["e1"] = 0.2
        self.assertFalse(self.client.allows("portal", "e1"))
        self.assertEqual({self.choose("portal") for _ in range(9)}, {"e2"})
        self.assertEqual(self.requested, ["e1"])
        gevent.sleep(0.25)
        self.view.health.record_misdirected("e2")
        self.assertEqual(self.choose("portal"), "e1")

    def test_replica_that_does_not_answer(self) -> None:
        """A router partitioned from its replica sends no requests to cold endpoints.

        Its requests would exceed the rate that the replica grants to all routers together.
        """
        self.apply_cold("e1")
        self.is_lost = True
        self.assertFalse(self.client.allows("portal", "e1"))
        self.assertEqual(self.choose("portal"), "")

    def test_request_refused_by_two_cold_endpoints_goes_to_a_warm_one(self) -> None:
        self.apply_cold("e1", "e2", "e3")
        self.apply_view(make_record(service="portal", endpoint_id="e4"))
        call = make_call(Caller(), service="portal")
        call.passed_over |= {"e1", "e2"}
        choice = self.view.choose(call)
        assert choice is not None
        self.assertEqual(choice.record.endpoint_id, "e4")

    def test_all_endpoints_are_cold(self) -> None:
        """The shortest wait counts; a service without endpoints has none."""
        self.apply_cold("e1", "e2")
        call = make_call(Caller(), service="portal")
        for endpoint_id, wait_s in (("e1", 0.4), ("e2", 0.2)):
            self.waits[endpoint_id] = wait_s
            self.client.allows("portal", endpoint_id)
        wait = self.view.find_permit_wait(call)
        assert wait is not None
        self.assertAlmostEqual(wait, 0.2, delta=0.1)
        self.assertIsNone(self.view.find_permit_wait(make_call(Caller(), service="llm")))

    def test_zone_whose_evacuation_is_revoked_counts_as_cold(self) -> None:
        """Guards against a burst at cold endpoints when a zone's evacuation is revoked.

        The endpoints became cold a moment before, and their heartbeats report it only a
        second later; until then all routers would see them idle and choose them at once.
        """
        self.apply_view(make_record(service="portal", zone="z1"))
        self.evacuate(5, "z1")
        self.evacuate(6)
        self.waits["e1"] = 0.5
        self.assertFalse(self.client.allows("portal", "e1"))


if __name__ == "__main__":
    unittest.main()
