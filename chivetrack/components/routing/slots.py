"""Placement by slots that the owners of the endpoints grant.

Each endpoint has one owner among the routers, which knows all requests at the endpoint:
every router sends its counts to the owner with each slot request, and a granted slot stays
reserved until the counts of the requesting router include it. Any number of routers can
therefore place requests at the same time without overfilling an endpoint. If an owner does
not answer in time, the placer chooses by its estimates.
"""

from collections.abc import Collection
from dataclasses import dataclass, replace
from math import inf

from chivetrack.components.load.models import LoadCounts, LoadSummary
from chivetrack.components.load.tracker import LoadTracker
from chivetrack.components.routing.const import (
    AVOID_OWNER_S,
    MAX_QUERIED_ENDPOINTS,
    SLOT_REQUEST_TIMEOUT_S,
)
from chivetrack.components.routing.messages import SlotAnswer, SlotRequest
from chivetrack.components.routing.models import Candidate, Demand, Placement
from chivetrack.components.routing.owners import OwnerMap
from chivetrack.components.routing.placer import LoadSample, Placer
from chivetrack.components.routing.report_schedule import ReportSchedule
from chivetrack.core import Effect, Event, MessageReceived, SendMessage, TimeReached, WakeAt

_NO_ENDPOINT = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Placed(Effect):
    """The placement of a request, which is already counted in the load tracker."""

    request_id: str
    placement: Placement


@dataclass(slots=True, kw_only=True)
class _PendingRequest:
    """A request that has not been placed yet.

    ``samples``: endpoints for which no slot was requested yet; ``tried``: endpoints whose
    slots were requested. ``owner`` and ``answer_due_at``: the owner that got the last slot
    request, and the time until which it may answer.
    """

    request_id: str
    demand: Demand
    samples: list[LoadSample]
    tried: list[LoadSample]
    owner: str = ""
    answer_due_at: float = 0.0
    is_random_order: bool = False


