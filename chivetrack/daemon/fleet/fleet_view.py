"""The router's view of the fleet: configuration, endpoints, their load and health."""

import time
from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from contextlib import contextmanager

from gevent.event import Event as Signal

from chivetrack.components.announcements.directory import EndpointDirectory
from chivetrack.components.announcements.models import EndpointRecord, EndpointState
from chivetrack.components.deployment.settings import BoundSettings
from chivetrack.components.distribution.load_packing import subtract_load, unpack_loads
from chivetrack.components.distribution.messages import EndpointLoad, View
from chivetrack.components.distribution.subscriber import RouterReport
from chivetrack.components.evacuation.models import Evacuations
from chivetrack.components.limits.completion_times import CompletionTimes
from chivetrack.components.origins.fitting import VersionFilter
from chivetrack.components.origins.models import Origin
from chivetrack.components.paths.zones import may_exclude
from chivetrack.components.placement.choice import (
    Candidate,
    Choice,
    ChoiceContext,
    ComparedChoice,
    Source,
)
from chivetrack.components.placement.placement import Placed, Placement
from chivetrack.components.retries.service_budgets import ServiceRetryBudgets
from chivetrack.components.traffic.models import Document, RouteKind
from chivetrack.components.traffic.requests import AnswerFacts
from chivetrack.components.traffic.table import RouteTable
from chivetrack.daemon.fleet.calls import Call
from chivetrack.daemon.fleet.health import EndpointHealth
from chivetrack.daemon.fleet.quarantine_view import QuarantineView
from chivetrack.helpers.clock import read_boot_clock
from chivetrack.helpers.events import EventLog

# Factor by which the number of routers may fall with each view. A router that is partitioned,
# or whose replica is, sees few others, and would take too much of each endpoint for itself. With
# a view every 0.3 s the number halves in 20 s.
ROUTER_COUNT_DECAY = 0.99
# An endpoint counts as new for this time: prompts are already placed on a new engine while
# other engines still have them cached.
NEW_ENDPOINT_S = 20.0
# Assumed number of routers until the first view arrives.
INITIAL_ROUTER_COUNT = 20.0
# Up to this share of stopping routers, refused callers are told to retry: the load balancer
# may send a retry to any router that it still considers ready.
MAX_STOPPING_SHARE = 0.5
# Cache size of an engine whose profile is not in the configuration.
DEFAULT_MEMORY_TOKENS = 500_000

MAX_LOGGED_ENDPOINTS = 16
MAX_LOGGED_TEXT = 40


