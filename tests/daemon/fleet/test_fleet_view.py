"""Tests of the router's view after messages of replicas and its own attempts."""

import unittest
from typing import Any
from unittest import mock

from chivetrack.components.announcements.models import EndpointState
from chivetrack.components.announcements.table import FORGET_AFTER_S
from chivetrack.components.deployment.settings import BoundSettings
from chivetrack.components.distribution.messages import EndpointLoad, PlacedPart, View
from chivetrack.components.evacuation.models import Evacuations, ZoneState
from chivetrack.components.origins.const import VIEW_CURRENT_S
from chivetrack.components.origins.models import Origin
from chivetrack.components.retries.sending import SendEnd
from chivetrack.components.traffic.models import EngineProfile, RouteKind, Service
from chivetrack.components.traffic.requests import PromptPart, RequestFacts
from chivetrack.components.traffic.table import RouteTable
from chivetrack.daemon.fleet.fleet_view import FleetView
from chivetrack.helpers.clock import read_boot_clock
from chivetrack.helpers.events import EventLog
from tests.components.announcements.test_table import make_record
from tests.components.traffic.documents import make_document, make_route
from tests.daemon.fleet.scripted import Caller, make_call


def make_view(*records: Any, **changes: Any) -> View:
    fields: dict[str, Any] = {
        "run": "x",
        "base": 0,
        "change": 1,
        "version": 1,
        "records": records,
        "replicas": ("p1",),
        "silent": (),
        "loads": (),
        "routers": 1,
        "has_loads": True,
    }
    return View(**{**fields, **changes})


class FleetViewCase(unittest.TestCase):
    def setUp(self) -> None:
        self.forgotten: list[str] = []
        self.view = FleetView(
            zone="z",
            bounds=BoundSettings(),
            events=EventLog(instance="r1"),
            decode=lambda body: make_document(),
            forget_endpoint=self.forgotten.append,
        )
        self.view.apply_document(1, b"")

    def apply_view(self, *records: Any, **changes: Any) -> None:
        for record in records:
            self.view.directory.table.merge(record, now=0.0)
        self.view.handle_view(make_view(*records, **changes), viewed_at=read_boot_clock())

    def choose(self, service: str = "llm", *parts: PromptPart) -> str:
        facts = RequestFacts(request_id="q", parts=parts, prompt_tokens=20_000)
        call = make_call(Caller(), service=service, facts=facts)
        choice = self.view.choose(call)
        return "" if choice is None else choice.record.endpoint_id

    def evacuate(self, revision: int, *zones: str) -> None:
        states = [
            ZoneState(zone=one, is_evacuated=True, revision=revision, since=0) for one in zones
        ]
        last = ZoneState(zone="other", is_evacuated=False, revision=revision, since=0)
        self.apply_view(evacuations=Evacuations(zones=(*states, last)))


class LostZoneTest(FleetViewCase):
    def setUp(self) -> None:
        super().setUp()
        self.lost: set[str] = set()
        self.view = FleetView(
            zone="z",
            bounds=BoundSettings(),
            events=EventLog(instance="r1"),
            decode=lambda body: make_document(),
            forget_endpoint=self.forgotten.append,
            list_lost_zones=lambda: self.lost,
        )
        self.view.apply_document(1, b"")
        self.apply_view(
            *(make_record(endpoint_id=f"e{n}", zone=f"z{n % 3}", service="llm") for n in range(9))
        )

    def choose_zones(self) -> set[str]:
        ids = [self.choose("llm", PromptPart(f"p{n}", 100), PromptPart("o", 5)) for n in range(60)]
        return {f"z{int(one[1:]) % 3}" for one in ids}

    def test_zone_that_is_not_reached_gets_nothing(self) -> None:
        """Guards against prompts that go to their home although it lies in a lost zone."""
        self.assertEqual(self.choose_zones(), {"z0", "z1", "z2"})
        self.lost = {"z1", "z2"}
        self.assertEqual(self.choose_zones(), {"z0"})

    def test_all_zones_are_lost(self) -> None:
        """Guards against callers that are refused without a try through a carrier."""
        self.lost = {"z0", "z1", "z2"}
        self.assertEqual(self.choose_zones(), {"z0", "z1", "z2"})


