"""Replica side of the distribution: which routers poll, what each has, what is sent to each."""

from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass, field
from random import Random

import msgspec

from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.distribution.const import (
    BULK_BYTES_PER_S,
    ELECTION_GRACE_S,
    INLINE_RECORDS,
    LARGE_FLEET_ROUTERS,
    MAX_INLINE_RECORDS,
    MAX_PLACEMENTS_AHEAD_S,
    PLACEMENT_BYTES,
    PLACEMENTS_PER_ROUND,
    PUSH_BYTES,
    RECORD_BYTES,
    ROUTER_CONTACT_S,
    ROUTER_EXPIRY_S,
    ROUTER_SILENT_S,
)
from chivetrack.components.distribution.document_feed import DocumentFeed
from chivetrack.components.distribution.endpoint_feed import EndpointFeed
from chivetrack.components.distribution.fanout import Fanout
from chivetrack.components.distribution.load_feed import LoadFeed
from chivetrack.components.distribution.load_sums import sum_loads
from chivetrack.components.distribution.messages import (
    Carrier,
    DocumentApplied,
    EndpointLoad,
    Exchange,
    FetchDocument,
    Follow,
    PlacedPart,
    RolloutState,
    View,
)
from chivetrack.components.distribution.pacing import Pacer
from chivetrack.components.distribution.placements import Placements
from chivetrack.components.distribution.rollout import Rollout, RolloutReport
from chivetrack.components.distribution.router_state import (
    PeerState,
    RouterState,
    count_stopping,
    list_carriers,
)
from chivetrack.components.document.history import DocumentHistory
from chivetrack.components.evacuation.models import Evacuations
from chivetrack.components.paths.carriers import choose_carriers
from chivetrack.components.quarantine.evidence import CrashEvidence
from chivetrack.components.quarantine.models import Quarantine
from chivetrack.components.slow_start.permits import FleetShare
from chivetrack.core import SendMessage