class FleetView:
    """Combine the state received from replicas with this router's own observations."""

    def __init__(
        self,
        *,
        zone: str,
        bounds: BoundSettings,
        events: EventLog,
        decode: Callable[[bytes], Document | None],
        forget_endpoint: Callable[[str], None],
        may_begin: Callable[[Origin], bool] | None = None,
        list_lost_zones: Callable[[], Collection[str]] = tuple,
    ) -> None:
        """Start without configuration and endpoints.

        ``decode`` decodes a configuration as the operator sent it, ``forget_endpoint`` closes
        the idle connections to an endpoint, ``may_begin`` returns whether streams may begin at a
        version, ``list_lost_zones`` the zones that this router does not reach.
        """
        self._list_lost_zones = list_lost_zones
        self._events = events
        self._decode = decode
        self._forget_endpoint = forget_endpoint
        self.table: RouteTable | None = None
        self._memory_tokens = DEFAULT_MEMORY_TOKENS
        self.directory = EndpointDirectory()
        self._versions = VersionFilter(
            directory=self.directory, may_begin=may_begin or (lambda origin: True)
        )
        self.placement = Placement(zone=zone)
        self.completion_times = CompletionTimes()
        self.health = EndpointHealth(events=events, is_silent=self.placement.is_silent)
        self.budgets = ServiceRetryBudgets(ratio=bounds.retry_ratio, window_s=bounds.retry_window_s)
        self.quarantine = QuarantineView(events=events)
        self._reported_loads: dict[str, EndpointLoad] = {}
        self._lifetimes: dict[str, tuple[int, str]] = {}
        self._first_seen_at: dict[str, float] = {}
        self._router_count = INITIAL_ROUTER_COUNT
        self._stopping_share = 0.0
        self.is_stopping = False
        self.exits_at = float("inf")
        self.has_view = False
        self._ready = Signal()
        self.document_listeners: list[Callable[[Document], None]] = []
        self.incarnation_end_listeners: list[Callable[[str, int, bool], None]] = []
        self.origin_listeners: list[Callable[[frozenset[Origin]], None]] = []

    # State received from replicas

    @property
    def version(self) -> int:
        """Return the version of the configuration in force at this router, 0 without one."""
        return 0 if self.table is None else self.table.version

    def apply_document(self, version: int, body: bytes) -> None:
        """Put a configuration in force; an invalid one is logged and ignored."""
        document = self._decode(body)
        if document is None:
            self._events.write(
                "configuration_unreadable", version=version, detail="not a valid configuration"
            )
            return
        before = self.version
        self.table = RouteTable(document=document)
        sizes = [one.engine.memory_tokens for one in document.services if one.engine is not None]
        self._memory_tokens = max(sizes, default=DEFAULT_MEMORY_TOKENS)
        self.completion_times.keep({one.name for one in document.routes})
        self._events.write(
            "configuration_in_force",
            version=document.version,
            before=before,
            routes=len(document.routes),
        )
        for listener in self.document_listeners:
            listener(document)

    def handle_view(self, view: View, *, viewed_at: float) -> None:
        """Apply the loads, silent endpoints, evacuations and quarantine that a replica sent.

        The newest view is not older than ``viewed_at`` (s, boot clock).
        """
        now = time.monotonic()
        self._versions.viewed_at = viewed_at
        self.has_view = self.has_view or not view.is_pending
        # Endpoint changes come before placements: when an endpoint appears, the placements
        # recorded for its id are dropped.
        self._apply_changes()
        self._apply_evacuations(view.evacuations)
        if view.quarantine is not None:
            self.quarantine.apply(view.quarantine)
        if view.has_loads:
            self._router_count = max(view.routers, self._router_count * ROUTER_COUNT_DECAY)
            self._stopping_share = view.stopping / max(1, view.routers)
            self.quarantine.update_suspects(view.suspects)
            if view.silent is not None:
                self.update_silent_endpoints(view.silent)
            if view.loads is not None:
                self._apply_loads(view.loads, now)
            self.placement.handle_placements(view.placed, now=now, capacity=self._memory_tokens)
        self._update_ready()

    def _apply_loads(self, loads: Sequence[EndpointLoad], now: float) -> None:
        self.health.handle_peer_loads(loads, now=now)
        self.placement.handle_other_loads(loads, now=now)

    def handle_loads(self, payload: bytes) -> None:
        """Apply the packed loads of all routers, minus the loads that this router reported."""
        unpacked = unpack_loads(payload)
        if unpacked.is_error():
            self._events.write("loads_unreadable", detail=unpacked.error)
            return
        loads = [
            subtract_load(one, self._reported_loads.get(one.endpoint_id)) for one in unpacked.ok
        ]
        self._apply_loads(loads, time.monotonic())

    def apply_endpoints(self, *, is_partial: bool) -> None:
        """Apply the endpoint changes that were merged into the directory's table.

        A partial update contains departures only and is no complete view of the endpoints.
        """
        self.has_view = self.has_view or not is_partial
        self._apply_changes()
        self._update_ready()

    def _update_ready(self) -> None:
        if self.table is not None and not self.directory.is_empty:
            self._ready.set()

    def update_silent_endpoints(self, endpoint_ids: Iterable[str]) -> None:
        """Replace the silent endpoints: those without a recent heartbeat at the replica."""
        silent = frozenset(endpoint_ids)
        if silent != self._versions.silent:
            self._events.write(
                "silent_endpoints_changed",
                count=len(silent),
                silent=sorted(silent)[:MAX_LOGGED_ENDPOINTS],
                before=len(self._versions.silent),
            )
        self._versions.silent = silent

    def wait_until_ready(self, timeout_s: float) -> None:
        """Wait until configuration and endpoints are known, at most ``timeout_s``."""
        self._ready.wait(timeout_s)

    def _apply_changes(self) -> None:
        changed = self.directory.apply_changes(now=time.monotonic())
        for record in changed:
            self._apply_change(record)
        if changed:
            for listener in self.origin_listeners:
                listener(self.directory.all_origins)

    def _apply_evacuations(self, evacuations: Evacuations) -> None:
        before = self.directory.evacuations.list_evacuated()
        if not self.directory.apply_evacuations(evacuations, now=time.monotonic()):
            return
        evacuated = evacuations.list_evacuated()
        for endpoint_id in self.directory.list_ids_in(evacuated):
            self._forget_endpoint(endpoint_id)
        self._events.write(
            "evacuation_in_force",
            revision=evacuations.revision,
            zones=evacuated,
            before=before,
            running=self.count_running_in(evacuated),
        )

    @property
    def do_others_accept(self) -> bool:
        """Return whether a caller's retry will probably reach a router that is not stopping."""
        return self._stopping_share <= MAX_STOPPING_SHARE

    def count_running_in(self, zones: Collection[str]) -> int:
        """Return the number of this router's requests running at endpoints of ``zones``."""
        ids = set(self.directory.list_ids_in(zones))
        return sum(one.running for one in self.placement.list_own() if one.endpoint_id in ids)

    def _apply_change(self, record: EndpointRecord) -> None:
        self._events.write("endpoint_changed", **record.describe())
        lifetime = (record.born, record.software)
        previous = self._lifetimes.get(record.endpoint_id)
        if previous != lifetime:
            # A new incarnation under the id starts with an empty cache and no failures. Another
            # version is one as well, also where the endpoint does not state when it started.
            now = time.monotonic()
            has_restarted = previous is not None
            if previous is not None:
                self._notify_incarnation_end(record.endpoint_id, previous[0], is_departure=False)
            self._lifetimes[record.endpoint_id] = lifetime
            self._first_seen_at[record.endpoint_id] = now
            self.placement.forget(record.endpoint_id, emptied_at=now if has_restarted else None)
            self.health.forget(record.endpoint_id)
            self._forget_endpoint(record.endpoint_id)
        if record.state is not EndpointState.READY:
            self._forget_endpoint(record.endpoint_id)
            is_departure = record.state is not EndpointState.LOST
            self._notify_incarnation_end(record.endpoint_id, record.born, is_departure=is_departure)
        if record.state is EndpointState.LEFT:
            self._drop_observations(record.endpoint_id)

    def _drop_observations(self, endpoint_id: str) -> None:
        self.health.forget(endpoint_id)
        self.placement.forget(endpoint_id)
        self.directory.cold.remove(endpoint_id)

    def forget_expired(self, *, now: float) -> list[EndpointRecord]:
        """Forget the endpoints that left or were lost long ago; return their last records."""
        expired = self.directory.table.remove_expired(now)
        for record in expired:
            self._drop_observations(record.endpoint_id)
            self._lifetimes.pop(record.endpoint_id, None)
            self._first_seen_at.pop(record.endpoint_id, None)
        self._forget_budgets()
        return expired

    def _forget_budgets(self) -> None:
        services = () if self.table is None else self.table.document.services
        self.budgets.forget_idle([one.name for one in services], read_boot_clock())

    def _notify_incarnation_end(self, endpoint_id: str, born: int, *, is_departure: bool) -> None:
        for listener in self.incarnation_end_listeners:
            listener(endpoint_id, born, is_departure)

    def record_answer(self, record: EndpointRecord, facts: AnswerFacts) -> None:
        """Apply the endpoint state reported in the headers of an answer."""
        is_current = self._lifetimes.get(record.endpoint_id) == (record.born, record.software)
        if facts.load is not None and is_current:
            self.placement.record_report(record, facts.load, now=time.monotonic())
        elif facts.unreadable_load:
            self._events.write(
                "load_unreadable",
                endpoint=record.endpoint_id,
                born=record.born,
                stated=facts.unreadable_load[:MAX_LOGGED_TEXT],
            )
        if facts.cold_s > 0:
            self.directory.cold.record_cold(record.endpoint_id, facts.cold_s, now=time.monotonic())
        if facts.pause_s > 0:
            self.directory.record_pause(record, until=time.monotonic() + facts.pause_s)
            self._events.write(
                "endpoint_paused", endpoint=record.endpoint_id, pause_s=facts.pause_s
            )
        if facts.is_leaving and self.directory.record_leaving(record):
            self._events.write("endpoint_leaving", endpoint=record.endpoint_id, born=record.born)
            self._forget_endpoint(record.endpoint_id)

    def get_report(self) -> RouterReport:
        """Return the report of this router's loads, placements and crashes for other routers."""
        now = time.monotonic()
        loads = self.health.add_outcomes(self.placement.list_own(), now=now)
        self._reported_loads = {one.endpoint_id: one for one in loads}
        return RouterReport(
            loads=loads,
            placed=tuple(self.placement.pop_placements(now)),
            crash_reports=self.quarantine.list_crash_reports(now=now),
            answered=self.quarantine.list_answered(now=now),
            quarantine_revision=self.quarantine.revision,
            is_stopping=self.is_stopping,
        )

    # Choice of endpoints

    def choose(self, call: Call) -> Choice | None:
        """Return the endpoint for the next attempt of a request, ``None`` if there is none."""
        candidates, context = self._list_candidates(call)
        return self.placement.choose(candidates, **context)

    def expect_complete_s(self, choice: Choice, call: Call) -> float | None:
        """Return the time (s) within which the answer is complete, ``None`` if it is unknown."""
        expected_s = self.placement.expect_complete_s(choice, call.facts)
        if call.facts.parts or expected_s is None:
            return expected_s
        longest_s = self.completion_times.find(call.route.name)
        return None if longest_s is None else max(longest_s, expected_s)

    def record_complete(self, call: Call, took_s: float) -> None:
        """Record how long a complete answer took."""
        if not call.facts.parts:
            self.completion_times.record(call.route.name, took_s)

    def is_outdated(self, choice: Choice) -> bool:
        """Return whether an endpoint has left, or may get nothing, since it was chosen."""
        return not self.directory.may_get_requests(choice.record, time.monotonic())

    def compare(self, call: Call) -> list[ComparedChoice]:
        """Return all candidates for a request with their cost, without choosing one."""
        candidates, context = self._list_candidates(call)
        return self.placement.compare(candidates, **context)

    def _list_candidates(self, call: Call) -> tuple[list[Candidate], ChoiceContext]:
        now = time.monotonic()
        is_limited = self.find_cold_rate(call.service) > 0
        division = self.directory.partition(
            call.service, passed_over=call.passed_over, is_limited=is_limited, now=now
        )
        fitting = self._list_fitting(call, division.open)
        reached, unreached = self._divide_by_zone(fitting)
        context = ChoiceContext(
            service=None if self.table is None else self.table.find_service(call.service),
            facts=call.facts,
            now=now,
            sources=self._list_sources(call.service, now),
            routers=round(self._router_count),
            resting=[one.endpoint_id for one in (*division.resting, *unreached)],
        )
        return self._filter_untried(call, reached, is_limited, now), context

    def _divide_by_zone(
        self, records: Sequence[EndpointRecord]
    ) -> tuple[Sequence[EndpointRecord], Sequence[EndpointRecord]]:
        """Divide endpoints into those of zones that this router reaches and the others.

        If too few would remain, all count as reached.
        """
        lost = self._list_lost_zones()
        if not lost:
            return records, ()
        reached = [record for record in records if record.zone not in lost]
        unreached = [record for record in records if record.zone in lost]
        return (reached, unreached) if may_exclude(len(unreached), len(records)) else (records, ())

    def is_plain(self, call: Call) -> bool:
        """Return whether a request goes to a service without engines, prompts and cold limits."""
        service = None if self.table is None else self.table.find_service(call.service)
        is_simple = service is not None and service.engine is None and service.cold_per_s == 0
        return is_simple and not call.facts.parts and call.route.kind is not RouteKind.STREAM

    def _list_fitting(
        self, call: Call, records: Sequence[EndpointRecord]
    ) -> Sequence[EndpointRecord]:
        """Return the endpoints whose version may begin the stream, or continue it once begun."""
        return self._versions.list_fitting(
            call.service,
            records,
            origin=call.origin,
            is_stream=call.route.kind is RouteKind.STREAM,
            now=read_boot_clock(),
        )

    def awaits_registration(self, call: Call) -> bool:
        """Return whether a stream can't begin only because no version is registered yet."""
        is_new = call.origin is None and call.route.kind is RouteKind.STREAM
        return is_new and self._versions.awaits_registration(call.service)

    def _filter_untried(
        self, call: Call, records: Sequence[EndpointRecord], is_limited: bool, now: float
    ) -> list[Candidate]:
        tried = {one.endpoint_id for one in call.attempts}
        untried = [
            Candidate(
                record=record,
                is_silent=record.endpoint_id in self._versions.silent,
                is_slow=record.cold_s > 0 and not is_limited,
            )
            for record in records
            if record.endpoint_id not in tried
        ]
        return self.health.filter_candidates(untried, now=now)

    def _list_sources(self, service: str, now: float) -> list[Source]:
        return [
            Source(
                record=record,
                is_new=now - self._first_seen_at.get(record.endpoint_id, now) < NEW_ENDPOINT_S,
            )
            for record in self.directory.list_sources(service)
        ]

    def find_shortest_pause(self, service: str) -> float:
        """Return the shortest remaining pause (s) of a service's ready endpoints.

        The result is 0 if any of them is not paused.
        """
        return self.directory.find_shortest_pause(service, time.monotonic())

    def do_others_reach(self, endpoint_id: str) -> bool | None:
        """Return whether other routers had answers lately, ``None`` if they did not try."""
        return self.health.do_others_reach(endpoint_id, now=time.monotonic())

    def count_candidates(self, service: str) -> int:
        """Return the number of a service's endpoints that may receive requests."""
        return len(self.directory.list_ready(service))

    def count_running(self, service: str, now: float) -> tuple[int, int]:
        """Return how many requests of all routers run at a service, and its slots."""
        records = self.directory.list_ready(service)
        loads = self.placement.loads
        running = sum(loads.count_running(record.endpoint_id, now) for record in records)
        return running, sum(record.slots for record in records)

    def is_cold(self, service: str, endpoint_id: str, now: float) -> bool:
        """Return whether an endpoint is cold and its service limits requests to cold endpoints."""
        return self.find_cold_rate(service) > 0 and self.directory.cold.is_cold(endpoint_id, now)

    def find_cold_rate(self, service: str) -> float:
        """Return the limit of requests per second to a cold endpoint, 0 without a limit."""
        configured = None if self.table is None else self.table.find_service(service)
        return 0.0 if configured is None else configured.cold_per_s

    def find_permit_wait(self, call: Call) -> float | None:
        """Return the time (s) until a permit for any untried cold endpoint may be requested.

        The result is ``None`` if no untried cold endpoint is left.
        """
        now = time.monotonic()
        tried = {one.endpoint_id for one in call.attempts}
        waits = [
            self.directory.cold.find_wait(record.endpoint_id, now)
            for record in self._list_fitting(call, self.directory.list_ready(call.service))
            if record.endpoint_id not in tried
            and not self.directory.find_pause(record, now)
            and self.is_cold(call.service, record.endpoint_id, now)
        ]
        return min(waits, default=None)

    @contextmanager
    def track_request(self, call: Call, choice: Choice) -> Iterator[Placed]:
        """Count a request as running at an endpoint within the context.

        The body sets ``is_complete`` of the yielded placement once the answer is complete.
        """
        now = time.monotonic()
        self.health.record_attempt_start(choice.record.endpoint_id, now=now)
        placed = self.placement.start(
            choice,
            call.facts,
            now=now,
            capacity=self._memory_tokens,
            routers=round(self._router_count),
        )
        call.placed = placed
        try:
            yield placed
        finally:
            call.placed = None
            self.placement.finish(placed, now=time.monotonic())

    def handle_bytes(self, call: Call) -> None:
        """Record that the endpoint at which a request runs has sent bytes."""
        if call.placed is not None:
            self.placement.record_bytes(call.placed, now=time.monotonic())
            self.quarantine.handle_bytes(call)

    def handle_first_event(self, call: Call) -> None:
        """Record that the engine has processed the prompt, as its first event shows."""
        now = time.monotonic()
        call.answer_began_at = now
        if call.placed is not None:
            self.placement.record_first_event(call.placed, now=now)

    def record_overdue(self, call: Call) -> bool:
        """Record that no byte came within the wait limit.

        Return whether the endpoint is silent: answers of it are overdue and it has sent no bytes
        to this router since.
        """
        if call.placed is None:
            return False
        endpoint_id = call.placed.endpoint_id
        if not self.placement.is_silent(endpoint_id, time.monotonic()):
            return False
        self.health.record_overdue(endpoint_id)
        return True
