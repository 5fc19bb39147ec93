"""Tests of requests that are open when their router decides to exit."""

import io
import json
import unittest
from typing import Any
from unittest.mock import create_autospec, patch

import gevent
from gevent.event import Event

from chivetrack.components.admission.engagement import Engagement
from chivetrack.components.caller_api.const import ENVIRON_HEADERS, ENVIRON_TARGET
from chivetrack.components.deployment.settings import BoundSettings
from chivetrack.components.distribution.document_receiver import DocumentReceiver
from chivetrack.components.limits.stopping import StopWindow
from chivetrack.components.placement.choice import Choice
from chivetrack.components.retries.messages import LeaseAnswer, LeaseRequest
from chivetrack.components.retries.sending import SendEnd
from chivetrack.components.traffic.models import RouteKind
from chivetrack.components.upstream.idle_connections import IdleConnections
from chivetrack.daemon.fleet.admission import AdmissionClient
from chivetrack.daemon.fleet.calls import Call
from chivetrack.daemon.fleet.crashes import CrashDetector
from chivetrack.daemon.fleet.fleet_view import FleetView
from chivetrack.daemon.fleet.forwarder import AnswerCutError, Forwarder, SendResult
from chivetrack.daemon.fleet.origins import OriginClient
from chivetrack.daemon.fleet.permits import PermitClient
from chivetrack.daemon.fleet.requests import RequestHandler
from chivetrack.daemon.fleet.retry_budget import RetryBudgetClient
from chivetrack.helpers.clock import read_boot_clock
from chivetrack.helpers.codec import Message
from chivetrack.helpers.events import EventLog
from tests.components.announcements.test_table import make_record
from tests.components.traffic.documents import make_document, make_route
from tests.daemon.fleet.scripted import Caller, make_dialer
from tests.daemon.fleet.test_fleet_view import make_view

LIMIT_S = 5.0
LENT = 3
NOT_RUN = (503, "instance_stopping", "no")
MAY_HAVE_RUN = (502, "instance_stopping", "maybe")


class Events(EventLog):
    """An event log that keeps its events."""

    def __init__(self) -> None:
        """Start without events."""
        super().__init__(instance="r1")
        self.written: list[dict[str, Any]] = []

    def write(self, event: str, **fields: Any) -> None:
        """Keep one event."""
        self.written.append({"event": event, **fields})


class SlowBody(io.BytesIO):
    """A body whose rest comes when ``arrives`` is set."""

    def __init__(self, arrives: Event) -> None:
        """Store the signal."""
        super().__init__(b"body")
        self._arrives = arrives

    def read(self, size: int | None = -1, /) -> bytes:
        """Wait for the rest and return the body."""
        self._arrives.wait(LIMIT_S)
        return super().read(size)


