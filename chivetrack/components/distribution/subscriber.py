"""Router side of the distribution: which replicas a router polls and what it holds from them."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

import msgspec

from chivetrack.components.announcements.packing import unpack_records
from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.distribution.const import (
    ASSIGNED_REPLICA_TIMEOUT_S,
    FOLLOW_INTERVAL_PER_ROUTER_S,
    FOLLOW_INTERVAL_S,
    LARGE_FLEET_ROUTERS,
    LOAD_REPORT_INTERVAL_S,
    MAX_FOLLOW_INTERVAL_S,
    PROBE_INTERVAL_S,
    REPLICA_EXPIRY_S,
    REPLICA_SILENT_S,
    STARTUP_REPLICAS,
    STARTUP_S,
)
from chivetrack.components.distribution.document_receiver import DocumentReceiver
from chivetrack.components.distribution.messages import (
    EndpointLoad,
    EndpointUpdate,
    Follow,
    LoadUpdate,
    PlacedPart,
    SilentUpdate,
    View,
)
from chivetrack.components.quarantine.models import AnsweredReport, CrashReport
from chivetrack.core import Effect, SendMessage, WakeAt
from chivetrack.helpers.clock import read_boot_clock


@dataclass(slots=True)
class _Replica:
    """State of the exchange with one replica."""

    last_named_at: float
    last_seen_at: float = float("-inf")
    unanswered_since: float = float("inf")
    run: str = ""
    change: int = 0
    is_partial: bool = False
    placed_change: int = 0
    silent_revision: int = 0
    keeps_origins: bool | None = None

    def record_run(self, run: str) -> None:
        """Record which process of the replica answers; each process numbers its changes anew."""
        if run != self.run:
            self.run, self.change, self.placed_change = run, 0, 0
            self.is_partial = False
            self.silent_revision = 0

    def record_changes(self, base: int, change: int, *, is_partial: bool = False) -> None:
        """Record the changes after ``base`` up to ``change``, unless an earlier update was lost.

        After a loss nothing is recorded, so that the replica sends the lost changes again.
        """
        if base > self.change or base == change:
            return
        is_first = self.change == 0
        if is_partial and not (is_first or self.is_partial):
            # An update with departures only lacks the other changes made since the whole table.
            return
        if base == 0 and self.is_partial and not is_partial:
            # The table may be older than the departures: the changes in between are still missing.
            self.change, self.is_partial = change, False
            return
        self.is_partial = self.is_partial or is_partial
        self.change = max(self.change, change)

    def record_request(self, now: float) -> None:
        """Record that a request was sent to the replica."""
        self.unanswered_since = min(self.unanswered_since, now)

    def record_answer(self, now: float) -> None:
        """Record that the replica has answered."""
        self.last_seen_at = now
        self.unanswered_since = float("inf")

    def is_silent(self, now: float) -> bool:
        """Return whether requests have been unanswered for more than ``REPLICA_SILENT_S``."""
        return now - self.unanswered_since > REPLICA_SILENT_S


@dataclass(frozen=True, slots=True, kw_only=True)
class RouterReport:
    """What this router reports about itself to its assigned replica."""

    loads: tuple[EndpointLoad, ...]
    placed: tuple[PlacedPart, ...]
    crash_reports: tuple[CrashReport, ...] = ()
    quarantine_revision: int = 0
    is_stopping: bool = False
    can_carry: bool = False
    needs_carriers: bool = False
    lost_services: tuple[str, ...] = ()
    answered: tuple[AnsweredReport, ...] = ()


class Subscriber:
    """Polls several replicas, so that no single replica can withhold state from a router.

    A few routers poll all replicas. In a large fleet, each router polls a majority of them: a
    departure is acknowledged once a majority of replicas knows it, and any two majorities overlap.
    If all of about a hundred routers polled it, a replica with half a core would be late with its
    own log.

    ``documents`` holds the configuration document and requests newer ones.
    """

    def __init__(
        self,
        *,
        router: str,
        document_address: str,
        seeds: Sequence[str],
        table: EndpointTable,
        apply_document: Callable[[int, bytes], None],
        on_unreadable: Callable[[int, str], None],
        on_bad_update: Callable[[str, str], None],
        get_report: Callable[[], RouterReport],
        read_boot_clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        """Set the router's own addresses, the seed replicas and the callbacks.

        ``apply_document`` gets the version and the document as the operator sent it,
        ``on_unreadable`` the version and a description of the fault in a received document, and
        ``on_bad_update`` the replica and a description of the fault in packed endpoints.
        ``get_report`` returns this router's report.
        """
        self._router = router
        self._document_address = document_address
        self._seeds = tuple(seeds)
        self._table = table
        self.documents = DocumentReceiver(apply=apply_document, on_unreadable=on_unreadable)
        self._on_bad_update = on_bad_update
        self._get_report = get_report
        self._read_boot_clock = read_boot_clock
        self._began_at = read_boot_clock()
        self.viewed_at = float("-inf")
        """A time (s, boot clock) that the newest view of a replica is not older than."""
        self._replicas: dict[str, _Replica] = {}
        self.restart_count = 0
        """How often a replica that had answered came back as another process."""
        self._next_follow = float("-inf")
        self._next_report = float("-inf")
        self._assigned = ""
        self._next_fallback = -1
        self._next_probe = float("-inf")
        self._probe_count = 0
        self._router_count = 1
        self.lender = ""
        self._started_at = float("inf")
        self._quarantine_revision = 0

    @property
    def assigned_replica(self) -> str:
        """Return the replica to which this router reports its load, empty before the first one."""
        return self._assigned

    def list_origin_keepers(self) -> list[str]:
        """Return the replicas that may remember origins of streams, the assigned one first.

        One of an earlier release could not read what it is asked.
        """
        order = sorted(self._list_order(), key=lambda name: name != self._assigned)
        return [name for name in order if self._replicas[name].keeps_origins is not False]

    @property
    def do_replicas_keep_origins(self) -> bool:
        """Return whether most of the replicas that have answered remember origins of streams.

        Before the first answer, they are taken to do so.
        """
        answers = [
            one.keeps_origins for one in self._replicas.values() if one.keeps_origins is not None
        ]
        return not answers or 2 * sum(answers) > len(answers)

    @property
    def router_count(self) -> int:
        """Return the number of routers in the fleet, as the assigned replica counts them."""
        return self._router_count

    def wake(self, *, now: float) -> list[Effect]:
        """Poll the replicas that are due."""
        effects: list[Effect] = []
        self._started_at = min(self._started_at, now)
        if now >= self._next_report:
            self._next_report = now + LOAD_REPORT_INTERVAL_S
            effects += self._report_to_assigned(now)
        if now >= self._next_follow:
            self._next_follow = now + self._find_interval()
            effects += self._poll_others(now)
        effects += self.documents.request_due(now=now)
        effects.append(WakeAt(at=min(self._next_follow, self._next_report)))
        return effects

    def _find_interval(self) -> float:
        return min(
            MAX_FOLLOW_INTERVAL_S,
            max(FOLLOW_INTERVAL_S, self._router_count * FOLLOW_INTERVAL_PER_ROUTER_S),
        )

    def _list_order(self) -> list[str]:
        """Return the replicas in an order specific to this router, which spreads routers evenly."""
        names = sorted(self._replicas)
        return Random(self._router).sample(names, len(names))

    def _choose_assigned(self, now: float) -> str:
        """Return the first replica that answers; while none answers, each replica in turn."""
        order = self._list_order()
        for name in order:
            if now - self._replicas[name].last_seen_at <= ASSIGNED_REPLICA_TIMEOUT_S:
                return name
        self._next_fallback += 1
        return order[self._next_fallback % len(order)]

    def _report_to_assigned(self, now: float) -> list[Effect]:
        self._refresh_replicas(now)
        name = self._choose_assigned(now)
        report = self._get_report()
        replica = self._replicas[name]
        if name != self._assigned:
            # The list held so far is from the previously assigned replica.
            replica.silent_revision = 0
        self._assigned = name
        replica.record_request(now)
        self._quarantine_revision = report.quarantine_revision
        follow = Follow(
            router=self._router,
            run=replica.run,
            change=replica.change,
            version=self.documents.version,
            loads=report.loads,
            placed=report.placed,
            is_assigned=True,
            placed_change=replica.placed_change,
            document_address=self._document_address,
            crash_reports=report.crash_reports,
            quarantine_revision=report.quarantine_revision,
            is_partial=replica.is_partial,
            silent_revision=replica.silent_revision,
            is_stopping=report.is_stopping,
            can_carry=report.can_carry,
            needs_carriers=report.needs_carriers,
            lost_services=report.lost_services,
            answered=report.answered,
            polled_at=self._read_boot_clock(),
        )
        return [SendMessage(target=name, message=follow)]

    def report_load(self, *, now: float) -> list[Effect]:
        """Report to the assigned replica without waiting for the next interval."""
        return self._report_to_assigned(now)

    def _poll_others(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for name in self._list_polled(now):
            replica = self._replicas[name]
            replica.record_request(now)
            effects.append(SendMessage(target=name, message=self._make_follow(replica)))
        return effects

    def _list_polled(self, now: float) -> list[str]:
        """Return the replicas to poll besides the assigned one."""
        order = self._list_order()
        if now - self._started_at < STARTUP_S:
            order = order[:STARTUP_REPLICAS]
        others = [name for name in order if name != self._assigned]
        if self._router_count <= LARGE_FLEET_ROUTERS:
            return others
        # Together with the assigned one: a majority of all known replicas, silent ones included.
        needed = len(self._replicas) // 2
        silent = [name for name in others if self._replicas[name].is_silent(now)]
        answering = [name for name in others if name not in silent]
        if len(answering) < needed:
            return others
        return answering[:needed] + self._choose_probe(silent, now)

    def _choose_probe(self, silent: list[str], now: float) -> list[str]:
        """Return a silent replica every ``PROBE_INTERVAL_S``, to detect that it has recovered."""
        if not silent or now < self._next_probe:
            return []
        self._next_probe = now + PROBE_INTERVAL_S
        self._probe_count += 1
        return [silent[self._probe_count % len(silent)]]

    def _refresh_replicas(self, now: float) -> None:
        for seed in self._seeds:
            self._record_named(seed, now)
        for name, replica in list(self._replicas.items()):
            if now - replica.last_named_at > REPLICA_EXPIRY_S:
                del self._replicas[name]

    def _make_follow(self, replica: _Replica) -> Follow:
        return Follow(
            router=self._router,
            run=replica.run,
            change=replica.change,
            version=self.documents.version,
            quarantine_revision=self._quarantine_revision,
            is_partial=replica.is_partial,
            polled_at=self._read_boot_clock(),
        )

    def _record_named(self, name: str, now: float) -> _Replica:
        replica = self._replicas.get(name)
        if replica is None:
            replica = self._replicas[name] = _Replica(last_named_at=now)
        replica.last_named_at = now
        return replica

    def handle_view(self, source: str, view: View, *, now: float) -> None:
        """Merge the state sent by a replica."""
        replica = self._record_named(source, now)
        replica.record_answer(now)
        replica.keeps_origins = view.keeps_origins
        self._record_age(view)
        for record in view.records:
            self._table.merge(record, now=now, writer=source)
        self.restart_count += bool(replica.run) and view.run != replica.run
        replica.record_run(view.run)
        if view.has_loads:
            self._router_count = view.routers
            self.lender = view.lender
            replica.placed_change = view.placed_change
            replica.silent_revision = view.silent_revision
        replica.record_changes(view.base, view.change)
        for name in view.replicas:
            self._record_named(name, now)
        is_assigned = source == self._assigned
        self.documents.handle_version(source, view.version, is_assigned=is_assigned, now=now)
        self.documents.record_acknowledged(view.acknowledged, now=now)

    def _record_age(self, view: View) -> None:
        """Record how old a view can be at most.

        A router that was frozen, or whose machine was suspended, reads views of long ago when it
        wakes; its poll is the only event that the view is known to come after. Replicas of an
        earlier release do not return the time of the poll.
        """
        now = self._read_boot_clock()
        if not view.keeps_origins:
            self.viewed_at = now
        elif self._began_at <= view.polled_at <= now:
            self.viewed_at = max(self.viewed_at, view.polled_at)

    def handle_endpoints(self, update: EndpointUpdate, *, now: float) -> list[Effect]:
        """Merge the packed endpoints of a replica and forward the update."""
        unpacked = unpack_records(update.payload)
        if unpacked.is_error():
            self._on_bad_update(update.replica, unpacked.error)
            return []
        for record in unpacked.ok:
            self._table.merge(record, now=now, writer=update.replica)
        replica = self._record_named(update.replica, now)
        replica.record_run(update.run)
        replica.record_changes(update.base, update.change, is_partial=update.is_partial)
        return self.forward_update(update)

    def handle_silent(self, update: SilentUpdate) -> list[Effect]:
        """Record the revision of the list of silent endpoints and forward the update."""
        replica = self._replicas.get(update.replica)
        if replica is not None and replica.run == update.run:
            replica.silent_revision = update.revision
        return self.forward_update(update)

    def forward_update(self, update: EndpointUpdate | SilentUpdate | LoadUpdate) -> list[Effect]:
        """Forward an update to the routers listed in it."""
        forwarded = msgspec.structs.replace(update, forward_to=())
        return [SendMessage(target=router, message=forwarded) for router in update.forward_to]
