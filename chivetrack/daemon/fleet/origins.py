"""Finds out at which version streams began, and tells replicas where this router's streams did."""

import time
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field

import gevent
from gevent.event import Event as Signal

from chivetrack.components.origins.const import (
    LOOKUP_TIMEOUT_S,
    MAX_RECORD_DELAY_S,
    RECORD_COPIES,
    RECORD_DELAY_PER_ROUTER_S,
    RECORD_DELAY_S,
    RECORD_GRACE_S,
)
from chivetrack.components.origins.lookup import OriginLookup
from chivetrack.components.origins.messages import OriginAnswer, OriginQuery
from chivetrack.components.origins.models import Origin, OriginBasis, OriginVerdict
from chivetrack.components.origins.quorum import covers_majority, has_all_members
from chivetrack.components.origins.tracker import OriginTracker
from chivetrack.components.traffic.models import Document, Route, RouteKind
from chivetrack.daemon.fleet.calls import Call
from chivetrack.daemon.fleet.const import DEFAULT_CALLER_WAIT_S
from chivetrack.daemon.fleet.pending_requests import count_requests
from chivetrack.helpers.clock import read_boot_clock
from chivetrack.helpers.codec import Message
from chivetrack.helpers.events import EventLog


@dataclass(slots=True)
class _PendingQuery:
    """A query whose answers ``handle_answer`` takes; it returns whether no other is needed.

    ``ends_at`` is a time of the boot clock (s).
    """

    handle_answer: Callable[[str, OriginAnswer], bool]
    ends_at: float
    done: Signal = field(default_factory=Signal)


