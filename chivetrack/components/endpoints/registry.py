"""Endpoint registry: tracks leases, availability and health of all known endpoints."""

from collections.abc import Callable, Iterable, Sequence

from expression import Error, Ok, Result

from chivetrack.components.endpoints.const import (
    GONE_RETENTION_S,
    MAX_GONE_RECORDS,
    REFUSAL_TTL_S,
    RENEWALS_PER_LEASE,
    RETRACT_AFTER_S,
    TICK_S,
    TOPIC_ENDPOINT,
    TOPIC_RENEWAL,
)
from chivetrack.components.endpoints.evaluation import evaluate_service
from chivetrack.components.endpoints.explanation import explain_record, explain_unknown
from chivetrack.components.endpoints.models import (
    Announcement,
    Drain,
    EndpointState,
    Explanation,
    OutcomeKind,
    Receipt,
)
from chivetrack.components.endpoints.presence import find_drain, make_states, toggle_listing
from chivetrack.components.endpoints.publisher import (
    AnnouncementPublisher,
    decode_announcement,
    decode_renewals,
)
from chivetrack.components.endpoints.record import DIRECT_SOURCE, Acceptance, Record, make_record
from chivetrack.components.gossip.gossip import Gossip
from chivetrack.components.gossip.models import ValueUpdate
from chivetrack.core import Effect, Event, TimeReached, Unsubscribe, WakeAt
from chivetrack.exceptions import Fault