class SlotPlacer:
    """Places requests by slots requested from owners, and grants slots of its own endpoints."""

    def __init__(
        self, *, router_id: str, placer: Placer, load: LoadTracker, router_ids: Collection[str]
    ) -> None:
        """Initialize the placer; ``router_ids`` are all routers, including this one."""
        self._router_id = router_id
        self._placer = placer
        self._load = load
        self._owners = OwnerMap(router_ids=router_ids)
        self._reports = ReportSchedule()
        self._pending: dict[int, _PendingRequest] = {}
        self._ticket = 0
        self._avoided: dict[str, float] = {}
        self._owned: list[str] = []
        self._wake_at = inf

    def set_view(
        self, *, router_ids: Collection[str], endpoint_ids: Collection[str], now: float
    ) -> list[Effect]:
        """Replace the known endpoints and routers, including this one."""
        self._owners.set_routers(router_ids)
        self._owned = [
            name for name in endpoint_ids if self._owners.find_owner(name) == self._router_id
        ]
        self._load.set_owned(self._owned, now)
        return [
            effect
            for name in self._load.list_own()
            for effect in self._schedule_start_report(name, now)
        ]

    def collect_summary(self, now: float) -> LoadSummary:
        """Return the loads of the owned endpoints, to be broadcast to all other routers."""
        loads = {name: int(self._load.get_estimate(name, now).in_flight) for name in self._owned}
        return LoadSummary(loads=loads)

    def place(self, request_id: str, demand: Demand, *, now: float) -> list[Effect]:
        """Begin to place a request.

        The effect ``Placed`` is returned now or from a later call of ``handle``.
        """
        samples = self._placer.sample_endpoints(demand, now=now, count=MAX_QUERIED_ENDPOINTS)
        pending = _PendingRequest(request_id=request_id, demand=demand, samples=samples, tried=[])
        return self._continue(pending, now)

    def finish(self, endpoint_id: str, *, now: float) -> list[Effect]:
        """Record that a placed request has ended."""
        self._load.finish(endpoint_id, now)
        owner = self._owners.find_owner(endpoint_id)
        if owner == self._router_id:
            return []
        self._reports.schedule_finish_report(owner, now)
        return self._schedule_wake()

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Handle a slot request, an answer, reported loads or the time."""
        if isinstance(event, TimeReached):
            if now >= self._wake_at:
                self._wake_at = inf
            return self._expire_requests(now) + self._send_due_reports(now) + self._schedule_wake()
        if not isinstance(event, MessageReceived):
            return []
        if isinstance(event.message, SlotRequest):
            return self._handle_request(event.source, event.message, now)
        if isinstance(event.message, SlotAnswer):
            return self._handle_answer(event.message, now)
        if isinstance(event.message, LoadCounts):
            self._load.merge_counts(event.source, event.message, age_s=0.0, now=now)
        if isinstance(event.message, LoadSummary):
            for name, in_flight in event.message.loads.items():
                self._load.report_total(name, in_flight, age_s=0.0, now=now)
        return []

    def _continue(self, pending: _PendingRequest, now: float) -> list[Effect]:
        while pending.samples:
            owner = self._owners.find_owner(pending.samples[0].endpoint.endpoint_id)
            if owner != self._router_id:
                return self._request_slot(pending, owner, now)
            sample = pending.samples.pop(0)
            pending.tried.append(sample)
            estimate = self._load.get_estimate(sample.endpoint.endpoint_id, now)
            if estimate.in_flight + 1.0 <= sample.limit:
                return self._place_at(pending, sample, now)
        if pending.is_random_order or not pending.tried:
            return self._fall_back(pending, now)
        return self._retry_in_random_order(pending, now)

    def _retry_in_random_order(self, pending: _PendingRequest, now: float) -> list[Effect]:
        """Request a slot at any endpoint after the chat's first choices have refused.

        For a dossier that many chats share, all routers would fill each next choice at the
        same time, one after the other. In random order its requests are distributed over all
        endpoints.
        """
        pending.is_random_order = True
        pending.samples = self._placer.sample_endpoints(
            replace(self._exclude_refused(pending), affinity=""),
            now=now,
            count=MAX_QUERIED_ENDPOINTS,
        )
        return self._continue(pending, now)

    def _exclude_refused(self, pending: _PendingRequest) -> Demand:
        """Return the demand with the endpoints excluded that are known to be full."""
        refused = {sample.endpoint.endpoint_id for sample in pending.tried}
        return replace(pending.demand, excluded=pending.demand.excluded | refused)

    def _request_slot(self, pending: _PendingRequest, owner: str, now: float) -> list[Effect]:
        if self._avoided.get(owner, now) > now:
            return self._fall_back(pending, now)
        queried = [pending.samples.pop(0)]
        while pending.samples and self._is_owned_by(owner, pending.samples[0]):
            queried.append(pending.samples.pop(0))
        pending.tried += queried
        pending.owner = owner
        pending.answer_due_at = now + SLOT_REQUEST_TIMEOUT_S
        self._ticket += 1
        self._pending[self._ticket] = pending
        counts = self._collect_counts(owner, now)
        request = SlotRequest(
            ticket=self._ticket,
            endpoint_ids=[sample.endpoint.endpoint_id for sample in queried],
            limits=[sample.limit for sample in queried],
            counts=counts,
        )
        return [
            SendMessage(target=owner, message=request),
            WakeAt(at=pending.answer_due_at),
            *self._schedule_wake(),
        ]

    def _is_owned_by(self, owner: str, sample: LoadSample) -> bool:
        return self._owners.find_owner(sample.endpoint.endpoint_id) == owner

    def _collect_counts(self, owner: str, now: float) -> LoadCounts:
        """Return the counts for an owner's endpoints, and record them as sent.

        The caller must send them.
        """
        scope = [name for name in self._load.list_own() if self._owners.find_owner(name) == owner]
        self._reports.record_sent(owner, now, has_counts=bool(scope))
        settled = min(self._pending, default=self._ticket + 1) - 1
        return self._load.collect_counts(now, scope=scope, settled=settled)

    def _handle_request(self, source: str, request: SlotRequest, now: float) -> list[Effect]:
        """Answer a slot request; a request that arrives twice gets the same answer."""
        self._load.merge_counts(source, request.counts, age_s=0.0, now=now)
        granted = self._load.find_reserved(source, request.ticket)
        if granted is None:
            granted = self._grant(source, request, now)
        return [SendMessage(target=source, message=SlotAnswer(request.ticket, granted))]

    def _grant(self, source: str, request: SlotRequest, now: float) -> str:
        for endpoint_id, limit in zip(request.endpoint_ids, request.limits, strict=False):
            if self._load.get_estimate(endpoint_id, now).in_flight + 1.0 <= limit:
                self._load.reserve(source, endpoint_id, request.ticket, now)
                return endpoint_id
        return _NO_ENDPOINT

    def _handle_answer(self, answer: SlotAnswer, now: float) -> list[Effect]:
        pending = self._pending.pop(answer.ticket, None)
        if pending is None:
            return []
        for sample in pending.tried:
            if sample.endpoint.endpoint_id == answer.endpoint_id:
                return self._place_at(pending, sample, now)
        return self._continue(pending, now)

    def _expire_requests(self, now: float) -> list[Effect]:
        """Place the requests whose owners have not answered in time by estimates."""
        effects: list[Effect] = []
        expired = [ticket for ticket, each in self._pending.items() if each.answer_due_at <= now]
        for ticket in expired:
            pending = self._pending.pop(ticket)
            pending.tried.clear()
            self._avoided[pending.owner] = now + AVOID_OWNER_S
            effects += self._fall_back(pending, now)
        return effects

    def _fall_back(self, pending: _PendingRequest, now: float) -> list[Effect]:
        """Choose by estimates, preferably not an endpoint that is known to be full."""
        placement = self._placer.place(self._exclude_refused(pending), now=now)
        if placement.endpoint is None:
            placement = self._placer.place(pending.demand, now=now)
        if placement.endpoint is None:
            return [Placed(request_id=pending.request_id, placement=placement)]
        # The request has no reservation, so its owner must get the count immediately.
        owner = self._owners.find_owner(placement.endpoint.endpoint_id)
        if owner != self._router_id:
            self._reports.schedule_immediate_report(owner, now)
        return self._start_placed(pending, placement, now) + self._send_due_reports(now)

    def _place_at(self, pending: _PendingRequest, sample: LoadSample, now: float) -> list[Effect]:
        candidates = tuple(
            Candidate(
                endpoint_id=each.endpoint.endpoint_id,
                in_flight=each.load,
                limit=each.limit,
                age_s=0.0,
                verdict="granted by its owner" if each is sample else "refused by its owner",
            )
            for each in pending.tried[: pending.tried.index(sample) + 1]
        )
        reason = f"slot granted, choice {len(candidates)}"
        placement = Placement(endpoint=sample.endpoint, reason=reason, candidates=candidates)
        return self._start_placed(pending, placement, now)

    def _start_placed(
        self, pending: _PendingRequest, placement: Placement, now: float
    ) -> list[Effect]:
        placed = Placed(request_id=pending.request_id, placement=placement)
        endpoint = placement.endpoint
        if endpoint is None:
            return [placed]
        self._load.start(endpoint.endpoint_id, now)
        return [placed, *self._schedule_start_report(endpoint.endpoint_id, now)]

    def _schedule_start_report(self, endpoint_id: str, now: float) -> list[Effect]:
        owner = self._owners.find_owner(endpoint_id)
        if owner == self._router_id:
            return []
        self._reports.schedule_start_report(owner, now)
        return self._schedule_wake()

    def _schedule_wake(self) -> list[Effect]:
        """Schedule a wake-up for the next report, unless one is scheduled already."""
        due_at = self._reports.find_next_due()
        if due_at is None or due_at >= self._wake_at:
            return []
        self._wake_at = due_at
        return [WakeAt(at=due_at)]

    def _send_due_reports(self, now: float) -> list[Effect]:
        return [
            SendMessage(target=owner, message=self._collect_counts(owner, now))
            for owner in self._reports.list_due(now)
        ]
