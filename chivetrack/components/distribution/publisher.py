"""A replica's side: who follows, what each one has, what is sent to whom."""

import itertools
from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict, dataclass, field

import msgspec

from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.distribution.const import (
    BULK_BYTES_PER_S,
    ELECTION_FIRST_S,
    IN_FLIGHT_S,
    INLINE_RECORDS,
    MANY_ROUTERS,
    MAX_INLINE_RECORDS,
    PLACED_AHEAD_S,
    PLACED_BYTES,
    PLACED_IN_ROUND,
    PUSH_BYTES,
    RECORD_BYTES,
    ROUTER_GONE_S,
    ROUTER_SILENT_S,
)
from chivetrack.components.distribution.document_feed import DocumentFeed, PacedDocument
from chivetrack.components.distribution.endpoint_feed import EndpointFeed
from chivetrack.components.distribution.fanout import Fanout
from chivetrack.components.distribution.load_feed import LoadFeed
from chivetrack.components.distribution.messages import (
    EndpointLoad,
    Exchange,
    FetchDocument,
    Follow,
    PlacedPart,
    View,
)
from chivetrack.components.distribution.pacing import Pacer
from chivetrack.components.distribution.placements import Placements
from chivetrack.components.document.history import DocumentHistory
from chivetrack.components.evacuation.models import Evacuations
from chivetrack.components.quarantine.evidence import CrashEvidence
from chivetrack.components.quarantine.models import Quarantine
from chivetrack.components.slow_start.permits import FleetShare
from chivetrack.core import SendMessage


@dataclass(slots=True, kw_only=True)
class _Router:
    """What is known of a router that follows."""

    heard_at: float
    is_close: bool
    placed_change: int = 0
    placed_at: float = float("-inf")
    loads: tuple[EndpointLoad, ...] = ()
    version: int = 0
    reads_at: str = ""
    quarantine_revision: int = 0
    silent_revision: int = 0
    is_stopping: bool = False

    def confirm(self, placed_change: int, now: float) -> None:
        """Take what the router says that it has; what is on its way may be more."""
        if placed_change >= self.placed_change or now - self.placed_at > IN_FLIGHT_S:
            self.placed_change = placed_change


@dataclass(slots=True, kw_only=True)
class _Peer:
    """The last word of another replica about the routers close to it."""

    heard_at: float
    exchange: Exchange