@dataclass(slots=True, kw_only=True)
class Publisher:
    """Decides which state is sent to which router.

    ``replica`` is this replica's address, ``run`` identifies its process. ``is_congested`` returns
    whether messages wait for the network link; answers are then as small as possible.
    ``find_leader`` returns the leading replica, which lends retries to routers. Each router
    is assigned to one replica, to which it reports its load. Replicas exchange the sums, so that
    the work of each grows with the number of its assigned routers and not with the whole fleet.
    """

    replica: str
    run: str
    table: EndpointTable
    list_replicas: Callable[[], tuple[str, ...]]
    is_congested: Callable[[], bool] = lambda: False
    find_leader: Callable[[], str] = lambda: ""
    started_at: float = float("-inf")
    history: DocumentHistory = field(default_factory=DocumentHistory)
    placements: Placements = field(default_factory=Placements)
    evacuations: Evacuations = field(default_factory=Evacuations)
    quarantine: Quarantine = field(default_factory=Quarantine)
    evidence: CrashEvidence = field(default_factory=CrashEvidence)
    rollout: Rollout = field(default_factory=Rollout)
    _random: Random = field(default_factory=Random)
    _routers: dict[str, RouterState] = field(default_factory=dict)
    _peers: dict[str, PeerState] = field(default_factory=dict)
    _new_placements: list[PlacedPart] = field(default_factory=list)
    _pacer: Pacer = field(default_factory=lambda: Pacer(bytes_per_s=BULK_BYTES_PER_S))
    _fleet_share: FleetShare = field(default_factory=FleetShare)
    _fanout: Fanout = field(init=False)
    _documents: DocumentFeed = field(init=False)
    _endpoints: EndpointFeed = field(init=False)
    _loads: LoadFeed = field(init=False)
    _published_revisions: tuple[int, int, int] = (0, 0, 0)
    _placed_sent: int = 0
    _records_inline: int = 0

    def __post_init__(self) -> None:
        """Create the feeds, which share the rate limit of the link."""
        self._documents = DocumentFeed(history=self.history, pacer=self._pacer)
        self._fanout = Fanout(pacer=self._pacer, is_congested=self.is_congested)
        self._endpoints = EndpointFeed(
            replica=self.replica, run=self.run, table=self.table, fanout=self._fanout
        )
        self._loads = LoadFeed(replica=self.replica, fanout=self._fanout)

    def handle_follow(
        self, follow: Follow, *, now: float, knows_leader: bool = True
    ) -> list[SendMessage]:
        """Answer a router's poll with the state that it lacks.

        Returns nothing while no leader is known within ``ELECTION_GRACE_S`` of the start. After a
        power loss of all instances, hundreds of routers poll while the replicas elect a leader.
        Votes that waited behind the answers arrived after the next election had begun, several
        times in a row, and no configuration could be confirmed meanwhile.
        """
        if not knows_leader and now - self.started_at < ELECTION_GRACE_S:
            return []
        is_known = follow.run == self.run
        router = self._routers.get(follow.router)
        if router is None:
            router = self._routers[follow.router] = RouterState(last_seen_at=now, is_assigned=False)
        router.last_seen_at = now
        router.confirm(follow.placed_change if is_known else 0, now)
        self._endpoints.confirm(
            follow.router,
            follow.change if is_known else None,
            needs_whole=is_known and follow.is_assigned and follow.is_partial,
            now=now,
        )
        router.is_assigned = follow.is_assigned
        router.is_stopping = follow.is_stopping
        router.can_carry = follow.can_carry
        router.needs_carriers = follow.needs_carriers
        router.lost_services = follow.lost_services
        router.loads = follow.loads
        router.record_version(follow.version, now)
        router.quarantine_revision = follow.quarantine_revision
        router.silent_revision = follow.silent_revision if is_known else 0
        self.evidence.record(follow.crash_reports, now=now)
        self.evidence.record_answered(follow.answered, now=now)
        router.document_address = follow.document_address
        if follow.is_assigned:
            self._documents.record_version(
                follow.router, router.version, is_stopping=follow.is_stopping, now=now
            )
            self._endpoints.get_progress(follow.router).is_stopping = follow.is_stopping
        if follow.is_assigned:
            self.placements.record(follow.placed, now=now)
            self._new_placements += follow.placed
            view = self._make_assigned_view(follow.router, router, now)
        else:
            view = self._make_view(follow.router, router, now)
        answer = msgspec.structs.replace(view, polled_at=follow.polled_at)
        return [SendMessage(target=follow.router, message=answer)]

    def handle_exchange(self, source: str, exchange: Exchange, *, now: float) -> None:
        """Record the loads, crash reports and placements that another replica has collected."""
        self._peers[source] = PeerState(last_seen_at=now, exchange=exchange)
        self.evidence.record(exchange.crash_reports, now=now)
        self.evidence.record_answered(exchange.answered, now=now)
        self.placements.record(exchange.placed, now=now)

    def make_exchange(self, *, now: float) -> Exchange:
        """Return the message for the other replicas, and clear the collected placements."""
        placed, self._new_placements = self._new_placements, []
        assigned = self._list_assigned(now)
        elsewhere = sum(peer.exchange.routers for peer in self._list_peers(now))
        self._fleet_share.record(len(assigned) + elsewhere, now=now)
        return Exchange(
            routers=len(assigned),
            loads=sum_loads(router.loads for router in assigned.values()),
            placed=tuple(placed),
            crash_reports=self.evidence.list_recent(now=now),
            answered=self.evidence.list_answered(now=now),
            stopping=count_stopping(assigned),
            carriers=choose_carriers(list_carriers(assigned), random=self._random),
        )

    def pop_counts(self) -> dict[str, int]:
        """Return counts of what was sent to routers since the last call, and of waiting routers."""
        placed, self._placed_sent = self._placed_sent, 0
        records, self._records_inline = self._records_inline, 0
        return {
            **asdict(self._endpoints.pop_counts()),
            "waiting": self._endpoints.count_waiting(),
            "inline_records": records,
            "placed": placed,
        }

    def handle_fetch(self, source: str, fetch: FetchDocument, *, now: float) -> None:
        """Record that a router lacks the newest document."""
        self._documents.handle_fetch(source, fetch, now=now)

    def handle_applied(self, source: str, applied: DocumentApplied, *, now: float) -> None:
        """Record that a router has put a document in force."""
        router = self._routers.get(source)
        if router is None:
            return
        router.version = max(router.version, applied.version)
        router.applied_at = now
        self._documents.record_version(
            source, router.version, is_stopping=router.is_stopping, now=now
        )

    def serve_documents(self, *, now: float) -> list[SendMessage]:
        """Return the documents and redirects that may be sent to routers now."""
        if self._documents.is_outdated:
            assigned = self._list_assigned(now)
            order = sorted(assigned, key=lambda name: assigned[name].last_seen_at, reverse=True)
            self._documents.begin_version({name: assigned[name].version for name in order})
        return self._documents.serve(now=now)

    def is_in_force(self, version: int, *, now: float) -> bool:
        """Return whether no router of the fleet that is in contact serves an older version."""
        own = self._list_versions_in_force(now)
        return self.history.version >= version and self.rollout.is_in_force(version, own, now=now)

    def make_rollout_state(self, *, now: float) -> RolloutState:
        """Return what the other replicas need to know about documents at assigned routers."""
        own = self._list_versions_in_force(now)
        return RolloutState(in_force=min(own, default=None), acknowledged=self.rollout.acknowledged)

    def _list_versions_in_force(self, now: float) -> list[int]:
        """Return the versions of the assigned routers that serve and delay acknowledgements."""
        return [
            router.version
            for name, router in self._routers.items()
            if router.is_assigned
            and router.version
            and now - router.last_seen_at <= ROUTER_CONTACT_S
            and not self._documents.is_stalled(name, now=now)
        ]

    def report_rollout(self, *, now: float) -> RolloutReport | None:
        """Return which assigned routers lack the newest document, if a report is due."""
        versions = {name: router.version for name, router in self._list_assigned(now).items()}
        return self.rollout.report(self.history.version, versions, now=now)

    def get_fleet_share(self, *, now: float) -> float:
        """Return the share of the fleet's routers that is assigned to this replica."""
        return self._fleet_share.compute(len(self._list_assigned(now)), now=now)

    def list_document_addresses(self, version: int, *, now: float) -> list[str]:
        """Return where assigned routers serve a document of this version or a newer one."""
        return [
            router.document_address
            for router in self._list_assigned(now).values()
            if router.document_address and router.version >= version and not router.is_stopping
        ]

    def publish(self, *, now: float) -> list[SendMessage]:
        """Push changes to the routers, in a large fleet only to the assigned ones.

        The others get the changes from their own assigned replica or with their next poll: a push
        from each replica to each router would fill the links.
        """
        expired = [
            name
            for name, router in self._routers.items()
            if now - router.last_seen_at > ROUTER_EXPIRY_S
        ]
        for name in expired:
            del self._routers[name]
            self._documents.remove_router(name)
            self._endpoints.remove_router(name)
        is_large = len(self._routers) > LARGE_FLEET_ROUTERS
        targets = {
            name: router
            for name, router in self._routers.items()
            if router.is_assigned or not is_large
        }
        fits_push = self._fits_push(targets, now)
        if fits_push or (self._has_new_revision and not self.is_congested()):
            self._published_revisions = self._revisions
            return [
                SendMessage(target=name, message=self._make_view(name, router, now))
                for name, router in targets.items()
            ]
        for name, router in targets.items():
            self._endpoints.enqueue(name, is_assigned=router.is_assigned)
        return []

    @property
    def _revisions(self) -> tuple[int, int, int]:
        return (self.history.version, self.evacuations.revision, self.quarantine.revision)

    @property
    def _has_new_revision(self) -> bool:
        """Return whether there is a revision that was not pushed to the routers yet."""
        return self._revisions != self._published_revisions

    def send_round(self, *, now: float) -> list[SendMessage]:
        """Return what is due for many routers at once; called several times a second.

        That is a new revision which found no room when it came, packed endpoints and loads.
        """
        messages = self.publish(now=now) if self._has_new_revision else []
        messages += self._endpoints.send_round(now=now)
        assigned = self._list_assigned(now)
        routers = self._endpoints.prefer_reliable(assigned, now=now)
        messages += self._loads.send_due(
            routers, lambda: self._sum_all_loads(assigned, now), now=now
        )
        return messages

    def _sum_all_loads(
        self, assigned: Mapping[str, RouterState], now: float, *, without: str = ""
    ) -> tuple[EndpointLoad, ...]:
        own = [router.loads for name, router in assigned.items() if name != without]
        return sum_loads([*own, *(peer.exchange.loads for peer in self._list_peers(now))])

    def _fits_push(self, targets: Mapping[str, RouterState], now: float) -> bool:
        """Return whether the latest changes are few and the rate limit allows to push them now."""
        counts = [
            self.table.count_changes(
                self._endpoints.get_progress(name).sent, limit=INLINE_RECORDS + 1
            )
            for name in targets
        ]
        is_many = any(count > INLINE_RECORDS for count in counts)
        if is_many or not self._fanout.has_room(now=now):
            return False
        self._pacer.reserve(len(targets) * PUSH_BYTES + sum(counts) * RECORD_BYTES, now=now)
        return True

    def _make_view(self, name: str, router: RouterState, now: float) -> View:
        progress = self._endpoints.get_progress(name)
        base = progress.sent
        count = self.table.count_changes(base, limit=MAX_INLINE_RECORDS + 1)
        is_pending = not self._fits_inline(count, now)
        if is_pending:
            self._endpoints.enqueue(name, is_assigned=router.is_assigned)
        elif count:
            progress.is_partial = progress.is_partial and base > 0
            progress.record_sent(self.table.change, arrives_at=now)
        records = () if is_pending else tuple(self.table.list_changes(base))
        self._records_inline += len(records)
        return View(
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
            acknowledged=self.rollout.acknowledged,
            keeps_origins=True,
        )

    def _fits_inline(self, records: int, now: float) -> bool:
        """Return whether changed endpoints fit into an answer, and reserve their bytes if so."""
        if records and self.is_congested():
            return False
        if records <= INLINE_RECORDS:
            return True
        if records > MAX_INLINE_RECORDS or not self._fanout.has_room(now=now):
            return False
        self._pacer.reserve(records * RECORD_BYTES, now=now)
        return True

    def _find_newer_silent(
        self, name: str, router: RouterState, now: float
    ) -> tuple[tuple[str, ...] | None, int]:
        """Return the silent endpoints, ``None`` if unchanged or if the list is sent separately."""
        silent = self._endpoints.silent
        silent.refresh(self.table, now=now)
        if router.silent_revision == silent.revision:
            return None, router.silent_revision
        if len(silent.endpoint_ids) > INLINE_RECORDS or self.is_congested():
            self._endpoints.enqueue_silent(name)
            return None, router.silent_revision
        return silent.endpoint_ids, silent.revision

    def _find_newer_quarantine(self, router: RouterState) -> Quarantine | None:
        if self.quarantine.revision <= router.quarantine_revision:
            return None
        return self.quarantine

    def _make_assigned_view(self, name: str, router: RouterState, now: float) -> View:
        assigned = self._list_assigned(now)
        peers = [peer.exchange for peer in self._list_peers(now)]
        view = self._make_view(name, router, now)
        placed: tuple[PlacedPart, ...] = ()
        silent, silent_revision = None, router.silent_revision
        if self._knows_endpoints(name, view):
            placed, router.placed_change = self._list_placed(router, len(assigned), now)
            silent, silent_revision = self._find_newer_silent(name, router, now)
        if placed:
            router.placements_sent_at = now
        is_separate = self._loads.is_broadcast or self.is_congested()
        loads = None if is_separate else self._sum_all_loads(assigned, now, without=name)
        return msgspec.structs.replace(
            view,
            silent=silent,
            silent_revision=silent_revision,
            has_loads=True,
            lender=self.find_leader(),
            suspects=self.evidence.list_asked(),
            loads=loads,
            routers=len(assigned) + sum(exchange.routers for exchange in peers),
            stopping=count_stopping(assigned) + sum(exchange.stopping for exchange in peers),
            placed=placed,
            placed_change=router.placed_change,
            carriers=self._choose_carriers(name, router, now) if router.needs_carriers else (),
        )

    def _choose_carriers(self, name: str, router: RouterState, now: float) -> tuple[Carrier, ...]:
        """Return some routers of the fleet that carry connections for the router ``name``."""
        known = list_carriers(self._list_assigned(now))
        known += [one for peer in self._list_peers(now) for one in peer.exchange.carriers]
        others = [one for one in known if one.address != name]
        return choose_carriers(others, services=router.lost_services, random=self._random)

    def _knows_endpoints(self, name: str, view: View) -> bool:
        """Return whether a router has the table of endpoints, at the latest with this view.

        A router without the table drops placements of unknown endpoints and has no use for the list
        of silent endpoints. Both would delay the table on the link.
        """
        brings_table = view.base == 0 and not view.is_pending
        return brings_table or self._endpoints.get_progress(name).confirmed > 0

    def _list_placed(
        self, router: RouterState, assigned_count: int, now: float
    ) -> tuple[tuple[PlacedPart, ...], int]:
        """Return the placements that a router lacks, none before it has the newest document.

        After a power loss of all instances, every router lacks everything. With placements on the
        link besides documents and endpoints, these and the leader's heartbeats were seconds late,
        and callers were refused meanwhile. So placements wait until the link has room.
        """
        is_behind = router.version < self.history.version
        has_room = not self.is_congested()
        if is_behind or not has_room or self._pacer.find_delay(now=now) > MAX_PLACEMENTS_AHEAD_S:
            return (), router.placed_change
        limit = max(1, PLACEMENTS_PER_ROUND // assigned_count)
        placed, change = self.placements.list_after(router.placed_change, now=now, limit=limit)
        self._placed_sent += len(placed)
        self._pacer.reserve(len(placed) * PLACEMENT_BYTES, now=now)
        return placed, change

    def _list_assigned(self, now: float) -> dict[str, RouterState]:
        return {
            name: router
            for name, router in self._routers.items()
            if router.is_assigned and now - router.last_seen_at <= ROUTER_SILENT_S
        }

    def _list_peers(self, now: float) -> list[PeerState]:
        return [peer for peer in self._peers.values() if now - peer.last_seen_at <= ROUTER_SILENT_S]
