"""The state machine behind the replicated log."""

from chivetrack.components.store import hold_handlers, resource_handlers
from chivetrack.components.store.commands import Command, compute_fingerprint
from chivetrack.components.store.leases import Lease
from chivetrack.components.store.outcomes import Outcome, RefusalCode, Refused
from chivetrack.components.store.requests import CompletedRequest
from chivetrack.components.store.state import HANDLERS, SNAPSHOT_KIND, Snapshot, State
from chivetrack.components.store.table import ResourceTable
from chivetrack.exceptions import ChivetrackError
from chivetrack.helpers.codec import DecodeError, decode, encode, pack, unpack

__all__ = ["Store", "StoreError", "decode_command", "hold_handlers", "resource_handlers"]


class StoreError(ChivetrackError):
    """The log handed in something that the store can't apply; the replica must stop."""


def decode_command(data: bytes) -> Command:
    """Decode a command; raise ``DecodeError`` for anything else.

    A leader checks with this what it was sent before it proposes it.
    """
    command = unpack(data)
    if type(command) not in HANDLERS or not isinstance(command, Command):
        raise DecodeError(f"{type(command).__name__} is not a command of the store")
    return command


class Store:
    """Applies commands in the order of the log; the same log gives the same bytes.

    No clock but the commands' stamps, no random numbers, no iteration over sets:
    replicas that have applied the same entries hold the same state.
    """

    def __init__(self, *, table: ResourceTable | None = None) -> None:
        """Start empty; ``table`` may be shared with readers, only the store writes it."""
        self._state = State(table=table if table is not None else ResourceTable())

    @property
    def table(self) -> ResourceTable:
        """Return the resources, for readers."""
        return self._state.table

    @property
    def revision(self) -> int:
        """Return the revision of the last change."""
        return self._state.table.revision

    @property
    def index(self) -> int:
        """Return the log index of the last command that was applied."""
        return self._state.index

    @property
    def time_ms(self) -> int:
        """Return the store's clock, the highest stamp seen, in ms since 1970."""
        return self._state.time_ms

    def apply(self, index: int, data: bytes) -> bytes:
        """Apply a packed command at a log index and return the packed outcome.

        Raises ``StoreError`` for bytes that this version does not understand or an
        index that was applied before. To skip such an entry would let this replica
        differ from the others without anybody noticing.
        """
        if index <= self._state.index:
            raise StoreError(f"index {index} comes after index {self._state.index}")
        try:
            command = decode_command(data)
        except DecodeError as error:
            raise StoreError(f"entry {index}: {error}") from error
        self._state.index = index
        self._state.advance_time(command.stamp.time_ms)
        if command.stamp.request_id:
            return self._apply_once(command)
        return pack(self._execute(command))

    def find_outcome(self, request_id: str, fingerprint: bytes) -> Outcome | None:
        """Return the outcome remembered for a request, or ``None``."""
        recorded = self._state.requests.find(request_id)
        if recorded is None:
            return None
        return self._get_recorded_outcome(recorded, fingerprint)

    def get_lease(self, name: str) -> Lease | None:
        """Return a lease if somebody holds it."""
        return self._state.leases.get(name, time_ms=self._state.time_ms)

    def take_snapshot(self) -> bytes:
        """Return the whole state, for ``restore_snapshot``.

        Not packed like a command: that would copy it once more, and with tens of
        thousands of workspaces each copy counts.
        """
        return encode(self._state.export())

    def restore_snapshot(self, data: bytes) -> None:
        """Put the state of a snapshot in place; raise ``StoreError`` for other bytes.

        No bytes mean the empty state, with which a new log begins.

        A snapshot older than the state is refused too: revisions must not go back.
        """
        if not data and self.index == 0:
            return
        try:
            snapshot = decode(SNAPSHOT_KIND, data)
        except DecodeError as error:
            raise StoreError(f"not a snapshot: {error}") from error
        if not isinstance(snapshot, Snapshot):
            raise StoreError("not a snapshot of the store")
        if snapshot.index < self._state.index or snapshot.revision < self.revision:
            raise StoreError(f"the snapshot at index {snapshot.index} is older than the state")
        self._state.restore(snapshot)

    def _apply_once(self, command: Command) -> bytes:
        """Apply a command unless its request was applied before.

        A caller who lost the answer sends again; a second create would be refused
        and a second patch applied twice, so the first outcome is given instead.
        """
        request_id = command.stamp.request_id
        fingerprint = compute_fingerprint(command)
        recorded = self._state.requests.find(request_id)
        if recorded is not None:
            return pack(self._get_recorded_outcome(recorded, fingerprint))
        outcome = pack(self._execute(command))
        request = CompletedRequest(request_id, fingerprint, self._state.time_ms, outcome)
        self._state.requests.record(request)
        return outcome

    def _get_recorded_outcome(self, recorded: CompletedRequest, fingerprint: bytes) -> Outcome:
        if recorded.fingerprint != fingerprint:
            message = f"request id {recorded.request_id!r} was used for another request"
            return Refused(RefusalCode.REQUEST_ID_REUSED, message)
        outcome = unpack(recorded.outcome)
        assert isinstance(outcome, Outcome)
        return outcome

    def _execute(self, command: Command) -> Outcome:
        stamp = command.stamp
        if stamp.lease and not self._holds_lease(stamp.lease, stamp.fencing):
            # A controller that was frozen past its lease wakes up and writes on:
            # it would undo what its successor did. Only the newest number passes.
            message = f"lease {stamp.lease!r} is not held under number {stamp.fencing}"
            return Refused(RefusalCode.FENCED, message)
        return HANDLERS[type(command)](self._state, command)

    def _holds_lease(self, name: str, fencing: int) -> bool:
        lease = self.get_lease(name)
        return lease is not None and lease.fencing == fencing
