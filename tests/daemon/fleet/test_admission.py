"""Tests of requests that wait for a slot of a plain service."""

import time

import gevent
import msgspec

from chivetrack.components.admission.const import ANSWER_TIMEOUT_S, WAIT_MARGIN_S
from chivetrack.components.admission.messages import (
    SlotAnswer,
    SlotRelease,
    SlotRequest,
    SlotState,
)
from chivetrack.components.announcements.models import EndpointState
from chivetrack.components.distribution.messages import EndpointLoad
from chivetrack.components.retries.sending import SendEnd
from chivetrack.components.traffic.table import RouteTable
from chivetrack.daemon.fleet.forwarder import SendResult
from tests.components.traffic.documents import make_document, make_route
from tests.daemon.fleet.test_open_requests import LIMIT_S, NOT_RUN, OpenRequestCase


class AdmissionCase(OpenRequestCase):
    """A service of two endpoints whose slots are always scheduled."""

    schedules_slots = True

    def setUp(self) -> None:
        super().setUp()
        self.configure()

    def list_requests(self) -> list[SlotRequest]:
        return [one for one in self.slot_messages if isinstance(one, SlotRequest)]

    def list_releases(self) -> list[SlotRelease]:
        return [one for one in self.slot_messages if isinstance(one, SlotRelease)]

    def answer(self, state: SlotState, endpoint_id: str = "", wait_s: float = 0.0) -> None:
        number = self.list_requests()[-1].number
        self.admission.handle_answer(
            SlotAnswer(number=number, state=state, endpoint_id=endpoint_id, wait_s=wait_s)
        )
        gevent.sleep(0.01)


class SlotTest(AdmissionCase):
    def test_request_goes_to_the_endpoint_of_its_slot(self) -> None:
        """Guards against a slot that is granted at one endpoint and used at another."""
        serving = self.start()
        self.assertEqual(self.sent, [])
        self.answer(SlotState.GRANTED, "e2")
        self.assertEqual(self.sent, ["e2"])
        self.assertEqual(self.list_releases(), [])
        self.go_on.set()
        serving.join(LIMIT_S)
        (release,) = self.list_releases()
        self.assertEqual(release.number, self.list_requests()[0].number)
        self.assertGreater(release.took_s, 0)

    def test_queued_request_is_sent_when_it_gets_its_slot(self) -> None:
        """Guards against a wait that ends with the first answer."""
        self.start()
        self.answer(SlotState.QUEUED, wait_s=0.05)
        self.assertEqual(self.sent, [])
        self.answer(SlotState.GRANTED, "e1")
        self.assertEqual(self.sent, ["e1"])
        self.go_on.set()

    def test_request_that_will_be_late_waits_for_its_slot(self) -> None:
        """Guards against a wait that ends at the latency target, with a slot on its way."""
        self.start()
        self.answer(SlotState.QUEUED, wait_s=0.05)
        target_s = self.list_requests()[0].target_s
        gevent.sleep(target_s + 2 * WAIT_MARGIN_S)
        self.assertEqual(self.sent, [])
        self.answer(SlotState.GRANTED, "e1")
        self.assertEqual(self.sent, ["e1"])
        self.go_on.set()

    def test_refused_request_has_not_run_and_is_told_when_to_return(self) -> None:
        """Guards against a wait for a slot that comes too late."""
        serving = self.start()
        self.answer(SlotState.REFUSED, wait_s=0.25)
        serving.join(LIMIT_S)
        self.check((503, "no_slot", "no"), sent=0)
        self.assertEqual(self.caller.headers["Retry-After"], "0.25")

    def test_rejected_attempt_reports_a_full_endpoint(self) -> None:
        """Guards against a scheduler that goes on granting slots of a full endpoint."""
        self.result = SendResult(end=SendEnd.REFUSED)
        self.start()
        self.go_on.set()
        self.answer(SlotState.GRANTED, "e1")
        self.assertTrue(self.list_releases()[0].is_rejected)
        self.assertEqual(len(self.list_requests()), 2)
        self.assertEqual([one.endpoint_id for one in self.list_requests()[1].candidates], ["e2"])