class OriginClient:
    """Look up the origins of streams at the replicas and keep this router's versions registered."""

    def __init__(
        self,
        *,
        list_replicas: Callable[[], Sequence[str]],
        count_routers: Callable[[], int],
        send: Callable[[str, Message], None],
        events: EventLog,
    ) -> None:
        """Store the callbacks; ``list_replicas`` returns the nearest replicas first."""
        self._list_replicas = list_replicas
        self._count_routers = count_routers
        self._send = send
        self._events = events
        self.tracker = OriginTracker()
        self._numbers = count_requests()
        self._pending: dict[int, _PendingQuery] = {}
        self._changed = Signal()
        self._registered = Signal()
        self._is_send_scheduled = False
        self._sent_at = float("-inf")
        self._restart_count = 0
        self._services: dict[str, frozenset[str]] = {}

    # Queries

    def handle_answer(self, source: str, answer: OriginAnswer) -> None:
        """Deliver a replica's answer; drop it if its query has ended."""
        pending = self._pending.get(answer.number)
        # After a freeze or suspension, answers may be read before the wait is seen to have ended.
        if pending is None or read_boot_clock() > pending.ends_at:
            return
        if pending.handle_answer(source, answer):
            pending.done.set()

    def _ask(self, query: OriginQuery, handle_answer: Callable[[str, OriginAnswer], bool]) -> None:
        """Ask all replicas and wait until the answers suffice or ``LOOKUP_TIMEOUT_S`` has passed.

        Answers that come later do not count: a replica that restarts meanwhile may have forgotten
        what it confirmed, and needs more time than this to start.
        """
        replicas = self._list_replicas()
        if not replicas:
            return
        ends_at = read_boot_clock() + LOOKUP_TIMEOUT_S
        pending = self._pending[query.number] = _PendingQuery(handle_answer, ends_at)
        try:
            for replica in replicas:
                self._send(replica, query)
            pending.done.wait(LOOKUP_TIMEOUT_S)
        finally:
            # Also if the waiting greenlet is killed, for example when a caller disconnects.
            del self._pending[query.number]

    def find(self, call: Call) -> OriginVerdict:
        """Find out at which version the stream began that a caller takes up again."""
        services = list_services(call.route)
        own = self.tracker.find_own(call.facts.resumes, now=time.monotonic())
        if own is not None:
            return _judge_own(*own, services=services)
        return self._look_up(call.facts.resumes, services)

    def _look_up(self, request: str, services: Collection[str]) -> OriginVerdict:
        lookup = OriginLookup(services=services)
        verdicts: list[OriginVerdict] = []

        def handle_answer(source: str, answer: OriginAnswer) -> bool:
            verdict = lookup.handle_answer(source, answer)
            if verdict is not None:
                verdicts.append(verdict)
            return verdict is not None

        query = OriginQuery(
            number=next(self._numbers), services=tuple(sorted(services)), request=request
        )
        self._ask(query, handle_answer)
        return verdicts[0] if verdicts else lookup.conclude()

    # Streams of this router

    def record_begin(self, call: Call) -> None:
        """Record the origin of a stream whose first event is about to be sent to the caller."""
        if call.origin is None or not call.origin.is_known:
            return
        # Of such a stream, nothing but the caller tells that it exists.
        is_inferred = call.origin_basis is OriginBasis.ONLY_VERSION
        if is_inferred and not call.facts.resumes:
            return
        wait_s = call.facts.wait_s or DEFAULT_CALLER_WAIT_S
        self.tracker.record_begin(
            call.facts.resumes or call.facts.request_id,
            call.origin,
            ttl_s=max(wait_s, call.route.timeout_s) + RECORD_GRACE_S,
            is_only_service=len(list_services(call.route)) == 1,
            now=time.monotonic(),
            is_inferred=is_inferred,
        )
        self._schedule_records()

    def _schedule_records(self) -> None:
        """Send records at once, but no more often than the size of the fleet allows."""
        if self._is_send_scheduled or not self.tracker.has_unsent:
            return
        self._is_send_scheduled = True
        delay_s = max(RECORD_DELAY_S, self._count_routers() * RECORD_DELAY_PER_ROUTER_S)
        due_at = self._sent_at + min(MAX_RECORD_DELAY_S, delay_s)
        gevent.spawn_later(max(0.0, due_at - time.monotonic()), self._send_records)

    def _send_records(self) -> None:
        self._is_send_scheduled = False
        self._sent_at = time.monotonic()
        records = self.tracker.pop_records(now=self._sent_at)
        if not records.groups:
            return
        for replica in self._list_replicas()[:RECORD_COPIES]:
            self._send(replica, records)

    def handle_document(self, document: Document) -> None:
        """Send the records of all streams if a route for streams leads to other services now."""
        services = {
            route.name: list_services(route)
            for route in document.routes
            if route.kind is RouteKind.STREAM
        }
        before, self._services = self._services, services
        if any(before[name] != services.get(name) for name in before):
            self.tracker.send_all_records()
            self._schedule_records()

    # Versions

    def handle_endpoints(self, origins: Collection[Origin]) -> None:
        """Apply the versions of the endpoints that may get requests."""
        if origins != self.tracker.announced:
            self.tracker.update_announced(origins, now=time.monotonic())
            self._schedule_records()
            self._changed.set()

    def handle_view(self, *, keeps_origins: bool, restart_count: int) -> None:
        """Apply what a replica's view says about the replicas.

        ``restart_count`` rises when a replica has restarted. If too many have lost their memory,
        streams have to be made known from now on, not from the next regular registration on.
        """
        self.tracker.is_enforced = keeps_origins
        if restart_count != self._restart_count:
            self._restart_count = restart_count
            self.tracker.request_registration(now=time.monotonic())
            self._changed.set()

    def wait_registered(self, timeout_s: float) -> None:
        """Wait until a majority has confirmed versions, at most ``timeout_s``."""
        self._registered.wait(timeout_s)

    def run(self) -> None:
        """Register the announced versions whenever that is due, until the greenlet is killed."""
        while True:
            self._changed.wait(self._find_registration_wait())
            self._changed.clear()
            if self.tracker.announced and time.monotonic() >= self.tracker.register_at:
                self._register()

    def _find_registration_wait(self) -> float | None:
        """Return the time (s) until the next registration, ``None`` until a version is known.

        Otherwise a router without endpoints would look for one all the time, with a whole core.
        """
        if not self.tracker.announced:
            return None
        return max(0.0, self.tracker.register_at - time.monotonic())

    def _register(self) -> None:
        origins = tuple(sorted(self.tracker.announced, key=lambda one: (one.service, one.software)))
        answers: dict[str, OriginAnswer] = {}
        began_at = time.monotonic()

        def handle_answer(source: str, answer: OriginAnswer) -> bool:
            answers[source] = answer
            # Callers may wait for the confirmation; whether there is only one version can wait.
            if self.tracker.confirm(origins, answers):
                self._release_waiting()
            complete = {one: held for one, held in answers.items() if held.is_complete}
            return covers_majority(complete) or has_all_members(answers)

        query = OriginQuery(
            number=next(self._numbers),
            services=tuple(sorted({one.service for one in origins})),
            registers=origins,
        )
        self._ask(query, handle_answer)
        is_confirmed = self.tracker.handle_registration(
            origins, answers, began_at=began_at, now=time.monotonic()
        )
        self._schedule_records()
        self._log_registration(origins, answers, is_confirmed)

    def _release_waiting(self) -> None:
        self._registered.set()
        self._registered = Signal()

    def _log_registration(
        self, origins: Iterable[Origin], answers: dict[str, OriginAnswer], is_confirmed: bool
    ) -> None:
        self._events.write(
            "versions_registered",
            versions=[f"{one.service}/{one.software}" for one in origins],
            single=[f"{one.service}/{one.software}" for one in origins if self._is_single(one)],
            answers=len(answers),
            complete=sum(answer.is_complete for answer in answers.values()),
            is_confirmed=is_confirmed,
        )

    def _is_single(self, origin: Origin) -> bool:
        return self.tracker.is_single(origin)


def list_services(route: Route) -> frozenset[str]:
    """Return the services that a route leads to."""
    return frozenset(share.service for share in route.shares if share.weight > 0)


def _judge_own(origin: Origin, age_s: float, *, services: Collection[str]) -> OriginVerdict:
    if not origin.is_known:
        return OriginVerdict(origin=None, basis=OriginBasis.NO_RECORD, age_s=age_s)
    if origin.service not in services:
        return OriginVerdict(origin=None, basis=OriginBasis.OTHER_SERVICE, age_s=age_s)
    return OriginVerdict(origin=origin, basis=OriginBasis.OWN, age_s=age_s)
