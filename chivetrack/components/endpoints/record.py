"""What a router knows of one endpoint, and how announcements change it."""

from dataclasses import dataclass, field
from enum import StrEnum

from chivetrack.components.endpoints.breaker import Breaker, BreakerState
from chivetrack.components.endpoints.flap import FlapCounter
from chivetrack.components.endpoints.models import AnnouncedState, Announcement, EndpointState
from chivetrack.components.endpoints.wire import hash_endpoint

DIRECT_SOURCE = "the endpoint, here"


class Acceptance(StrEnum):
    """What became of an announcement."""

    ACCEPTED = "taken"
    STALE = "stale"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class RecordSnapshot:
    """All that the list shows of an endpoint depends on; compared to find changes."""

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
    """One endpoint; times are this router's.

    ``announced_at`` is when the endpoint sent the announcement that is held,
    ``renewed_at`` the latest sign of it from any router and ``direct_at`` the latest
    at this one. ``refused_until`` is kept after it refused work here as leaving.
    ``present`` means that it is listed; ``gone_at`` is its last loss. ``shown`` is what
    the list last said of it, by the announcement ``listed_announcement``.
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
        """Return when the lease runs out unless it is renewed."""
        return self.renewed_at + self.announcement.lease_s

    @property
    def endpoint_hash(self) -> int:
        """Return the name of this incarnation, as it stands, in renewals."""
        held = self.announcement
        return hash_endpoint(held.endpoint_id, held.incarnation, leaving=self.is_leaving)

    @property
    def is_leaving(self) -> bool:
        """Return whether this incarnation said that it leaves."""
        return self.announcement.state is AnnouncedState.LEAVING

    def get_snapshot(self, now: float) -> RecordSnapshot:
        """Return how the endpoint stands at ``now``."""
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
        """Count the lease from ``at`` if that is later."""
        self.renewed_at = max(self.renewed_at, at)

    def accept(self, new: Announcement, *, at: float, source: str, now: float) -> Acceptance:
        """Take in an announcement that the endpoint made at ``at``."""
        held = self.announcement
        # A relay or a slow connection may bring what a process said that was long
        # replaced; following it would route to an address that serves something else.
        if new.incarnation < held.incarnation:
            return Acceptance.STALE
        if new.incarnation > held.incarnation:
            self._start_incarnation(new, at=at, source=source, now=now)
            return Acceptance.ACCEPTED
        return self._accept_same(new, at=at, source=source, now=now)

    def mark_leaving(self, *, source: str, now: float) -> None:
        """Take this incarnation out for good, on the word of ``word``."""
        if self.is_leaving:
            return
        fields = {name: getattr(self.announcement, name) for name in Announcement.__slots__}
        self.announcement = Announcement(**(fields | {"state": AnnouncedState.LEAVING}))
        self.leaving_source = source
        self.since = now
        self.source = source

    def _accept_same(self, new: Announcement, *, at: float, source: str, now: float) -> Acceptance:
        # "Leaving" and an older "ready" travel by different routers and may arrive in
        # either order. An endpoint that leaves never comes back as this incarnation,
        # so leaving wins whatever the order.
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
    """Return the record of an endpoint that is new here."""
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
