"""Admits callers' requests and processes each of them until it is answered or refused."""

import time
from collections.abc import Callable, Iterable
from enum import Enum, auto
from typing import Any

import gevent
import xxhash

from chivetrack.components.caller_api.body import read_body
from chivetrack.components.caller_api.const import (
    BODY_TIMEOUT_S,
    ENVIRON_CONNECTED_AT,
    ENVIRON_HEADERS,
    ENVIRON_SOCKET,
    ENVIRON_TARGET,
)
from chivetrack.components.caller_api.open_requests import ExitDecidedError, OpenRequests
from chivetrack.components.caller_api.watch import CallerLeftError, watch_caller
from chivetrack.components.distribution.document_receiver import DocumentReceiver
from chivetrack.components.limits.stopping import StopWindow
from chivetrack.components.origins.const import LOOKUP_TIMEOUT_S
from chivetrack.components.origins.models import Continuation, OriginBasis, OriginVerdict
from chivetrack.components.placement.choice import Choice
from chivetrack.components.quarantine.fingerprint import make_fingerprint
from chivetrack.components.retries.sending import (
    SendAttempt,
    SendEnd,
    allows_retry,
    count_possible_runs,
    has_reached,
    make_final_fault,
    may_have_run,
    may_send_again,
)
from chivetrack.components.traffic.models import Route, Workspace
from chivetrack.components.traffic.requests import RequestFacts
from chivetrack.components.traffic.table import RouteTable
from chivetrack.daemon.fleet.admission import AdmissionClient, Slot
from chivetrack.daemon.fleet.calls import Call, Reply
from chivetrack.daemon.fleet.const import (
    DEFAULT_CALLER_WAIT_S,
    MAX_REQUESTS,
    NO_DOCUMENT_RETRY_S,
    NO_ENDPOINT_RETRY_S,
    START_WAIT_S,
)
from chivetrack.daemon.fleet.crashes import CrashDetector
from chivetrack.daemon.fleet.fleet_view import FleetView
from chivetrack.daemon.fleet.forwarder import AnswerCutError, Forwarder, make_tried
from chivetrack.daemon.fleet.late_requests import LateRequests
from chivetrack.daemon.fleet.origins import OriginClient
from chivetrack.daemon.fleet.permits import PermitClient
from chivetrack.daemon.fleet.refusals import Refusals
from chivetrack.daemon.fleet.request_log import RequestLog
from chivetrack.daemon.fleet.retry_budget import RetryBudgetClient
from chivetrack.exceptions import Fault, FaultError, Ran
from chivetrack.helpers.events import EventLog
from chivetrack.platform.headers import read_request_facts


class RouteTimeoutError(BaseException):
    """The timeout of the route or the caller's own wait limit has passed."""


class _Progress(Enum):
    """What became of an attempt: ``OUTDATED`` ones were not sent, as their endpoint has left."""

    ENDED = auto()
    FAILED = auto()
    OUTDATED = auto()