class EndpointRegistry:
    """Registry of all endpoints known to this router; implements routing's ``EndpointView``."""

    def __init__(self, *, gossip: Gossip, instance_id: str) -> None:
        """Create an empty registry and subscribe to announcements and renewals from gossip."""
        self._records: dict[str, Record] = {}
        self._records_by_hash: dict[int, Record] = {}
        self._publisher = AnnouncementPublisher(gossip=gossip, instance_id=instance_id)
        self._instance_id = instance_id
        self._drains: tuple[Drain, ...] = ()
        self._lists: dict[str, tuple[EndpointState, ...]] = {}
        self._degraded: frozenset[str] = frozenset()
        self._changed_services: set[str] = set()
        self._version = 0
        self._next_tick = float("-inf")
        self._callbacks: list[Callable[[int], None]] = []
        gossip.subscribe(TOPIC_ENDPOINT, self._handle_announcement)
        gossip.subscribe(TOPIC_RENEWAL, self._handle_renewals)

    @property
    def version(self) -> int:
        """Return a number that increases with each change of the lists."""
        return self._version

    def list_endpoints(self, service: str) -> Sequence[EndpointState]:
        """Return all endpoints of a service that hold a lease, of any availability."""
        return self._lists.get(service, ())

    def list_services(self) -> Sequence[str]:
        """Return the names of services that have listed endpoints."""
        return tuple(self._lists)

    def is_degraded(self, service: str) -> bool:
        """Return whether suspect endpoints are kept available because there are too many."""
        return service in self._degraded

    def subscribe(self, callback: Callable[[int], None]) -> Unsubscribe:
        """Call ``callback`` with the new version after each change of the lists."""
        self._callbacks.append(callback)

        def unsubscribe() -> None:
            if callback in self._callbacks:
                self._callbacks.remove(callback)

        return unsubscribe

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Expire leases and delays and publish renewals when a tick is due."""
        if not isinstance(event, TimeReached):
            return []
        if now >= self._next_tick:
            self._next_tick = now + TICK_S
            self._tick(now)
        return [WakeAt(at=self._next_tick)]

    def announce(self, announcement: Announcement, *, now: float) -> Result[Receipt, Fault]:
        """Handle an announcement that an endpoint sent to this router.

        Returns a fault for an outdated incarnation, or for one that has already announced
        that it is leaving.
        """
        record, acceptance = self._accept(announcement, at=now, source=DIRECT_SOURCE, now=now)
        if acceptance is Acceptance.STALE:
            current = record.announcement.incarnation
            return Error(
                Fault(
                    code="stale_incarnation",
                    message=f"incarnation {current} of {announcement.endpoint_id} was already seen",
                    status=409,
                )
            )
        if acceptance is Acceptance.LEAVING:
            return Error(
                Fault(
                    code="endpoint_leaving",
                    message=f"{announcement.endpoint_id} has announced that it is leaving;"
                    " announce a higher incarnation to return",
                    status=409,
                )
            )
        record.direct_at = now
        self._publisher.publish_announcement(record, now=now)
        self._update([record], now)
        return Ok(
            Receipt(
                endpoint_id=announcement.endpoint_id,
                incarnation=announcement.incarnation,
                renew_after_s=announcement.lease_s / RENEWALS_PER_LEASE,
                state=record.announcement.state,
            )
        )

    def record_attempt(self, endpoint_id: str, *, now: float) -> None:
        """Record that a request is being sent to an endpoint."""
        record = self._records.get(endpoint_id)
        if record is None:
            return
        record.breaker.record_attempt(now)
        self._update([record], now)

    def record_outcome(self, endpoint_id: str, ok: bool, kind: OutcomeKind, now: float) -> None:
        """Record the outcome of an own attempt; it affects this router's list only."""
        record = self._records.get(endpoint_id)
        if record is None:
            return
        if kind is OutcomeKind.LEAVING:
            record.refused_until = now + REFUSAL_TTL_S
        else:
            record.breaker.record(ok=ok, kind=kind, now=now)
        self._update([record], now)

    def set_drained(self, drains: Iterable[Drain], *, now: float) -> None:
        """Replace the active drains."""
        self._drains = tuple(drains)
        self._update(self._records.values(), now)

    def explain(self, endpoint_id: str, *, now: float) -> Explanation:
        """Return why an endpoint is available or not, since when, and the source of it."""
        record = self._records.get(endpoint_id)
        if record is None:
            return explain_unknown(endpoint_id)
        listed = self._lists.get(record.announcement.service, ())
        listed_state = next((state for state in listed if state.endpoint_id == endpoint_id), None)
        return explain_record(record, listed_state, now=now)

    # Incoming announcements

    def _handle_announcement(self, update: ValueUpdate) -> None:
        if update.payload is None:
            record = self._records.get(update.key)
            if record is not None:
                record.carriers.pop(update.origin, None)
            return
        body = decode_announcement(update)
        if body is None:
            return
        at = update.now - update.age_s
        source = f"router {update.origin}"
        record, _ = self._accept(body, at=at, source=source, now=update.now)
        record.carriers[update.origin] = body
        self._update([record], update.now, defer_rebuild=not record.is_listed)

    def _handle_renewals(self, update: ValueUpdate) -> None:
        renewals = decode_renewals(update)
        if renewals is None:
            return
        renewed: list[Record] = []
        for renewal in renewals.renewals:
            record = self._records_by_hash.get(renewal.endpoint_hash)
            if record is None:
                continue
            record.renew(update.now - update.age_s - renewal.age_ds / 10)
            renewed.append(record)
        self._update(renewed, update.now, defer_rebuild=True)

    def _accept(
        self, announcement: Announcement, *, at: float, source: str, now: float
    ) -> tuple[Record, Acceptance]:
        record = self._records.get(announcement.endpoint_id)
        if record is None:
            record = make_record(announcement, at=at, source=source, now=now)
            self._records[announcement.endpoint_id] = record
            self._records_by_hash[record.endpoint_hash] = record
            return record, Acceptance.ACCEPTED
        self._records_by_hash.pop(record.endpoint_hash, None)
        acceptance = record.accept(announcement, at=at, source=source, now=now)
        self._records_by_hash[record.endpoint_hash] = record
        return record, acceptance

    # Periodic work

    def _tick(self, now: float) -> None:
        for record in self._records.values():
            record.breaker.tick(now)
        self._update(self._records.values(), now)
        self._retract_outdated_announcements(now)
        self._publisher.publish_pending(self._records.values(), now=now)
        self._publisher.publish_renewals(self._records.values(), now=now)
        self._prune_gone(now)

    def _retract_outdated_announcements(self, now: float) -> None:
        for record in self._records.values():
            own = record.carriers.get(self._instance_id)
            if own is None:
                continue
            is_gone = now >= record.lease_until + RETRACT_AFTER_S
            if is_gone or own.incarnation < record.announcement.incarnation:
                self._publisher.retract_announcement(record, now=now)
            # A router that starts now would otherwise get the older "ready" state from here.
            elif own.state is not record.announcement.state:
                self._publisher.publish_announcement(record, now=now)

    def _prune_gone(self, now: float) -> None:
        gone = [record for record in self._records.values() if not record.is_listed]
        gone.sort(key=lambda record: record.lease_until)
        excess = max(0, len(gone) - MAX_GONE_RECORDS)
        for index, record in enumerate(gone):
            if index >= excess and now < record.lease_until + GONE_RETENTION_S:
                continue
            del self._records[record.announcement.endpoint_id]
            self._records_by_hash.pop(record.endpoint_hash, None)

    def _update(
        self, records: Iterable[Record], now: float, *, defer_rebuild: bool = False
    ) -> None:
        """Update the lists of all services in which one of these records changed.

        ``defer_rebuild`` leaves the lists to the next tick. After a start, hundreds of
        announcements arrive one by one, and a rebuild for each would take most of the CPU
        time. Announcements of endpoints that are already listed take effect at once.
        """
        services = self._changed_services
        for record in records:
            record.drained_by = find_drain(self._drains, record.announcement)
            snapshot = record.get_snapshot(now)
            if snapshot == record.last_snapshot:
                continue
            if record.last_snapshot is not None:
                services.add(record.last_snapshot.announcement.service)
            services.add(record.announcement.service)
            if snapshot.holds_lease != record.is_listed:
                toggle_listing(record, self._records.values(), now=now)
            record.last_snapshot = record.get_snapshot(now)
        if services and not defer_rebuild:
            self._rebuild(services, now)
            services.clear()

    def _rebuild(self, services: set[str], now: float) -> None:
        lists = dict(self._lists)
        degraded = set(self._degraded)
        for service in services:
            listed = [record for record in self._records.values() if _is_listed(record, service)]
            evaluation = evaluate_service(listed, now)
            lists[service] = make_states(listed, evaluation)
            degraded.discard(service)
            if evaluation.is_degraded:
                degraded.add(service)
        self._degraded = frozenset(degraded)
        self._replace_lists({service: states for service, states in lists.items() if states})

    def _replace_lists(self, lists: dict[str, tuple[EndpointState, ...]]) -> None:
        if lists == self._lists:
            return
        self._lists = lists
        self._version += 1
        for callback in tuple(self._callbacks):
            callback(self._version)


def _is_listed(record: Record, service: str) -> bool:
    return record.is_listed and record.announcement.service == service