class OutdatedSlotTest(AdmissionCase):
    """An endpoint leaves while a request waits for a slot."""

    def announce(self, state: EndpointState) -> None:
        table = self.view.directory.table
        record = table.find("e2")
        assert record is not None
        changed = msgspec.structs.replace(record, sequence=record.sequence + 1, state=state)
        table.merge(changed, now=0.0)
        self.view.apply_endpoints(is_partial=True)

    def test_slot_of_an_endpoint_that_has_left_is_not_used(self) -> None:
        """Guards against an order that reaches an endpoint long after it has begun to drain."""
        for state in (EndpointState.DRAINING, EndpointState.LEFT, EndpointState.LOST):
            with self.subTest(state=state):
                self.setUp()
                serving = self.start()
                self.answer(SlotState.QUEUED, wait_s=0.05)
                self.announce(state)
                self.answer(SlotState.GRANTED, "e2")
                self.assertEqual(self.sent, [])
                first, second = self.list_requests()
                self.assertEqual(self.list_releases()[0].number, first.number)
                self.assertEqual([one.endpoint_id for one in second.candidates], ["e1"])
                self.answer(SlotState.GRANTED, "e1")
                self.assertEqual(self.sent, ["e1"])
                self.go_on.set()
                serving.join(LIMIT_S)

    def test_first_choice_that_has_left_is_not_used_without_a_scheduler(self) -> None:
        """Guards against a first choice that is used when no answer has come in time."""
        self.start()
        self.announce(EndpointState.DRAINING)
        gevent.sleep(ANSWER_TIMEOUT_S + 0.05)
        self.assertEqual(self.sent, ["e1"])
        self.go_on.set()

    def test_paused_endpoint_is_not_used(self) -> None:
        """Guards against a request at an endpoint that has asked for a pause meanwhile."""
        self.start()
        record = self.view.directory.table.find("e2")
        assert record is not None
        self.view.directory.record_pause(record, until=time.monotonic() + LIMIT_S)
        self.answer(SlotState.GRANTED, "e2")
        self.assertEqual(self.sent, [])
        self.answer(SlotState.GRANTED, "e1")
        self.assertEqual(self.sent, ["e1"])
        self.go_on.set()


class NoTargetTest(AdmissionCase):
    def test_route_without_a_target_leaves_time_to_return(self) -> None:
        """Guards against requests that wait for a slot until their deadline."""
        self.view.table = RouteTable(
            document=make_document(1, make_route(target_s=0.0, is_public=True))
        )
        self.start()
        (request,) = self.list_requests()
        self.assertLess(request.target_s, 0.3 * request.hold_s)


class FailureTest(AdmissionCase):
    def test_silent_scheduler_delays_no_request_but_the_first(self) -> None:
        """Guards against a frozen leader that holds up every request to its service."""
        self.start()
        gevent.sleep(ANSWER_TIMEOUT_S + 0.05)
        self.assertEqual(len(self.sent), 1)
        self.start()
        self.assertEqual(len(self.sent), 2)
        self.assertEqual(len(self.list_requests()), 1)
        self.go_on.set()

    def test_without_a_leader_requests_are_sent_at_once(self) -> None:
        """Guards against a service that is closed while no replica leads."""
        self.lender = ""
        self.start()
        self.assertEqual((len(self.sent), self.slot_messages), (1, []))
        self.go_on.set()

    def test_replica_that_does_not_lead_is_not_asked_again(self) -> None:
        """Guards against requests that wait for a replica that was replaced."""
        self.start()
        self.answer(SlotState.NOT_LEADING)
        self.assertEqual(len(self.sent), 1)
        self.start()
        self.assertEqual(len(self.list_requests()), 1)
        self.go_on.set()

    def test_request_that_waits_for_a_slot_is_not_sent_after_the_exit(self) -> None:
        """Guards against a slot that comes when its router has decided to exit."""
        serving = self.start()
        self.decide_exit(serving)
        self.check(NOT_RUN, sent=0)
        self.assertEqual(len(self.list_releases()), 1)

    def test_caller_that_leaves_gives_its_place_back(self) -> None:
        """Guards against a slot that is granted to a caller that has left."""
        serving = self.start()
        serving.kill()
        self.assertEqual(len(self.list_releases()), 1)
        self.answer(SlotState.GRANTED, "e1")
        self.assertEqual(self.sent, [])

    def test_unknown_endpoint_in_an_answer_is_not_used(self) -> None:
        """Guards against an answer that names an endpoint which this router must not use."""
        self.start()
        self.answer(SlotState.GRANTED, "e9")
        self.assertIn(self.sent, (["e1"], ["e2"]))
        self.go_on.set()


class EngagementTest(AdmissionCase):
    min_load = 0.3

    def test_service_with_free_slots_is_not_scheduled(self) -> None:
        """Guards against a round trip to a replica that a service with room does not need."""
        self.start()
        self.assertEqual((len(self.sent), self.slot_messages), (1, []))
        self.go_on.set()

    def test_service_is_scheduled_while_its_slots_are_in_use(self) -> None:
        """Guards against a service that is filled by other routers, of which this one knows."""
        loads = [EndpointLoad("e1", 64), EndpointLoad("e2", 64)]
        self.view.placement.handle_other_loads(loads, now=time.monotonic())
        self.start()
        self.assertEqual((len(self.sent), len(self.list_requests())), (0, 1))


class DisabledTest(AdmissionCase):
    schedules_slots = False

    def test_nothing_is_scheduled_without_the_setting(self) -> None:
        """Guards against a deployment that is served differently without asking for it."""
        self.result = SendResult(end=SendEnd.REFUSED)
        self.go_on.set()
        self.start().join(LIMIT_S)
        self.assertEqual((len(self.sent), self.slot_messages), (2, []))
