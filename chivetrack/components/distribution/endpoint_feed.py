"""Decides how changes of many endpoints reach many routers; free of I/O."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from chivetrack.components.announcements.models import EndpointState
from chivetrack.components.announcements.packing import pack_records
from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.distribution.const import (
    RECENTLY_SEEN_S,
    RELAY_ORDER_S,
    RESEND_AFTER_S,
    ROUND_INTERVAL_S,
    ROUTER_SILENT_S,
    SILENT_ID_BYTES,
    SMALL_TABLE_RECORDS,
    SNAPSHOT_MAX_AGE_S,
)
from chivetrack.components.distribution.fanout import Delivery, Fanout
from chivetrack.components.distribution.messages import EndpointUpdate, SilentUpdate
from chivetrack.components.distribution.silent import SilentList
from chivetrack.core import SendMessage

_DEPARTURES = (EndpointState.DRAINING, EndpointState.LEFT)


@dataclass(slots=True)
class EndpointProgress:
    """Number of the last endpoint change that a router has confirmed, and of the last one sent.

    Without progress after ``lost_at``, the changes in flight count as lost.
    """

    confirmed: int = 0
    sent: int = 0
    is_partial: bool = False
    lost_at: float = float("-inf")
    has_lost_update: bool = False
    is_stopping: bool = False
    last_seen_at: float = float("-inf")

    def record_sent(self, change: int, *, arrives_at: float) -> None:
        """Record that the changes up to ``change`` are in flight."""
        if self.sent <= self.confirmed:
            self.lost_at = arrives_at + RESEND_AFTER_S
        self.sent = change

    def confirm(self, change: int, *, now: float) -> None:
        """Record up to which change the router has the endpoints.

        Without progress for ``RESEND_AFTER_S``, the changes in flight count as lost, also while
        newer changes are still being sent.
        """
        self.last_seen_at = now
        if change > self.confirmed:
            self.has_lost_update = False
        if change >= self.sent:
            self.sent = self.confirmed = change
        elif change > self.confirmed:
            self.confirmed = change
            self.lost_at = max(self.lost_at, now + RESEND_AFTER_S)
        elif now > self.lost_at:
            self.sent = self.confirmed = change
            self.has_lost_update = True


@dataclass(slots=True, kw_only=True)
class FeedCounts:
    """Counts of sent updates by content; ``resent`` of them were sent again to single routers."""

    tables: int = 0
    table_bytes: int = 0
    changes: int = 0
    change_bytes: int = 0
    resent: int = 0


class _Group(NamedTuple):
    """Which changes a group of routers lacks: all after ``base``, or departures only."""

    is_whole_table: bool
    is_partial: bool
    base: int


@dataclass(frozen=True, slots=True, kw_only=True)
class _PackedRecords:
    change: int
    payload: bytes
    made_at: float


@dataclass(slots=True, kw_only=True)
class EndpointFeed:
    """Sends endpoints in rounds: packed once for all routers, rate-limited, forwarded by routers.

    When a fleet starts, each of 60 routers assigned to a replica lacks 3,000 endpoints. Sent to
    each router as records, they take a link of 4 Mbit/s for many seconds, and votes, the log and
    operator requests wait behind them. Packed, they take a tenth. A few routers get them from the
    replica and forward them, and the kernel is never given more than the link sends within
    ``MAX_SEND_AHEAD_S``.

    A router gets the whole table from its assigned replica. From the others it needs only
    departures, because those are acknowledged once a majority of replicas knows them.
    """

    replica: str
    run: str
    table: EndpointTable
    fanout: Fanout
    silent: SilentList = field(default_factory=SilentList)
    _progress: dict[str, EndpointProgress] = field(default_factory=dict)
    _waiting: dict[str, None] = field(default_factory=dict)
    _waiting_for_silent: dict[str, None] = field(default_factory=dict)
    _packed: dict[_Group, _PackedRecords] = field(default_factory=dict)
    _next_round_at: float = float("-inf")
    _counts: FeedCounts = field(default_factory=FeedCounts)

    def pop_counts(self) -> FeedCounts:
        """Return the counts of updates sent since the last call."""
        counts, self._counts = self._counts, FeedCounts()
        return counts

    def count_waiting(self) -> int:
        """Return how many routers wait for endpoints."""
        return len(self._waiting)

    def get_progress(self, router: str) -> EndpointProgress:
        """Return the progress of a router, a new one if the router is unknown."""
        progress = self._progress.get(router)
        if progress is None:
            progress = self._progress[router] = EndpointProgress()
        return progress

    def confirm(self, router: str, change: int | None, *, needs_whole: bool, now: float) -> None:
        """Record up to which change a router has the endpoints, ``None`` if it has none.

        ``needs_whole``: it lacks more than departures. A router that has confirmed changes before
        and now has none has restarted. Its progress is reset, because otherwise it would count as
        one that lost an update: the replica itself would send the table to it and to all others
        killed with it.
        """
        progress = self.get_progress(router)
        has_restarted = change is None and progress.confirmed > 0
        if has_restarted or (needs_whole and progress.is_partial):
            progress = self._progress[router] = EndpointProgress()
        progress.confirm(0 if needs_whole else change or 0, now=now)

    def remove_router(self, router: str) -> None:
        """Remove a router that has not polled for a long time."""
        self._progress.pop(router, None)
        self._waiting.pop(router, None)
        self._waiting_for_silent.pop(router, None)

    def enqueue(self, router: str, *, is_assigned: bool) -> None:
        """Schedule the changes that a router lacks for the next rounds."""
        progress = self.get_progress(router)
        if progress.sent == 0:
            limit = SMALL_TABLE_RECORDS + 1
            is_large = self.table.count_changes(0, limit=limit) == limit
            progress.is_partial = is_large and not is_assigned
        self._waiting[router] = None

    def enqueue_silent(self, router: str) -> None:
        """Schedule the list of silent endpoints for a router in the next rounds."""
        self._waiting_for_silent[router] = None

    def send_round(self, *, now: float) -> list[SendMessage]:
        """Return the messages that are due, as far as the rate limit allows.

        Changes go first, then whole tables, then the list of silent endpoints. The list goes last
        because a router without a table refuses all requests and has no use for the list.
        """
        if now < self._next_round_at:
            return []
        groups = list(self._list_groups(now))
        changes = [entry for entry in groups if not entry[0].is_whole_table]
        tables = [entry for entry in groups if entry[0].is_whole_table]
        messages: list[SendMessage] = []
        for group, routers in changes:
            messages += self._send_group(group, routers, now)
        for group, routers in tables:
            messages += self._send_group(group, routers, now)
        messages += self._send_silent(now)
        if messages:
            self._next_round_at = now + ROUND_INTERVAL_S
        return messages

    def _list_groups(self, now: float) -> Iterator[tuple[_Group, list[str]]]:
        """Yield the waiting routers grouped by what they lack, those that lack least first.

        Routers that wait for the whole table go before those that get departures of endpoints which
        they do not know yet.
        """
        groups: dict[_Group, list[str]] = {}
        for router in list(self._waiting):
            progress = self._progress[router]
            if progress.sent >= self.table.change or not self._is_alive(router, now):
                # A silent router is enqueued again with its next request.
                del self._waiting[router]
                continue
            is_whole_table = progress.sent == 0
            is_partial = is_whole_table and progress.is_partial
            group = _Group(is_whole_table, is_partial, progress.sent)
            groups.setdefault(group, []).append(router)
        for group in sorted(groups, key=lambda group: (-group.base, group.is_partial)):
            yield group, groups[group]

    def _is_alive(self, router: str, now: float) -> bool:
        return now - self._progress[router].last_seen_at <= ROUTER_SILENT_S

    def prefer_reliable(self, routers: Iterable[str], *, now: float) -> list[str]:
        """Return routers with those first that are recently seen and not stopping; these forward.

        The order is stable for ``RELAY_ORDER_S``: with a new order in each round, every router
        would open connections to all others. It changes after that, because a router may be unable
        to reach the router that forwards to it.
        """
        names = sorted(routers)
        offset = int(now / RELAY_ORDER_S) % max(1, len(names))
        rotated = names[offset:] + names[:offset]
        return sorted(rotated, key=lambda router: self._is_unreliable(router, now))

    def _is_unreliable(self, router: str, now: float) -> bool:
        progress = self._progress[router]
        return progress.is_stopping or now - progress.last_seen_at > RECENTLY_SEEN_S

    def _send_group(
        self, group: _Group, routers: Iterable[str], now: float
    ) -> Iterator[SendMessage]:
        if not self.fanout.has_room(now=now):
            return
        packed = self._pack(group, now)
        for delivery in self._plan_deliveries(routers, len(packed.payload), now):
            self._count(group, len(packed.payload), self._progress[delivery.first].has_lost_update)
            for router in (delivery.first, *delivery.others):
                self._progress[router].record_sent(packed.change, arrives_at=delivery.arrives_at)
                del self._waiting[router]
            update = EndpointUpdate(
                replica=self.replica,
                run=self.run,
                base=group.base,
                change=packed.change,
                payload=packed.payload,
                is_partial=group.is_partial,
                forward_to=delivery.others,
            )
            yield SendMessage(target=delivery.first, message=update)

    def _count(self, group: _Group, size: int, has_lost_update: bool) -> None:
        counts = self._counts
        counts.resent += has_lost_update
        if group.is_whole_table:
            counts.tables += 1
            counts.table_bytes += size
        else:
            counts.changes += 1
            counts.change_bytes += size

    def _plan_deliveries(self, routers: Iterable[str], size: int, now: float) -> Iterator[Delivery]:
        """Yield the deliveries to routers; one that lost an update gets it from this replica."""
        ordered = self.prefer_reliable(routers, now=now)
        lost = [router for router in ordered if self._progress[router].has_lost_update]
        others = [router for router in ordered if not self._progress[router].has_lost_update]
        yield from self.fanout.plan(lost, size, now=now, is_direct=True)
        yield from self.fanout.plan(others, size, now=now)

    def _send_silent(self, now: float) -> Iterator[SendMessage]:
        routers = self.prefer_reliable(
            [router for router in self._waiting_for_silent if self._is_alive(router, now)], now=now
        )
        self._waiting_for_silent = dict.fromkeys(routers)
        size = len(self.silent.endpoint_ids) * SILENT_ID_BYTES
        for delivery in self.fanout.plan(routers, size, now=now):
            for router in (delivery.first, *delivery.others):
                del self._waiting_for_silent[router]
            update = SilentUpdate(
                replica=self.replica,
                run=self.run,
                revision=self.silent.revision,
                endpoint_ids=self.silent.endpoint_ids,
                forward_to=delivery.others,
            )
            yield SendMessage(target=delivery.first, message=update)

    def _pack(self, group: _Group, now: float) -> _PackedRecords:
        cached = self._packed.get(group)
        if cached is not None and self._is_fresh(group, cached, now):
            return cached
        self._prune_packed(now)
        records = self.table.list_changes(group.base)
        if group.is_partial:
            records = [record for record in records if record.state in _DEPARTURES]
        packed = _PackedRecords(
            change=self.table.change, payload=pack_records(records), made_at=now
        )
        self._packed[group] = packed
        return packed

    def _is_fresh(self, group: _Group, packed: _PackedRecords, now: float) -> bool:
        if packed.change == self.table.change:
            return True
        return group.is_whole_table and now - packed.made_at <= SNAPSHOT_MAX_AGE_S

    def _prune_packed(self, now: float) -> None:
        self._packed = {
            group: packed
            for group, packed in self._packed.items()
            if self._is_fresh(group, packed, now)
        }