class ProbedEndpointTest(FleetViewCase):
    def test_endpoints_that_have_left_are_not_probed(self) -> None:
        """Guards against a zone that stays lost since addresses of former endpoints are silent."""
        self.apply_view(
            make_record(endpoint_id="e1", service="llm"),
            make_record(endpoint_id="e2", service="portal"),
            make_record(endpoint_id="e3", service="portal", state=EndpointState.LOST),
        )
        ids = {one.endpoint_id for one in self.view.directory.list_all_ready()}
        self.assertEqual(ids, {"e1", "e2"})


class FleetViewTest(FleetViewCase):
    def test_first_view_brings_endpoints_and_their_cached_parts(self) -> None:
        """Guards against placements that are dropped by the view that brought them.

        The first view after a router's start contains the engines and the prompt parts they
        have cached. What is recorded of an engine is dropped as it appears, since it may have
        restarted. When this came after the placements were applied, they were lost, and
        prompts were processed again in the whole fleet after a restart.
        """
        records = [make_record(endpoint_id=f"e{number}") for number in range(6)]
        for number in range(6):
            self.setUp()
            placed = (
                PlacedPart(part="s:512", endpoint_id=f"e{number}", age_s=9.0),
                PlacedPart(part="d:10000", endpoint_id=f"e{number}", age_s=9.0),
            )
            self.apply_view(*records, placed=placed)
            parts = (PromptPart("s", 512), PromptPart("d", 10_000), PromptPart("o", 3))
            self.assertEqual(self.choose("llm", *parts), f"e{number}")

    def test_departures_alone_are_no_view(self) -> None:
        """Guards against a router that is ready before it knows any endpoint."""
        self.view.apply_endpoints(is_partial=True)
        self.assertFalse(self.view.has_view)
        self.view.apply_endpoints(is_partial=False)
        self.assertTrue(self.view.has_view)

    def test_callers_are_sent_elsewhere_only_while_half_of_the_routers_stay(self) -> None:
        """Guards against callers sent from one stopping router to another that stops too."""
        self.apply_view(routers=8, stopping=4)
        self.assertTrue(self.view.do_others_accept)
        self.apply_view(routers=8, stopping=5)
        self.assertFalse(self.view.do_others_accept)

    def test_leaving_lost_and_misdirected_endpoints_get_no_requests(self) -> None:
        record = make_record(service="portal")
        self.apply_view(record)
        self.assertEqual(self.choose("portal"), "e1")
        self.view.health.record_misdirected("e1")
        self.assertEqual(self.choose("portal"), "")
        self.apply_view(make_record(1, service="portal", born=2000), change=2)
        self.assertEqual(self.choose("portal"), "e1")
        for number, state in enumerate((EndpointState.DRAINING, EndpointState.LOST), start=2):
            self.apply_view(
                make_record(number, service="portal", born=2000, state=state), change=number
            )
            self.assertEqual(self.choose("portal"), "")
        self.assertIn("e1", self.forgotten)

    def test_evacuated_zone_gets_no_new_requests(self) -> None:
        """Guards against requests to an evacuated zone before the evacuation is revoked.

        Endpoints of the zone keep running and announcing themselves. Neither an older state
        from a lagging replica nor a new announcement may bring requests back.
        """
        near = make_record(service="portal", zone="z1")
        far = make_record(service="portal", endpoint_id="e2", zone="z2")
        self.apply_view(near, far)
        self.evacuate(5, "z1")
        self.assertIn("e1", self.forgotten)
        self.evacuate(4)
        self.apply_view(make_record(3, service="portal", zone="z1", software="v2"), change=3)
        self.assertEqual({self.choose("portal") for _ in range(9)}, {"e2"})
        self.evacuate(6, "z1", "z2")
        self.assertEqual(self.choose("portal"), "")
        self.assertEqual(self.view.count_candidates("portal"), 0)
        self.evacuate(7, "z2")
        self.assertEqual(self.choose("portal"), "e1")

    def test_running_requests_of_an_evacuated_zone_are_counted_and_stay(self) -> None:
        self.apply_view(make_record(service="portal", zone="z1"))
        call = make_call(Caller(), service="portal")
        choice = self.view.choose(call)
        assert choice is not None
        with self.view.track_request(call, choice):
            self.evacuate(5, "z1")
            self.assertEqual(self.view.count_running_in(("z1",)), 1)
        self.assertEqual(self.view.count_running_in(("z1",)), 0)

    def test_engine_of_an_evacuated_zone_remains_a_cache_source(self) -> None:
        """Guards against losing the caches of an evacuated zone as sources.

        Engines fetch cached parts from each other without a request of the router. Without
        these sources, all prompts cached in the zone would be processed again elsewhere.
        """
        self.apply_view(make_record(zone="z1"), make_record(endpoint_id="e2", zone="z2"))
        self.view.table = RouteTable(
            document=make_document(
                services=(
                    Service(
                        name="llm",
                        engine=EngineProfile(slots=64, memory_tokens=500_000, can_fetch=True),
                    ),
                )
            )
        )
        parts = (PromptPart("s", 512), PromptPart("d", 10_000), PromptPart("o", 3))
        placed = (
            PlacedPart(part="s:512", endpoint_id="e1", age_s=1.0),
            PlacedPart(part="d:10000", endpoint_id="e1", age_s=1.0),
        )
        self.apply_view(placed=placed)
        self.evacuate(5, "z1")
        facts = RequestFacts(request_id="q", parts=parts, prompt_tokens=10_515)
        choice = self.view.choose(make_call(Caller(), service="llm", facts=facts))
        assert choice is not None
        self.assertEqual(choice.record.endpoint_id, "e2")
        self.assertEqual(choice.fetch_from, "127.0.0.1:80")

    def test_breaker_of_an_endpoint_that_fails(self) -> None:
        """A failing endpoint gets no requests; if both endpoints fail, both get requests.

        A service whose endpoints fail four of ten requests still serves the other six. If
        the router refused them without an attempt, all ten would be lost.
        """
        first = make_record(service="portal")
        self.apply_view(first, make_record(service="portal", endpoint_id="e2"))
        for _ in range(20):
            self.view.health.record_outcome("e1", SendEnd.REFUSED)
        self.assertIn("e1", {self.choose("portal"), "e1"})
        for _ in range(20):
            self.view.health.record_outcome("e1", SendEnd.NOT_SENT)
        self.assertEqual({self.choose("portal") for _ in range(5)}, {"e2"})
        for _ in range(20):
            self.view.health.record_outcome("e2", SendEnd.FAILED)
        self.assertNotEqual(self.choose("portal"), "")

    def test_endpoint_that_fails_at_other_routers(self) -> None:
        """Guards against sending requests to an endpoint that fails at other routers.

        An engine has crashed. This router has sent it no request for seconds, but others
        have and report failures; another request to it would fail as well.
        """
        records = [make_record(service="portal", endpoint_id=f"e{n}") for n in range(4)]
        failed = EndpointLoad(endpoint_id="e1", running=0, failed=9)
        self.apply_view(*records, loads=(failed,))
        chosen = [self.choose("portal") for _ in range(40)]
        self.assertLess(chosen.count("e1"), 10)

    def test_report_to_others_contains_outcomes_of_attempts(self) -> None:
        self.apply_view(make_record(service="portal"))
        self.view.health.record_outcome("e1", None)
        self.view.health.record_outcome("e1", SendEnd.NOT_SENT)
        (load,) = self.view.get_report().loads
        self.assertEqual((load.running, load.answered, load.failed), (0, 1, 1))

    def test_readiness(self) -> None:
        self.assertFalse(self.view.has_view)
        self.view.wait_until_ready(0.01)
        self.apply_view(make_record())
        self.assertTrue(self.view.has_view)
        self.view.wait_until_ready(5.0)