@dataclass(slots=True, kw_only=True)
class Publisher:
    """Decides what routers are sent.

    ``replica`` is the own address, ``run`` names this process of the replica. Each router is
    close to one replica, which hears of its load. Replicas exchange the sums, so that the
    work of each grows with its own routers and not with all of them.
    """

    replica: str
    run: str
    table: EndpointTable
    list_replicas: Callable[[], tuple[str, ...]]
    started_at: float = float("-inf")
    history: DocumentHistory = field(default_factory=DocumentHistory)
    placements: Placements = field(default_factory=Placements)
    evacuations: Evacuations = field(default_factory=Evacuations)
    quarantine: Quarantine = field(default_factory=Quarantine)
    evidence: CrashEvidence = field(default_factory=CrashEvidence)
    _routers: dict[str, _Router] = field(default_factory=dict)
    _peers: dict[str, _Peer] = field(default_factory=dict)
    _news: list[PlacedPart] = field(default_factory=list)
    _pacer: Pacer = field(default_factory=lambda: Pacer(bytes_per_s=BULK_BYTES_PER_S))
    _fleet_share: FleetShare = field(default_factory=FleetShare)
    _fanout: Fanout = field(init=False)
    _documents: DocumentFeed = field(init=False)
    _endpoints: EndpointFeed = field(init=False)
    _loads: LoadFeed = field(init=False)
    _published_orders: tuple[int, int, int] = (0, 0, 0)
    _placed_sent: int = 0
    _records_inline: int = 0

    def __post_init__(self) -> None:
        """Let endpoints, loads and documents share the pace of the link."""
        self._documents = DocumentFeed(history=self.history, pacer=self._pacer)
        self._fanout = Fanout(pacer=self._pacer)
        self._endpoints = EndpointFeed(
            replica=self.replica, run=self.run, table=self.table, fanout=self._fanout
        )
        self._loads = LoadFeed(replica=self.replica, fanout=self._fanout)

    def take_follow(
        self, follow: Follow, *, now: float, knows_leader: bool = True
    ) -> list[SendMessage]:
        """Answer a router with what it lacks; just after a start only once there is a leader.

        After all instances lost power, hundreds of routers ask in the moment in which the
        replicas elect a leader. Votes that waited behind the answers came after the next
        election had begun, several times in a row, and no configuration was sure meanwhile.
        """
        if not knows_leader and now - self.started_at < ELECTION_FIRST_S:
            return []
        is_known = follow.run == self.run
        router = self._routers.get(follow.router)
        if router is None:
            router = self._routers[follow.router] = _Router(heard_at=now, is_close=False)
        router.heard_at = now
        router.confirm(follow.placed_change if is_known else 0, now)
        self._endpoints.confirm(
            follow.router,
            follow.change if is_known else None,
            needs_whole=is_known and follow.is_close and follow.is_partial,
            now=now,
        )
        router.is_close = follow.is_close
        router.is_stopping = follow.is_stopping
        router.loads = follow.loads
        router.version = follow.version
        router.quarantine_revision = follow.quarantine_revision
        router.silent_revision = follow.silent_revision if is_known else 0
        self.evidence.record(follow.crash_reports, now=now)
        router.reads_at = follow.reads_at
        if follow.is_close:
            self._documents.note_version(
                follow.router, follow.version, is_stopping=follow.is_stopping, now=now
            )
            self._endpoints.get_progress(follow.router).is_stopping = follow.is_stopping
        if not follow.is_close:
            return [self._make_view(follow.router, router, now)]
        self.placements.note(follow.placed, now=now)
        self._news += follow.placed
        return [self._make_close_view(follow.router, router, now)]

    def take_exchange(self, source: str, exchange: Exchange, *, now: float) -> None:
        """Take what another replica has heard from the routers close to it."""
        self._peers[source] = _Peer(heard_at=now, exchange=exchange)
        self.evidence.record(exchange.crash_reports, now=now)
        self.placements.note(exchange.placed, now=now)

    def make_exchange(self, *, now: float) -> Exchange:
        """Return what the other replicas should know, and begin to gather anew."""
        news, self._news = self._news, []
        close = self._list_close(now)
        others = sum(one.exchange.routers for one in self._list_peers(now))
        self._fleet_share.record(len(close) + others, now=now)
        return Exchange(
            routers=len(close),
            loads=_sum_loads(one.loads for one in close.values()),
            placed=tuple(news),
            crash_reports=self.evidence.list_recent(now=now),
            stopping=_count_stopping(close),
        )

    def take_counts(self) -> dict[str, int]:
        """Return what routers were sent since the last call, and how many wait."""
        placed, self._placed_sent = self._placed_sent, 0
        records, self._records_inline = self._records_inline, 0
        return {
            **asdict(self._endpoints.take_counts()),
            "waiting": self._endpoints.count_waiting(),
            "inline_records": records,
            "placed": placed,
        }

    def take_fetch(
        self, source: str, fetch: FetchDocument, *, now: float
    ) -> tuple[PacedDocument, ...]:
        """Send the newest document to a router that lacks it, when it is its turn."""
        return self._documents.take_fetch(source, fetch, now=now)

    def find_share(self, *, now: float) -> float:
        """Return what part of the fleet's routers is close to this replica."""
        return self._fleet_share.compute(len(self._list_close(now)), now=now)

    def list_readers(self, version: int, *, now: float) -> list[str]:
        """Return where close routers hand out a document of this version or a newer one."""
        return [
            one.reads_at
            for one in self._list_close(now).values()
            if one.reads_at and one.version >= version and not one.is_stopping
        ]

    def publish(self, *, now: float) -> list[SendMessage]:
        """Push what has changed to the routers, in a large fleet only to the close ones.

        The others are told by the replica that they are close to, or at their next
        question: pushed by each replica to each router, changes would fill the links.
        """
        gone = [
            one for one, router in self._routers.items() if now - router.heard_at > ROUTER_GONE_S
        ]
        for one in gone:
            del self._routers[one]
            self._documents.forget(one)
            self._endpoints.forget(one)
        is_large = len(self._routers) > MANY_ROUTERS
        targets = {
            one: router for one, router in self._routers.items() if router.is_close or not is_large
        }
        orders = (self.history.version, self.evacuations.revision, self.quarantine.revision)
        has_orders = orders != self._published_orders
        self._published_orders = orders
        is_light = self._is_light(targets, now)
        if is_light or has_orders:
            return [self._make_view(one, router, now) for one, router in targets.items()]
        for one, router in targets.items():
            self._endpoints.enqueue(one, is_close=router.is_close)
        return []

    def send_round(self, *, now: float) -> list[SendMessage]:
        """Return the packed endpoints and loads that are due; call this several times a second."""
        messages = self._endpoints.send_round(now=now)
        close = self._list_close(now)
        routers = self._endpoints.order(close, now=now)
        messages += self._loads.send_due(routers, lambda: self._sum_all_loads(close, now), now=now)
        return messages

    def _sum_all_loads(
        self, close: Mapping[str, _Router], now: float, *, without: str = ""
    ) -> tuple[EndpointLoad, ...]:
        own = [router.loads for name, router in close.items() if name != without]
        return _sum_loads([*own, *(one.exchange.loads for one in self._list_peers(now))])

    def _is_light(self, targets: Mapping[str, _Router], now: float) -> bool:
        """Return whether the newest changes are few and the link has room for their push."""
        counts = [
            self.table.count_changes(
                self._endpoints.get_progress(one).sent, limit=INLINE_RECORDS + 1
            )
            for one in targets
        ]
        is_many = any(count > INLINE_RECORDS for count in counts)
        if is_many or not self._fanout.has_room(now=now):
            return False
        self._pacer.reserve(len(targets) * PUSH_BYTES + sum(counts) * RECORD_BYTES, now=now)
        return True

    def _make_view(self, name: str, router: _Router, now: float) -> SendMessage:
        progress = self._endpoints.get_progress(name)
        base = progress.sent
        count = self.table.count_changes(base, limit=MAX_INLINE_RECORDS + 1)
        is_pending = not self._fits_inline(count, now)
        if is_pending:
            self._endpoints.enqueue(name, is_close=router.is_close)
        elif count:
            progress.is_partial = progress.is_partial and base > 0
            progress.note_sent(self.table.change, arrives_at=now)
        records = () if is_pending else tuple(self.table.list_changes(base))
        self._records_inline += len(records)
        view = View(
            run=self.run,
            base=base,
            change=progress.sent,
            version=self.history.version,
            records=records,
            replicas=self.list_replicas(),
            silent=None,
            evacuations=self.evacuations,
            quarantine=self._find_newer_quarantine(router),
            is_pending=is_pending,
        )
        return SendMessage(target=name, message=view)

    def _fits_inline(self, records: int, now: float) -> bool:
        """Return whether changed endpoints go out within an answer, and pace them if so."""
        if records <= INLINE_RECORDS:
            return True
        if records > MAX_INLINE_RECORDS or not self._fanout.has_room(now=now):
            return False
        self._pacer.reserve(records * RECORD_BYTES, now=now)
        return True

    def _find_newer_silent(
        self, name: str, router: _Router, now: float
    ) -> tuple[tuple[str, ...] | None, int]:
        """Return the silent endpoints, ``None`` if nothing is new or the list comes later."""
        silent = self._endpoints.silent
        silent.refresh(self.table, now=now)
        if router.silent_revision == silent.revision:
            return None, router.silent_revision
        if len(silent.endpoint_ids) > INLINE_RECORDS:
            self._endpoints.enqueue_silent(name)
            return None, router.silent_revision
        return silent.endpoint_ids, silent.revision

    def _find_newer_quarantine(self, router: _Router) -> Quarantine | None:
        if self.quarantine.revision <= router.quarantine_revision:
            return None
        return self.quarantine

    def _make_close_view(self, name: str, router: _Router, now: float) -> SendMessage:
        close = self._list_close(now)
        peers = [one.exchange for one in self._list_peers(now)]
        sent = self._make_view(name, router, now)
        assert isinstance(sent.message, View)
        placed: tuple[PlacedPart, ...] = ()
        silent, silent_revision = None, router.silent_revision
        if self._knows_endpoints(name, sent.message):
            placed, router.placed_change = self._list_placed(router, len(close), now)
            silent, silent_revision = self._find_newer_silent(name, router, now)
        if placed:
            router.placed_at = now
        is_shared = self._loads.is_shared
        loads = None if is_shared else self._sum_all_loads(close, now, without=name)
        view = msgspec.structs.replace(
            sent.message,
            silent=silent,
            silent_revision=silent_revision,
            has_loads=True,
            loads=loads,
            routers=len(close) + sum(one.routers for one in peers),
            stopping=_count_stopping(close) + sum(one.stopping for one in peers),
            placed=placed,
            placed_change=router.placed_change,
        )
        return SendMessage(target=name, message=view)

    def _knows_endpoints(self, name: str, view: View) -> bool:
        """Return whether a router has the table of endpoints, at the latest with this view.

        Before, it drops placements as the endpoints appear, and has no use for the list of
        silent ones; both would delay the table on the link.
        """
        brings_table = view.base == 0 and not view.is_pending
        return brings_table or self._endpoints.get_progress(name).confirmed > 0

    def _list_placed(
        self, router: _Router, close: int, now: float
    ) -> tuple[tuple[PlacedPart, ...], int]:
        """Return the placements that a router lacks, none before it has the document.

        After all instances lost power, every router lacks everything. With placements on
        the link beside documents and endpoints, those and the leader's heartbeats came seconds
        late, and callers were refused meanwhile. So placements wait for room on the link.
        """
        is_behind = router.version < self.history.version
        if is_behind or self._pacer.find_delay(now=now) > PLACED_AHEAD_S:
            return (), router.placed_change
        limit = max(1, PLACED_IN_ROUND // close)
        placed, change = self.placements.list_after(router.placed_change, now=now, limit=limit)
        self._placed_sent += len(placed)
        self._pacer.reserve(len(placed) * PLACED_BYTES, now=now)
        return placed, change

    def _list_close(self, now: float) -> dict[str, _Router]:
        return {
            name: router
            for name, router in self._routers.items()
            if router.is_close and now - router.heard_at <= ROUTER_SILENT_S
        }

    def _list_peers(self, now: float) -> list[_Peer]:
        return [one for one in self._peers.values() if now - one.heard_at <= ROUTER_SILENT_S]


def _count_stopping(routers: Mapping[str, _Router]) -> int:
    return sum(1 for one in routers.values() if one.is_stopping)


def _sum_loads(loads: Iterable[tuple[EndpointLoad, ...]]) -> tuple[EndpointLoad, ...]:
    sums: dict[str, EndpointLoad] = {}
    for load in itertools.chain.from_iterable(loads):
        known = sums.get(load.endpoint_id)
        sums[load.endpoint_id] = load if known is None else _add(known, load)
    return tuple(sums.values())


def _add(one: EndpointLoad, other: EndpointLoad) -> EndpointLoad:
    return EndpointLoad(
        endpoint_id=one.endpoint_id,
        running=one.running + other.running,
        tokens=one.tokens + other.tokens,
        answered=one.answered + other.answered,
        failed=one.failed + other.failed,
    )
