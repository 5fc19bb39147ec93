"""The state machine of the replicated log."""

from chivetrack.components.store import lease_and_claim_handlers, resource_handlers
from chivetrack.components.store.commands import Command, compute_fingerprint
from chivetrack.components.store.leases import Lease
from chivetrack.components.store.outcomes import Outcome, RefusalCode, Refused
from chivetrack.components.store.requests import CompletedRequest
from chivetrack.components.store.state import HANDLERS, SNAPSHOT_KIND, Snapshot, State
from chivetrack.components.store.table import ResourceTable
from chivetrack.exceptions import ChivetrackError
from chivetrack.helpers.codec import DecodeError, decode, encode, pack, unpack

__all__ = ["Store", "StoreError", "decode_command", "lease_and_claim_handlers", "resource_handlers"]


class StoreError(ChivetrackError):
    """The store can't apply an entry or a snapshot of the log; the replica must stop."""


def decode_command(data: bytes) -> Command:
    """Decode a command; raise ``DecodeError`` for anything else.

    The leader also uses this to validate forwarded commands before it proposes them.
    """
    command = unpack(data)
    if type(command) not in HANDLERS or not isinstance(command, Command):
        raise DecodeError(f"{type(command).__name__} is not a command of the store")
    return command


class Store:
    """Applies commands in log order; the same log produces the same bytes of state.

    Replicas that applied the same entries must hold the same state. So the store uses no
    clock except the time stamps of commands, no random numbers and no iteration over sets.
    """

    def __init__(self, *, table: ResourceTable | None = None) -> None:
        """Start empty; ``table`` may be shared with readers, but only the store modifies it."""
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
        """Return the store's clock: the highest time stamp so far, in ms since 1970."""
        return self._state.time_ms

    def apply(self, index: int, data: bytes) -> bytes:
        """Apply a packed command at a log index and return the packed outcome.

        Raises ``StoreError`` for data that this version can't decode, or an index that was
        applied before. If such an entry were skipped, the state of this replica would
        silently diverge from the others.
        """
        if index <= self._state.index:
            raise StoreError(f"index {index} is not above the applied index {self._state.index}")
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
        """Return the recorded outcome of a request, or ``None``."""
        recorded = self._state.requests.find(request_id)
        if recorded is None:
            return None
        return self._get_recorded_outcome(recorded, fingerprint)

    def get_lease(self, name: str) -> Lease | None:
        """Return a lease, or ``None`` if it is free or expired."""
        return self._state.leases.get(name, time_ms=self._state.time_ms)

    def take_snapshot(self) -> bytes:
        """Return the whole state, for ``restore_snapshot``.

        The state is not packed like a command, which would copy it once more; with tens of
        thousands of workspaces it is large.
        """
        return encode(self._state.export())

    def restore_snapshot(self, data: bytes) -> None:
        """Replace the state by that of a snapshot; raise ``StoreError`` for other data.

        Empty ``data`` stands for the empty state, with which a new log begins.

        A snapshot older than the state is refused, since revisions must never decrease.
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

        A caller that did not receive the answer resends the request. A second create would
        be refused and a second patch applied twice, so the first outcome is returned.
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
            # A controller that was frozen until after its lease expired may continue to
            # write and undo changes of its successor. Only the current number is accepted.
            message = f"lease {stamp.lease!r} is not held under number {stamp.fencing}"
            return Refused(RefusalCode.FENCED, message)
        return HANDLERS[type(command)](self._state, command)

    def _holds_lease(self, name: str, fencing: int) -> bool:
        lease = self.get_lease(name)
        return lease is not None and lease.fencing == fencing