class RequestHandler:
    """The WSGI application of the listener for callers."""

    def __init__(
        self,
        *,
        view: FleetView,
        forwarder: Forwarder,
        permits: PermitClient,
        admission: AdmissionClient,
        retry_budget: RetryBudgetClient,
        crash_detector: CrashDetector,
        documents: DocumentReceiver,
        origins: OriginClient,
        events: EventLog,
        record_end: Callable[[Call, str], None],
        record_rejection: Callable[[Fault], None],
        record_continuation: Callable[[Continuation], None],
        record_budget: Callable[[bool], None] = lambda has_budget: None,
    ) -> None:
        """Store the components that requests need.

        ``record_end`` receives each finished request and its outcome, ``record_rejection``
        the fault of each request that is refused without being sent, ``record_continuation``
        each placement that continues a stream, ``record_budget`` whether the retry budget allowed
        a retry.
        """
        self._view = view
        self._forwarder = forwarder
        self._permits = permits
        self._admission = admission
        self._retry_budget = retry_budget
        self._crash_detector = crash_detector
        self._documents = documents
        self._origins = origins
        self._log = RequestLog(
            view=view,
            events=events,
            record_rejection=record_rejection,
            record_continuation=record_continuation,
            record_budget=record_budget,
            describe_budget=retry_budget.describe,
        )
        self._refusals = Refusals(view=view, log=self._log)
        self.late_requests = LateRequests(view=view, log=self._log)
        self._record_end = record_end
        self.open_requests = OpenRequests()
        self.cut_count = 0
        self._started_at = time.monotonic()

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve one request as a WSGI application."""
        reply = Reply(start_response=start_response)
        with self.open_requests.track():
            try:
                self._serve(environ, reply)
            except FaultError as error:
                reply.refuse(error.fault)
        return ()

    def _serve(self, environ: dict[str, Any], reply: Reply) -> None:
        came_at = time.monotonic()
        headers = environ[ENVIRON_HEADERS]
        facts = read_request_facts({name.lower(): value for name, value in headers})
        try:
            call = self._admit(environ, facts, reply, came_at)
        except FaultError as error:
            self._log.write_rejected(facts, error.fault, path=environ["PATH_INFO"])
            raise
        except ExitDecidedError:
            self.late_requests.refuse(environ, reply, came_at=came_at)
            return
        try:
            with watch_caller(environ.get(ENVIRON_SOCKET)):
                self._process(call)
        except CallerLeftError:
            self._end(call, "caller_left")
            raise AnswerCutError("the caller disconnected") from None
        except ExitDecidedError:
            self._end_by_exit(call)

    def begin_stop(self, window: StopWindow, *, now: float) -> None:
        """Accept only requests that can end within ``window``; the stop began at ``now`` (s)."""
        self._refusals.window = window
        self._view.is_stopping = True
        self._view.exits_at = window.exits_at
        self._log.stopping_since = now

    def end_stop(self) -> None:
        """End the requests in progress, with an answer wherever one is possible."""
        self.open_requests.end()

    def _end_by_exit(self, call: Call) -> None:
        self.cut_count += 1
        try:
            self._refusals.refuse_at_exit(call)
        finally:
            self._end(call, "cut_by_stop")

    def _admit(
        self, environ: dict[str, Any], facts: RequestFacts, reply: Reply, came_at: float
    ) -> Call:
        """Check a request against the configuration and read its body; raise ``FaultError``."""
        table = self._view.table or self._wait_for_table(facts, came_at)
        if table is None:
            raise FaultError(_make_refusal("no_configuration", 503, NO_DOCUMENT_RETRY_S))
        if self._documents.is_long_outdated(came_at):
            raise FaultError(_make_outdated())
        if len(self.open_requests) > MAX_REQUESTS:
            raise FaultError(_make_refusal("instance_full", 503, NO_ENDPOINT_RETRY_S))
        target = environ[ENVIRON_TARGET]
        route = table.find_route(environ.get("HTTP_HOST", ""), target.partition("?")[0])
        if route is None:
            raise FaultError(self._make_unknown("unknown_route", 404))
        workspace = self._identify(table, route, facts)
        wait_s = DEFAULT_CALLER_WAIT_S if facts.wait_s is None else facts.wait_s
        limit = table.document.limits.max_body_bytes
        body = read_body(environ, limit=limit, timeout_s=BODY_TIMEOUT_S)
        return Call(
            facts=facts,
            route=route,
            workspace=workspace,
            method=environ["REQUEST_METHOD"],
            target=target,
            headers=environ[ENVIRON_HEADERS],
            body=body,
            reply=reply,
            came_at=came_at,
            ends_at=came_at + min(wait_s, route.timeout_s),
            service=choose_service(route, facts.resumes or facts.request_id),
            connected_at=environ.get(ENVIRON_CONNECTED_AT, came_at),
            fingerprint=make_fingerprint(
                method=environ["REQUEST_METHOD"],
                target=target,
                workspace="" if workspace is None else workspace.name,
                body=body,
            ),
            last_event_id=facts.last_event_id,
        )

    def _wait_for_table(self, facts: RequestFacts, now: float) -> RouteTable | None:
        """Wait for the configuration until ``START_WAIT_S`` after the start of the router.

        After a power loss of all instances, a caller's only retry may arrive when routers
        run but no replica leads yet. Refusing it would lose the request, although the
        configuration most likely arrives within a few hundred milliseconds. A router that
        has been running longer without a configuration refuses at once.
        """
        left_s = self._started_at + START_WAIT_S - now
        wait_s = DEFAULT_CALLER_WAIT_S if facts.wait_s is None else facts.wait_s
        if left_s > 0:
            self._view.wait_until_ready(min(left_s, wait_s / 2))
        return self._view.table

    def _make_unknown(self, code: str, status: int) -> Fault:
        """Return the refusal of a request that the configuration does not allow.

        If operators were acknowledged a newer configuration, that one may allow it.
        """
        if self._documents.is_outdated:
            return _make_outdated()
        return _make_refusal(code, status, None)

    def _identify(self, table: RouteTable, route: Route, facts: RequestFacts) -> Workspace | None:
        if not table.needs_keys:
            return None
        workspace = table.find_workspace(facts.key)
        if workspace is None and not route.is_public:
            raise FaultError(self._make_unknown("unknown_key", 401))
        return workspace

    def _process(self, call: Call) -> None:
        self._retry_budget.record_request(call.service)
        try:
            with gevent.Timeout(max(0.001, call.ends_at - time.monotonic()), RouteTimeoutError):
                if self._find_origin(call):
                    self._try_endpoints(call)
            self._end(call, "answered")
        except RouteTimeoutError:
            self._handle_timeout(call)
        except AnswerCutError:
            self._end(call, "cut")
            raise
        finally:
            self._release_retry(call)

    def _handle_timeout(self, call: Call) -> None:
        self._end(call, "timeout")
        if call.reply.is_started:
            raise AnswerCutError("the request timed out during its answer")
        if call.deliver_failure():
            return
        if not may_have_run(call.attempts):
            call.reply.refuse(_make_refusal("timeout", 503, NO_ENDPOINT_RETRY_S))
            return
        message = "The request timed out; it may have run."
        call.reply.refuse(Fault(code="timeout", message=message, status=504, ran=Ran.MAYBE))

    def _find_origin(self, call: Call) -> bool:
        """Find out where a stream began that the caller takes up; refuse it if that is unknown."""
        if not call.is_taken_up:
            return True
        verdict = self._look_up_origin(call)
        if verdict.origin is None:
            self._refusals.refuse_unknown_origin(call, verdict)
            return False
        call.take_up(verdict)
        self._origins.record_begin(call)
        return True

    def _look_up_origin(self, call: Call) -> OriginVerdict:
        """Ask the replicas, right after the start again until a majority of them is reached.

        Replicas without their memory answer at once; asking them without a pause is a flood.
        """
        ends_at = time.monotonic() + self._find_start_left(call)
        while True:
            asked_at = time.monotonic()
            verdict = self._origins.find(call)
            if verdict.basis is not OriginBasis.NO_MAJORITY or time.monotonic() >= ends_at:
                return verdict
            gevent.sleep(max(0.0, asked_at + LOOKUP_TIMEOUT_S - time.monotonic()))

    def _try_endpoints(self, call: Call) -> None:
        while True:
            choice = self._prepare_attempt(call)
            if choice is None:
                return
            progress = self._try_endpoint(call, choice)
            if progress is _Progress.ENDED:
                return
            if progress is _Progress.OUTDATED:
                continue
            refusal = self._find_retry_refusal(call)
            if refusal:
                self._abandon(call, refusal)
                return

    def _prepare_attempt(self, call: Call) -> Choice | None:
        """Return the endpoint for the next attempt, ``None`` if the request is answered instead."""
        if self._refusals.refuse_quarantined(call):
            return None
        choice = self._choose(call)
        if choice is None:
            self._abandon(call, self._explain_no_choice(call))
            return None
        if self._refusals.refuse_during_stop(call, choice):
            return None
        if not call.attempts and self._refusals.refuse_infeasible(call, choice):
            return None
        return choice

    def _try_endpoint(self, call: Call, choice: Choice) -> _Progress:
        """Send the request once it has a slot.

        The endpoint may have left during the wait for a permit or a slot. It would run the request,
        and end before it answers.
        """
        with self._admission.hold_slot(call, choice) as slot:
            if slot.retry_after_s is not None:
                self._refuse_without_slot(call, slot.retry_after_s)
                return _Progress.ENDED
            if self._view.is_outdated(slot.choice):
                self._log.write_outdated(call, slot.choice)
                return _Progress.OUTDATED
            if not self._commit_retry(call):
                self._abandon(call, "no_budget")
                return _Progress.ENDED
            self.open_requests.raise_if_ended()
            return _Progress.ENDED if self._send(call, slot) else _Progress.FAILED

    def _refuse_without_slot(self, call: Call, retry_after_s: float) -> None:
        if may_have_run(call.attempts):
            self._abandon(call, "no_slot")
        else:
            self._refusals.refuse_without_slot(call, retry_after_s)

    def _choose(self, call: Call) -> Choice | None:
        """Return the endpoint for the next attempt; a cold endpoint needs a permit.

        While no version is registered, as right after the start, wait for that.
        If all endpoints are cold and refuse, wait until a permit may be requested again,
        unless the request would time out before that.
        """
        if self._view.awaits_registration(call):
            self._origins.wait_registered(self._find_start_wait(call))
        while True:
            choice = self._view.choose(call)
            if choice is not None:
                if self._permits.allows(call.service, choice.record.endpoint_id):
                    return choice
                call.passed_over.add(choice.record.endpoint_id)
                continue
            wait_s = self._view.find_permit_wait(call)
            if wait_s is None or wait_s >= call.ends_at - time.monotonic():
                return None
            call.passed_over.clear()
            gevent.sleep(wait_s)

    def _find_start_wait(self, call: Call) -> float:
        """Return how long (s) a stream waits for its versions to be confirmed."""
        return max(LOOKUP_TIMEOUT_S, self._find_start_left(call))

    def _find_start_left(self, call: Call) -> float:
        """Return how long (s) a request may still wait as the router has just started.

        As for the configuration: replicas may start as well. Negative once that has passed.
        """
        now = time.monotonic()
        return min(self._started_at + START_WAIT_S - now, (call.ends_at - now) / 2)

    def _explain_no_choice(self, call: Call) -> str:
        if call.origin is not None:
            return "no_endpoint_of_version"
        return "version_unconfirmed" if self._view.awaits_registration(call) else "no_candidate"

    def _find_retry_refusal(self, call: Call) -> str:
        """Return why there may be no other attempt; otherwise reserve one and return nothing."""
        left_s = call.ends_at - time.monotonic()
        if not may_send_again(call.route, call.attempts, left_s=left_s):
            return "tries_used_up"
        if not has_reached(call.attempts):
            return ""
        if self._view.quarantine.is_suspected(call):
            return "suspected"
        call.reservation = self._retry_budget.reserve(call.service)
        self._log.write_budget(call)
        return "no_budget" if call.reservation is None else ""

    def _commit_retry(self, call: Call) -> bool:
        """Use the reserved retry, if the next attempt is one; return whether it may be sent."""
        reservation, call.reservation = call.reservation, None
        return reservation is None or self._retry_budget.commit(reservation)

    def _release_retry(self, call: Call) -> None:
        if call.reservation is not None:
            self._retry_budget.release(call.reservation)
            call.reservation = None

    def _send(self, call: Call, slot: Slot) -> bool:
        """Send the request to one endpoint; return whether the caller has its answer."""
        choice = slot.choice
        endpoint_id = choice.record.endpoint_id
        may_retry = allows_retry(
            call.route, count_possible_runs(call.attempts) + 1
        ) and self._retry_budget.may_retry(call.service)
        self._log.write_placed(call, choice)
        with self._view.track_request(call, choice) as placed:
            # If the request times out or the caller disconnects, this attempt may have run.
            call.attempts.append(SendAttempt(endpoint_id=endpoint_id, end=SendEnd.MAYBE_RAN))
            call.answer_began_at = None
            result = self._forwarder.send(call, choice, may_retry=may_retry)
            call.attempts.pop()
            has_hedge_won = result.winner not in (None, choice)
            is_complete = result.is_answered and result.status < 500
            placed.is_complete = is_complete and not has_hedge_won
            slot.took_s = time.monotonic() - placed.started_at if placed.is_complete else 0.0
            slot.is_rejected = result.end is SendEnd.REFUSED and not result.is_other_instance
        if is_complete:
            self._view.quarantine.record_sound(call)
            self._view.record_complete(call, time.monotonic() - placed.started_at)
        if result.loser is not None:
            call.attempts.append(
                SendAttempt(endpoint_id=result.loser.record.endpoint_id, end=SendEnd.MAYBE_RAN)
            )
        choice = result.winner or choice
        endpoint_id = choice.record.endpoint_id
        if result.end is None:
            self._view.health.record_outcome(
                endpoint_id, SendEnd.FAILED if result.status >= 500 else None
            )
            self._log.write_attempt(call, choice, "answered", f"status {result.status}")
            return True
        call.attempts.append(make_tried(choice, result))
        call.failure = result.failure or call.failure
        if result.is_other_instance:
            self._view.health.record_misdirected(endpoint_id)
        self._log.write_attempt(call, choice, result.end.value, result.detail)
        if not result.is_path_suspected:
            self._view.health.record_outcome(endpoint_id, result.end)
        if result.end is SendEnd.MAYBE_RAN:
            self._crash_detector.record_broken_answer(call, choice.record)
        return False

    def _abandon(self, call: Call, why: str) -> None:
        pause_s = self._view.find_shortest_pause(call.service)
        retry_after_s = max(NO_ENDPOINT_RETRY_S, pause_s)
        fault = make_final_fault(call.attempts, retry_after_s=retry_after_s)
        status = fault.status if call.failure is None else call.failure.status
        self._log.write_given_up(call, status, why=why, pause_s=pause_s)
        if call.reply.is_started:
            raise AnswerCutError("the stream can't be resumed at another endpoint")
        if not call.deliver_failure():
            call.reply.refuse(fault)

    def _end(self, call: Call, outcome: str) -> None:
        now = time.monotonic()
        self._record_end(call, outcome)
        self._log.write_ended(call, outcome, now=now)


def choose_service(route: Route, request_id: str) -> str:
    """Return the service for a request by the weights of the route's shares.

    The choice depends on the request id only: of a caller that takes up a stream on the id of
    the request that began it, so that it gets the same service.
    """
    total = sum(share.weight for share in route.shares)
    point = xxhash.xxh64_intdigest(request_id.encode()) / 2**64 * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


def _make_outdated() -> Fault:
    return _make_refusal("configuration_outdated", 503, NO_ENDPOINT_RETRY_S)


def _make_refusal(code: str, status: int, retry_after_s: float | None) -> Fault:
    message = f"The request has not run: {code.replace('_', ' ')}."
    return Fault(code=code, message=message, status=status, ran=Ran.NO, retry_after_s=retry_after_s)