class ForgottenEndpointTest(FleetViewCase):
    def count_kept(self) -> int:
        """Return the number of the view's entries about the endpoint ``e1``."""
        kept = [self.view._lifetimes, self.view._first_seen_at, self.view.health._breakers]
        return sum("e1" in one for one in kept)

    def test_endpoint_that_was_lost_is_forgotten(self) -> None:
        """Guards against memory that grows with each endpoint that is lost without a departure."""
        self.apply_view(make_record(service="portal"))
        self.view.health.record_outcome("e1", SendEnd.FAILED)
        self.apply_view(make_record(2, service="portal", state=EndpointState.LOST), change=2)
        self.assertEqual(self.view.forget_expired(now=FORGET_AFTER_S), [])
        self.assertEqual(self.count_kept(), 3)
        (expired,) = self.view.forget_expired(now=FORGET_AFTER_S + 1.0)
        self.assertEqual(expired.endpoint_id, "e1")
        self.assertEqual(self.count_kept(), 0)


class StreamVersionTest(FleetViewCase):
    def setUp(self) -> None:
        super().setUp()
        self.apply_view(
            make_record(service="portal"),
            make_record(service="portal", endpoint_id="e2", software="v2"),
        )
        self.call = make_call(Caller(), route=make_route(kind=RouteKind.STREAM))

    def choose_for_stream(self) -> str:
        choice = self.view.choose(self.call)
        return "" if choice is None else choice.record.endpoint_id

    def begin(self, endpoint_id: str) -> None:
        record = self.view.directory.table.find(endpoint_id)
        assert record is not None
        self.assertTrue(self.call.begin_stream(record))

    def test_begun_stream_goes_on_at_its_version_only(self) -> None:
        self.assertIn(self.choose_for_stream(), ("e1", "e2"))
        self.begin("e2")
        self.assertEqual({self.choose_for_stream() for _ in range(9)}, {"e2"})

    def test_endpoint_that_started_again_with_another_version(self) -> None:
        """Guards against a stream that goes on at a new process under the id of its endpoint.

        Whether the announcement states a later start or not, the version of the stream is the one
        at its first event.
        """
        for changes in ({"born": 2000}, {"sequence": 2}):
            with self.subTest(changes):
                self.setUp()
                self.begin("e1")
                restarted = make_record(service="portal", software="v2", **changes)
                self.apply_view(restarted, change=2)
                self.assertEqual(self.choose_for_stream(), "")
                self.assertIn("e1", self.forgotten)

    def test_record_without_a_version_continues_nothing(self) -> None:
        """Guards against streams that go on at an endpoint of which no version is known."""
        self.begin("e1")
        self.apply_view(make_record(2, service="portal", born=2000, software=""), change=2)
        self.assertEqual(self.choose_for_stream(), "")
        other = make_call(Caller(), route=make_route(kind=RouteKind.STREAM))
        record = self.view.directory.table.find("e1")
        assert record is not None
        other.begin_stream(record)
        self.assertIsNone(self.view.choose(other))

    def test_version_that_leaves_continues_nothing(self) -> None:
        """Guards against a stream that goes on elsewhere when its version has left."""
        self.begin("e1")
        self.apply_view(make_record(2, service="portal", state=EndpointState.LEFT), change=2)
        self.assertEqual(self.choose_for_stream(), "")
        self.assertEqual(self.view.directory.all_origins, {Origin("portal", "v2")})

    def test_outdated_view_continues_nothing(self) -> None:
        """Guards against a router that was cut off, or suspended, and goes by old versions."""
        self.begin("e1")
        later = read_boot_clock() + VIEW_CURRENT_S
        with mock.patch("chivetrack.daemon.fleet.fleet_view.read_boot_clock", return_value=later):
            self.assertEqual(self.choose_for_stream(), "")

    def test_stream_waits_for_a_version_to_be_registered(self) -> None:
        """Guards against streams at a version of which a majority of replicas does not know."""
        registered: set[Origin] = set()
        self.view = FleetView(
            zone="z",
            bounds=BoundSettings(),
            events=EventLog(instance="r1"),
            decode=lambda body: make_document(),
            forget_endpoint=self.forgotten.append,
            may_begin=registered.__contains__,
        )
        self.apply_view(make_record(service="portal"))
        self.assertTrue(self.view.awaits_registration(self.call))
        self.assertEqual(self.choose_for_stream(), "")
        self.assertEqual(self.choose("portal"), "e1")
        registered.add(Origin("portal", "v1"))
        self.assertFalse(self.view.awaits_registration(self.call))
        self.assertEqual(self.choose_for_stream(), "e1")


if __name__ == "__main__":
    unittest.main()
