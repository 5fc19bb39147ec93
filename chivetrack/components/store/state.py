"""The state of the store, and the registry of command handlers."""

from collections.abc import Callable
from typing import Any, Final, TypeVar

from chivetrack.components.store.claims import ClaimRecord, ClaimTable
from chivetrack.components.store.commands import Command
from chivetrack.components.store.leases import Lease, LeaseTable
from chivetrack.components.store.outcomes import Outcome
from chivetrack.components.store.records import Change, KindRecords
from chivetrack.components.store.requests import CompletedRequest, CompletedRequests
from chivetrack.components.store.table import ResourceTable
from chivetrack.helpers.codec import Message, message

SNAPSHOT_KIND: Final = "store/snapshot"


@message(SNAPSHOT_KIND)
class Snapshot(Message, frozen=True, array_like=True, kw_only=True):
    """The whole state of a store."""

    index: int
    time_ms: int
    revision: int
    compaction_revision: int
    kinds: tuple[KindRecords, ...]
    changes: tuple[Change, ...]
    requests: tuple[CompletedRequest, ...]
    leases: tuple[Lease, ...]
    fencing: int
    claims: tuple[ClaimRecord, ...]
    grant: int


class State:
    """All data that commands read and modify; ``time_ms`` is the store's clock."""

    def __init__(self, *, table: ResourceTable) -> None:
        """Start empty; ``table`` stays the same object when a snapshot is restored."""
        self.table = table
        self.requests = CompletedRequests()
        self.leases = LeaseTable()
        self.claims = ClaimTable()
        self.index = 0
        self.time_ms = 0

    def advance_time(self, time_ms: int) -> None:
        """Advance the clock to a proposer's time, unless that is earlier, and expire data."""
        self.time_ms = max(self.time_ms, time_ms)
        self.requests.expire(self.time_ms)
        self.claims.expire(self.time_ms)

    def export(self) -> Snapshot:
        """Return the whole state as a snapshot."""
        table = self.table
        return Snapshot(
            index=self.index,
            time_ms=self.time_ms,
            revision=table.revision,
            compaction_revision=table.compaction_revision,
            kinds=table.export(),
            changes=tuple(table.list_changes(table.compaction_revision) or ()),
            requests=self.requests.export(),
            leases=self.leases.list_leases(),
            fencing=self.leases.fencing,
            claims=self.claims.export(),
            grant=self.claims.grant,
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the whole state by a snapshot."""
        self.index = snapshot.index
        self.time_ms = snapshot.time_ms
        self.requests = CompletedRequests(snapshot.requests)
        self.leases = LeaseTable(snapshot.leases, fencing=snapshot.fencing)
        self.claims = ClaimTable(snapshot.claims, grant=snapshot.grant)
        self.table.replace(
            snapshot.kinds,
            revision=snapshot.revision,
            compaction_revision=snapshot.compaction_revision,
            changes=snapshot.changes,
        )


Handler = Callable[[State, Any], Outcome]
HandlerT = TypeVar("HandlerT", bound=Handler)

HANDLERS: dict[type[Command], Handler] = {}


def handles(command: type[Command]) -> Callable[[HandlerT], HandlerT]:
    """Register the decorated function as the handler of a command type."""

    def register(handler: HandlerT) -> HandlerT:
        if command in HANDLERS:
            raise ValueError(f"{command.__name__} has two handlers")
        HANDLERS[command] = handler
        return handler

    return register
