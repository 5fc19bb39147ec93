"""What a router believes of the fleet: configuration, endpoints, their load and health."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random

import msgspec
from gevent.event import Event as Signal

from chivetrack.components.announcements.models import EndpointRecord, EndpointState
from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.deployment.settings import BoundSettings
from chivetrack.components.distribution.const import MANY_ROUTERS
from chivetrack.components.distribution.messages import EndpointLoad, View
from chivetrack.components.distribution.subscriber import OwnNews
from chivetrack.components.endpoints.breaker import Breaker, BreakerState
from chivetrack.components.endpoints.models import OutcomeKind
from chivetrack.components.endpoints.outcomes import HeldChange, OutcomeTable
from chivetrack.components.placement.choice import Candidate, Choice, Chooser, Source
from chivetrack.components.placement.loads import LoadTable
from chivetrack.components.placement.parts import (
    MIN_EXPECTED_TOKENS,
    MIN_TOLD_TOKENS,
    PartBook,
)
from chivetrack.components.retries.sending import SendEnd
from chivetrack.components.retries.window import RetryWindow
from chivetrack.components.traffic.models import Document
from chivetrack.components.traffic.table import RouteTable
from chivetrack.daemon.fleet.calls import Call
from chivetrack.helpers.events import EventLog

# Until its replicas give up an endpoint whose address another one holds: two heartbeats
# after which the successor is known, and as much again.
MISDIRECTED_FOR_S = 5.0

# A router that is cut off, or asks a replica that is, sees few others. Were its part of the
# budget to grow at once, the parts together would exceed it. At a word each 0.3 s, the
# count halves in 20 s, two windows of the budget.
ROUTERS_KEPT = 0.99
# An engine that appeared so lately is the home of prompts that others still have cached.
NEW_FOR_S = 20.0
# Before the first word.
FIRST_ROUTERS = 20.0
# Cached by an engine whose profile the configuration does not tell; the users' engines have
# 260,000 to 547,000.
DEFAULT_MEMORY_TOKENS = 500_000

_OUTCOME_KINDS = {
    SendEnd.NOT_SENT: OutcomeKind.CONNECT,
    SendEnd.MAYBE_RAN: OutcomeKind.CUT,
    SendEnd.FAILED: OutcomeKind.ANSWER,
}


class FleetView:
    """Joins what replicas tell with what this router sees itself."""

    def __init__(
        self,
        *,
        zone: str,
        bounds: BoundSettings,
        events: EventLog,
        decode: Callable[[bytes], Document | None],
        forget_endpoint: Callable[[str], None],
    ) -> None:
        """Start knowing nothing; ``decode`` reads a document as the operator sent it."""
        self._bounds = bounds
        self._events = events
        self._decode = decode
        self._forget_endpoint = forget_endpoint
        self.table: RouteTable | None = None
        self._memory_tokens = DEFAULT_MEMORY_TOKENS
        self.endpoints = EndpointTable()
        self.loads = LoadTable()
        self.parts = PartBook()
        self._outcomes = OutcomeTable(random=Random(), note_change=self._note_held)
        self._chooser = Chooser(zone=zone, loads=self.loads, parts=self.parts)
        self._breakers: dict[str, Breaker] = {}
        self._windows: dict[str, RetryWindow] = {}
        self._silent: frozenset[str] = frozenset()
        self._by_service: dict[str, list[EndpointRecord]] = {}
        self._sources: dict[str, list[EndpointRecord]] = {}
        self._born: dict[str, int] = {}
        self._seen_at: dict[str, float] = {}
        self._misdirected: dict[str, float] = {}
        self._seen_change = -1
        self._routers = FIRST_ROUTERS
        self.has_view = False
        self._ready = Signal()
        self.listeners: list[Callable[[Document], None]] = []

    # What replicas tell

    @property
    def version(self) -> int:
        """Return the version of the configuration in force here."""
        return 0 if self.table is None else self.table.version

    def take_document(self, version: int, body: bytes) -> None:
        """Put a configuration in force."""
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
        self._events.write(
            "configuration_in_force",
            version=document.version,
            before=before,
            routes=len(document.routes),
        )
        for listener in self.listeners:
            listener(document)

    def take_view(self, view: View) -> None:
        """Take what one replica knows of loads and silent endpoints."""
        now = time.monotonic()
        self.has_view = True
        # Before the placements: what is known of an endpoint is dropped as it appears.
        self._note_changes()
        if view.has_loads:
            self._routers = max(view.routers, self._routers * ROUTERS_KEPT)
            self._silent = frozenset(view.silent)
            self.loads.take_others(view.loads, now=now)
            self._outcomes.take_others(view.loads, now=now)
            self.parts.take_news(view.placed, now=now, capacity=self._memory_tokens)
        if self.table is not None and self._by_service:
            self._ready.set()

    def wait_until_ready(self, timeout_s: float) -> None:
        """Wait until configuration and endpoints are known."""
        self._ready.wait(timeout_s)

    def _note_changes(self) -> None:
        """Sort the endpoints by service again after a change."""
        if self._seen_change == self.endpoints.change:
            return
        for record in self.endpoints.list_changes(self._seen_change):
            self._note_change(record)
        self._seen_change = self.endpoints.change
        self._by_service = {}
        self._sources = {}
        for record in self.endpoints.list_records():
            if record.state in (EndpointState.READY, EndpointState.DRAINING):
                self._sources.setdefault(record.service, []).append(record)
            if record.state is EndpointState.READY:
                self._by_service.setdefault(record.service, []).append(record)

    def _note_change(self, record: EndpointRecord) -> None:
        self._events.write("endpoint_changed", **record.describe())
        if self._born.get(record.endpoint_id) != record.born:
            # A new lifetime under the id starts with an empty memory and a clean record.
            self._born[record.endpoint_id] = record.born
            self._seen_at[record.endpoint_id] = time.monotonic()
            self._misdirected.pop(record.endpoint_id, None)
            self.parts.forget(record.endpoint_id)
            self._breakers.pop(record.endpoint_id, None)
            self._outcomes.forget(record.endpoint_id)
            self._forget_endpoint(record.endpoint_id)
        if record.state is not EndpointState.READY:
            self._forget_endpoint(record.endpoint_id)

    def get_news(self) -> OwnNews:
        """Return what the other routers should know of this one."""
        now = time.monotonic()
        return OwnNews(loads=self._list_own(now), placed=tuple(self.parts.list_news(now)))

    def _list_own(self, now: float) -> tuple[EndpointLoad, ...]:
        """Return what this router uses of each endpoint and how its tries ended there."""
        loads = {one.endpoint_id: one for one in self.loads.list_own()}
        for endpoint_id in self._outcomes.list_endpoints():
            answered, failed = self._outcomes.count_own(endpoint_id, now)
            if answered or failed:
                load = loads.get(endpoint_id, EndpointLoad(endpoint_id=endpoint_id, running=0))
                loads[endpoint_id] = msgspec.structs.replace(load, answered=answered, failed=failed)
        return tuple(loads.values())

    # Choosing

    def choose(self, call: Call) -> Choice | None:
        """Return where a request goes next."""
        now = time.monotonic()
        candidates = self._list_candidates(call, now)
        service = None if self.table is None else self.table.find_service(call.service)
        return self._chooser.choose(
            candidates,
            service=service,
            facts=call.facts,
            now=now,
            sources=self._list_sources(call.service, now),
            routers=round(self._routers),
        )

    def _list_candidates(self, call: Call, now: float) -> list[Candidate]:
        """Return who may be chosen.

        Where every circuit breaker of a service is open, the service as a whole is in
        trouble and not one endpoint of it. Refusing all would turn a share of failures
        into failures throughout, so all are tried again then. Likewise no more than half
        are held back by what the fleet has seen: the rest would drown.
        """
        tried = {one.endpoint_id for one in call.tries}
        left = [
            Candidate(record=record, is_silent=record.endpoint_id in self._silent)
            for record in self._by_service.get(call.service, ())
            if record.endpoint_id not in tried and not self._is_misdirected(record, now)
        ]
        closed = [one for one in left if self._lets_through(one.record.endpoint_id, now)]
        let_in = [one for one in closed if self._outcomes.lets_through(one.record.endpoint_id, now)]
        return (let_in if 2 * len(let_in) >= len(left) else closed) or left

    def _is_misdirected(self, record: EndpointRecord, now: float) -> bool:
        at = self._misdirected.get(record.endpoint_id, float("-inf"))
        return now - at < MISDIRECTED_FOR_S

    def _list_sources(self, service: str, now: float) -> list[Source]:
        return [
            Source(
                record=record,
                is_new=now - self._seen_at.get(record.endpoint_id, now) < NEW_FOR_S,
            )
            for record in self._sources.get(service, ())
        ]

    def count_candidates(self, service: str) -> int:
        """Return how many endpoints of a service are known as ready."""
        return len(self._by_service.get(service, ()))

    def note_other_instance(self, endpoint_id: str) -> None:
        """Leave out an endpoint at whose address another one has answered."""
        self._misdirected[endpoint_id] = time.monotonic()
        self._events.write("endpoint_misdirected", endpoint=endpoint_id)

    def _lets_through(self, endpoint_id: str, now: float) -> bool:
        breaker = self._breakers.get(endpoint_id)
        if breaker is None:
            return True
        breaker.tick(now)
        return breaker.lets_through

    @contextmanager
    def use(self, call: Call, choice: Choice) -> Iterator[None]:
        """Count a request at an endpoint for as long as it is there."""
        endpoint_id = choice.record.endpoint_id
        now = time.monotonic()
        breaker = self._breakers.get(endpoint_id)
        if breaker is not None:
            breaker.record_attempt(now)
        if call.facts.parts:
            capacity = self._memory_tokens
            self.parts.note(
                endpoint_id,
                call.facts.shared_parts,
                now=now,
                capacity=capacity,
                min_told=self._find_min_told(choice),
            )
            self.parts.note_own(endpoint_id, call.facts.parts[-1], now=now, capacity=capacity)
        self.loads.start(endpoint_id, choice.missing_tokens)
        seen = call.first_event_at
        try:
            yield
        finally:
            if call.first_event_at is seen:
                self.loads.begin(endpoint_id, choice.missing_tokens)
            self.loads.finish(endpoint_id)

    def _find_min_told(self, choice: Choice) -> int:
        is_expected = choice.is_home and self._routers > MANY_ROUTERS
        return MIN_EXPECTED_TOKENS if is_expected else MIN_TOLD_TOKENS

    def note_first_event(self, call: Call, choice: Choice) -> None:
        """Take a prompt as read."""
        if call.first_event_at is None:
            self.loads.begin(choice.record.endpoint_id, choice.missing_tokens)

    def note_outcome(self, endpoint_id: str, end: SendEnd | None) -> None:
        """Tell the endpoint's circuit breaker how a try ended; a refusal is no failure."""
        if end is SendEnd.REFUSED:
            return
        now = time.monotonic()
        self._outcomes.note(endpoint_id, ok=end is None, now=now)
        breaker = self._breakers.get(endpoint_id)
        if breaker is None:
            breaker = self._breakers[endpoint_id] = Breaker(now=now)
        before = breaker.state
        kind = OutcomeKind.ANSWER if end is None else _OUTCOME_KINDS[end]
        breaker.record(ok=end is None, kind=kind, now=now)
        if breaker.state is not before and BreakerState.OPEN in (before, breaker.state):
            self._events.write(
                "breaker_changed",
                endpoint=endpoint_id,
                state=breaker.state.value,
                reason=breaker.reason,
            )

    def _note_held(self, change: HeldChange) -> None:
        self._events.write(
            "endpoint_held" if change.is_held else "endpoint_let_in",
            endpoint=change.endpoint_id,
            answered=change.answered,
            failed=change.failed,
        )

    # Retry budget

    def _get_window(self, service: str) -> RetryWindow:
        window = self._windows.get(service)
        if window is None:
            bounds = self._bounds
            window = self._windows[service] = RetryWindow(
                ratio=bounds.retry_ratio,
                slack=bounds.retry_slack,
                window_s=bounds.retry_window_s,
            )
        return window

    def note_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._get_window(service).note_request(time.monotonic())

    def note_repeat(self, service: str) -> None:
        """Count a request that is sent once more."""
        self._get_window(service).note_repeat(time.monotonic())

    def has_budget(self, service: str) -> bool:
        """Return whether the fleet's budget leaves room for another repeat."""
        return self._get_window(service).may_repeat(time.monotonic(), routers=round(self._routers))