class OpenRequestCase(unittest.TestCase):
    """Serves one request whose first wait ends when ``go_on`` is set."""

    schedules_slots = False
    min_load = 0.0
    kind = RouteKind.IDEMPOTENT
    headers: tuple[tuple[str, str], ...] = ()

    def setUp(self) -> None:
        self.go_on = Event()
        self.sent: list[str] = []
        self.is_cut = False
        self.result = SendResult(status=200)
        self.events = Events()
        self.view = FleetView(
            zone="z",
            bounds=BoundSettings(),
            events=self.events,
            decode=lambda body: make_document(
                1,
                make_route(timeout_s=LIMIT_S, is_public=True, kind=self.kind),
            ),
            forget_endpoint=lambda endpoint_id: None,
        )
        self.permits = create_autospec(PermitClient, instance=True)
        self.permits.allows.return_value = True
        self.slack = LENT
        self.lender = "p1"
        self.retry_budget = RetryBudgetClient(
            budgets=self.view.budgets, find_lender=lambda: self.lender, send=self.lend
        )
        self.slot_messages: list[Message] = []
        self.admission = AdmissionClient(
            engagement=Engagement(is_enabled=self.schedules_slots, min_load=self.min_load),
            view=self.view,
            find_leader=lambda: self.lender,
            send=lambda target, message: self.slot_messages.append(message),
            events=self.events,
            record_slot=lambda state: None,
        )
        self.forwarder = create_autospec(Forwarder, instance=True)
        self.forwarder.send.side_effect = self.send
        self.ended: list[str] = []
        self.documents = DocumentReceiver(
            apply=lambda version, body: None, on_unreadable=lambda version, detail: None
        )
        self.origins = create_autospec(OriginClient, instance=True)
        self.handler = RequestHandler(
            view=self.view,
            forwarder=self.forwarder,
            permits=self.permits,
            admission=self.admission,
            retry_budget=self.retry_budget,
            crash_detector=create_autospec(CrashDetector, instance=True),
            documents=self.documents,
            origins=self.origins,
            events=self.events,
            record_end=lambda call, outcome: self.ended.append(outcome),
            record_rejection=lambda fault: None,
            record_continuation=lambda continuation: None,
        )
        self.caller = Caller()

    def configure(self) -> None:
        self.view.apply_document(1, b"")
        records = [
            make_record(endpoint_id=f"e{n}", address=f"127.0.0.1:{n}", service="portal")
            for n in (1, 2)
        ]
        for record in records:
            self.view.directory.table.merge(record, now=0.0)
        self.view.handle_view(make_view(*records), viewed_at=read_boot_clock())

    def lend(self, target: str, message: Message) -> None:
        assert isinstance(message, LeaseRequest)
        wait_s = 0.0 if self.slack else 1.0
        self.slack = max(0, self.slack - 1)
        answer = LeaseAnswer(number=message.number, wait_s=wait_s)
        gevent.spawn(self.retry_budget.handle_answer, answer)

    def send(self, call: Call, choice: Choice, *, may_retry: bool) -> SendResult:
        self.sent.append(choice.record.endpoint_id)
        self.go_on.wait(LIMIT_S)
        if self.result.is_answered:
            call.reply.send(200, [], b"done")
        return self.result

    def start(self, body: io.BytesIO | None = None, *, path: str = "/a/x") -> gevent.Greenlet:
        environ = {
            ENVIRON_HEADERS: [("X-Chivetrack-Attempt-Id", "q1"), *self.headers],
            ENVIRON_TARGET: path,
            "PATH_INFO": path,
            "HTTP_HOST": "one.example",
            "REQUEST_METHOD": "POST",
            "CONTENT_LENGTH": "4",
            "wsgi.input": body or io.BytesIO(b"body"),
        }
        serving = gevent.spawn(self.serve, environ)
        gevent.sleep(0.02)
        return serving

    def serve(self, environ: dict[str, Any]) -> None:
        try:
            self.handler(environ, self.caller.start_response)
        except AnswerCutError:
            self.is_cut = True

    def decide_exit(self, serving: gevent.Greenlet, *, goes_on: bool = True) -> None:
        """Decide to exit; with ``goes_on`` the wait of the request ends in the same step."""
        self.handler.begin_stop(StopWindow(accepts_until=0.0, exits_at=float("inf")), now=0.0)
        if goes_on:
            self.go_on.set()
        self.handler.end_stop()
        serving.join(LIMIT_S)
        self.assertTrue(serving.dead)

    def check(self, expected: tuple[int, str, str], *, sent: int) -> None:
        self.assertEqual(len(self.sent), sent)
        self.assertEqual(self.caller.status, expected[0])
        error = json.loads(self.caller.body)["error"]
        self.assertEqual((error["code"], error["ran"]), expected[1:])

    def find_end(self) -> tuple[str, int]:
        (ended,) = [event for event in self.events.written if event["event"] == "request_ended"]
        return (ended["outcome"], ended["status"])


class FullInstanceTest(OpenRequestCase):
    @patch("chivetrack.daemon.fleet.requests.MAX_REQUESTS", 1)
    def test_request_over_the_limit_is_refused(self) -> None:
        """Guards against more open requests than the router has file descriptors for."""
        self.configure()
        first = self.start()
        self.addCleanup(first.kill)
        self.assertEqual(len(self.handler.open_requests), 1)
        self.start()
        self.check((503, "instance_full", "no"), sent=1)


