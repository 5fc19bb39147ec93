"""State that a router holds for one endpoint, and its update by announcements."""

from dataclasses import dataclass, field
from enum import StrEnum

from chivetrack.components.endpoints.breaker import Breaker, BreakerState
from chivetrack.components.endpoints.flap import FlapCounter
from chivetrack.components.endpoints.models import AnnouncedState, Announcement, EndpointState
from chivetrack.components.endpoints.wire import hash_endpoint

DIRECT_SOURCE = "the endpoint, to this router"


class Acceptance(StrEnum):
    """Result of handling an announcement."""

    ACCEPTED = "taken"
    STALE = "stale"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class RecordSnapshot:
    """Values that determine an endpoint's list entry; compared to detect changes."""

    announcement: Announcement
    holds_lease: bool
    is_refusing: bool
    is_held_back: bool
    drained_by: str
    breaker_state: BreakerState
    lets_through: bool
    failures: int


@dataclass(slots=True, kw_only=True)
class Record:
    """State of one endpoint; all times are on this router's clock.

    ``announced_at`` is when the endpoint sent the current announcement, ``renewed_at`` the
    time of its latest announcement to any router and ``direct_at`` that of the latest to
    this router. ``since`` is when the current state began and ``source`` where it was
    learned from. Until ``refused_until`` the endpoint counts as leaving, because it refused
    a request of this router. ``gone_at`` is when it was last removed from the list.
    ``listed_state`` is its latest list entry, built from ``listed_announcement``.
    ``carriers`` maps each instance that publishes it to the published announcement.
    """

    announcement: Announcement
    announced_at: float
    renewed_at: float
    joined_at: float
    since: float
    source: str
    breaker: Breaker
    direct_at: float = float("-inf")
    is_listed: bool = False
    gone_at: float = float("-inf")
    left_gracefully: bool = False
    refused_until: float = float("-inf")
    last_snapshot: RecordSnapshot | None = None
    listed_state: EndpointState | None = None
    listed_announcement: Announcement | None = None
    leaving_source: str = ""
    drained_by: str = ""
    carriers: dict[str, Announcement] = field(default_factory=dict)
    flaps: FlapCounter = field(default_factory=FlapCounter)

    @property
    def lease_until(self) -> float:
        """Return the time at which the lease expires unless it is renewed."""
        return self.renewed_at + self.announcement.lease_s

    @property
    def endpoint_hash(self) -> int:
        """Return the hash that identifies this incarnation and its state in renewals."""
        current = self.announcement
        return hash_endpoint(current.endpoint_id, current.incarnation, leaving=self.is_leaving)

    @property
    def is_leaving(self) -> bool:
        """Return whether this incarnation has announced that it is leaving."""
        return self.announcement.state is AnnouncedState.LEAVING

    def get_snapshot(self, now: float) -> RecordSnapshot:
        """Return the values at ``now`` that determine the list entry."""
        return RecordSnapshot(
            self.announcement,
            now < self.lease_until,
            now < self.refused_until,
            now < self.flaps.held_until,
            self.drained_by,
            self.breaker.state,
            self.breaker.lets_through,
            0 if self.breaker.state is BreakerState.CLOSED else self.breaker.failures_in_row,
        )

    def renew(self, at: float) -> None:
        """Start the lease at ``at`` unless it already started later."""
        self.renewed_at = max(self.renewed_at, at)

    def accept(self, new: Announcement, *, at: float, source: str, now: float) -> Acceptance:
        """Apply an announcement that the endpoint sent at ``at``."""
        current = self.announcement
        # A relay or a slow connection may deliver an announcement of a process that has been
        # replaced. Its address may meanwhile serve something else.
        if new.incarnation < current.incarnation:
            return Acceptance.STALE
        if new.incarnation > current.incarnation:
            self._start_incarnation(new, at=at, source=source, now=now)
            return Acceptance.ACCEPTED
        return self._accept_same(new, at=at, source=source, now=now)

    def mark_leaving(self, *, source: str, now: float) -> None:
        """Mark this incarnation as leaving, which is final; ``source`` reported it."""
        if self.is_leaving:
            return
        fields = {name: getattr(self.announcement, name) for name in Announcement.__slots__}
        self.announcement = Announcement(**(fields | {"state": AnnouncedState.LEAVING}))
        self.leaving_source = source
        self.since = now
        self.source = source

    def _accept_same(self, new: Announcement, *, at: float, source: str, now: float) -> Acceptance:
        # A "leaving" and an older "ready" announcement may arrive in either order, because
        # different routers forward them. An incarnation that leaves never returns, so
        # "leaving" wins in any order.
        if new.state is AnnouncedState.LEAVING:
            self.renew(at)
            self.mark_leaving(source=source, now=now)
            return Acceptance.ACCEPTED
        if self.is_leaving:
            return Acceptance.LEAVING
        self.renew(at)
        if at >= self.announced_at:
            self.announcement = new
            self.announced_at = at
        return Acceptance.ACCEPTED

    def _start_incarnation(self, new: Announcement, *, at: float, source: str, now: float) -> None:
        lost_without_notice = not self.is_leaving
        self.announcement = new
        self.announced_at = at
        self.renewed_at = at
        self.joined_at = at
        self.direct_at = float("-inf")
        self.refused_until = float("-inf")
        self.since = now
        self.source = source
        self.leaving_source = source if self.is_leaving else ""
        self.breaker = Breaker(now=now)
        if lost_without_notice and self.is_listed:
            self.flaps.record(now)


def make_record(announcement: Announcement, *, at: float, source: str, now: float) -> Record:
    """Return the record of an endpoint that this router has not seen before."""
    return Record(
        announcement=announcement,
        announced_at=at,
        renewed_at=at,
        joined_at=at,
        since=now,
        source=source,
        breaker=Breaker(now=now),
        leaving_source=source if announcement.state is AnnouncedState.LEAVING else "",
    )