class NotSentRequestTest(OpenRequestCase):
    def check_not_sent(self, serving: gevent.Greenlet) -> None:
        self.decide_exit(serving)
        self.check(NOT_RUN, sent=0)

    def permit_late(self, service: str, endpoint_id: str) -> bool:
        return self.go_on.wait(LIMIT_S)

    def test_request_that_waits_for_a_permit_is_not_sent(self) -> None:
        """Guards against a permit that comes when its router has decided to exit."""
        self.configure()
        self.permits.allows.side_effect = self.permit_late
        self.check_not_sent(self.start())
        self.assertEqual(self.find_end(), ("cut_by_stop", 503))

    def test_request_that_waits_to_ask_for_a_permit_is_not_sent(self) -> None:
        """Guards against a request whose pause ends when its router has decided to exit."""
        self.configure()
        self.permits.allows.side_effect = [False, False, True]
        self.view.find_permit_wait = lambda call: 0.05  # type: ignore[method-assign]
        self.check_not_sent(self.start())

    def test_request_that_waits_for_the_configuration_is_not_sent(self) -> None:
        """Guards against a configuration that comes when its router has decided to exit."""
        serving = self.start()
        self.configure()
        self.check_not_sent(serving)

    def test_request_that_is_being_received_is_not_sent(self) -> None:
        """Guards against a body that is complete when its router has decided to exit."""
        self.configure()
        self.check_not_sent(self.start(SlowBody(self.go_on)))
        self.assertEqual(self.find_end(), ("cut_by_stop", 503))

    def test_request_that_is_not_received_whole_is_answered(self) -> None:
        """Guards against the close of a connection whose body is on its way."""
        self.configure()
        self.decide_exit(self.start(SlowBody(self.go_on)), goes_on=False)
        self.check(NOT_RUN, sent=0)
        (rejected,) = [one for one in self.events.written if one["event"] == "request_rejected"]
        self.assertEqual((rejected["request"], rejected["code"]), ("q1", "instance_stopping"))

    def test_request_whose_connection_is_being_opened_is_not_sent(self) -> None:
        """Guards against "may have run" for a request of which no byte was sent."""
        self.configure()
        idle_connections = IdleConnections(read_clock=lambda: 0.0)
        forwarder = Forwarder(
            idle_connections=idle_connections,
            dialer=make_dialer(idle_connections),
            record_answer=lambda record, facts: None,
            handle_first_event=lambda call, choice: None,
        )
        self.forwarder.send.side_effect = forwarder.send
        with patch("chivetrack.daemon.fleet.dialer.EndpointConnection.connect") as connect:
            connect.side_effect = lambda **options: self.go_on.wait(LIMIT_S)
            serving = self.start()
            connect.assert_called_once()
            self.decide_exit(serving, goes_on=False)
        self.check(NOT_RUN, sent=0)
        self.assertEqual(self.find_end(), ("cut_by_stop", 503))


class SentRequestTest(OpenRequestCase):
    def test_request_is_not_sent_again(self) -> None:
        """Guards against a retry by a router that has decided to exit."""
        self.configure()
        self.result = SendResult(end=SendEnd.REFUSED)
        self.decide_exit(self.start())
        self.check(NOT_RUN, sent=1)
        self.assertEqual(self.ended, ["cut_by_stop"])

    def test_request_without_an_answer_may_have_run(self) -> None:
        """Guards against the close of a connection whose request waits for its answer."""
        self.configure()
        self.decide_exit(self.start(), goes_on=False)
        self.check(MAY_HAVE_RUN, sent=1)
        self.assertEqual(self.find_end(), ("cut_by_stop", 502))
        self.assertEqual(self.ended, ["cut_by_stop"])

    def test_answer_that_has_begun_is_cut(self) -> None:
        """Guards against an answer that is broken off and looks complete."""

        def begin(call: Call, choice: Choice, *, may_retry: bool) -> SendResult:
            call.reply.start(200, [])
            call.reply.write(b"half")
            self.go_on.wait(LIMIT_S)
            return self.result

        self.configure()
        self.forwarder.send.side_effect = begin
        serving = self.start()
        self.decide_exit(serving, goes_on=False)
        self.assertTrue(self.is_cut)
        self.assertEqual((self.caller.status, self.caller.body), (200, b"half"))
        self.assertEqual(self.find_end(), ("cut_by_stop", 200))

    def test_request_that_ends_with_the_decision_is_answered(self) -> None:
        """Guards against an exit that reaches the next request of the same greenlet."""
        self.configure()
        serving = self.start()
        self.decide_exit(serving)
        self.assertEqual((self.caller.status, self.caller.body), (200, b"done"))
        self.assertEqual(self.ended, ["answered"])


if __name__ == "__main__":
    unittest.main()
