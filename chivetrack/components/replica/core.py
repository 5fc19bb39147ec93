"""The replicated log and its state machine as one component without I/O."""

from chivetrack.components.consensus import Consensus
from chivetrack.components.consensus.const import MIN_KEPT_BYTES
from chivetrack.components.consensus.messages import Entry, EntryKind
from chivetrack.components.consensus.models import (
    Apply,
    ConsensusStatus,
    Outcome,
    ProposalEnded,
    RestoreSnapshot,
    Snapshot,
    SnapshotTaken,
)
from chivetrack.components.replica.const import MAX_SNAPSHOT_BYTES, SNAPSHOT_ENTRIES
from chivetrack.components.replica.models import ProposalAnswered, StateMachine
from chivetrack.core import Effect, Event


class ReplicaCore:
    """Executes ``Apply`` and ``RestoreSnapshot`` itself and returns all other effects.

    Entries are applied without waiting for the sync of a ``Persist``: a committed entry
    is on the disks of a majority, whether or not it is on this one. All other effects
    must wait for the sync as described in ``Consensus``. The caller must handle
    ``Persist``, ``LoadSnapshot``, ``SendMessage``, ``WakeAt``, ``ProposalAnswered``,
    ``ReadReady`` and ``ReadRefused``. Handling ``LeadershipChanged``,
    ``TransferRefused`` and ``ReplicaRegressed`` is optional.
    """

    def __init__(
        self,
        *,
        consensus: Consensus,
        state_machine: StateMachine,
        snapshot: Snapshot,
        snapshot_entries: int = SNAPSHOT_ENTRIES,
    ) -> None:
        """Restore the state machine from the snapshot that ``consensus`` recovered."""
        self._consensus = consensus
        self._state_machine = state_machine
        self._snapshot_entries = snapshot_entries
        self._answers: dict[int, bytes] = {}
        self._snapshot_at: float | None = None
        self._restore(snapshot)

    @property
    def applied_index(self) -> int:
        """Return the index of the last entry that was applied."""
        return self._applied_index

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Process one event at time ``now`` (seconds, monotonic) and return its effects."""
        effects = self._execute(self._consensus.handle(event, now=now))
        if self._needs_snapshot():
            effects += self._save_snapshot(now)
        self._answers.clear()
        return effects

    def _needs_snapshot(self) -> bool:
        too_many = self._applied_index - self._snapshot_index >= self._snapshot_entries
        # A replica on an empty disk is sent the snapshot and the entries after it, so these should
        # be no more than the state itself. Many entries may each hold all of it.
        limit = min(MAX_SNAPSHOT_BYTES, max(MIN_KEPT_BYTES, self._snapshot_bytes))
        return too_many or self._applied_bytes >= limit

    def _execute(self, effects: list[Effect]) -> list[Effect]:
        others: list[Effect] = []
        for effect in effects:
            match effect:
                case Apply():
                    self._apply(effect.entries)
                case RestoreSnapshot():
                    self._restore(effect.snapshot)
                case ProposalEnded():
                    others.append(self._answer(effect))
                case _:
                    others.append(effect)
        return others

    def _apply(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            self._applied_index = entry.index
            self._applied_bytes += len(entry.data)
            if entry.kind is not EntryKind.DATA:
                continue
            answer = self._state_machine.apply(entry.index, entry.data)
            if self._consensus.is_leader:
                self._answers[entry.index] = answer

    def _restore(self, snapshot: Snapshot) -> None:
        self._state_machine.restore_snapshot(snapshot.data)
        self._applied_index = snapshot.index
        self._snapshot_index = snapshot.index
        self._snapshot_bytes = len(snapshot.data)
        self._applied_bytes = 0

    def _answer(self, ended: ProposalEnded) -> ProposalAnswered:
        committed = ended.outcome is Outcome.COMMITTED
        return ProposalAnswered(
            proposal_id=ended.proposal_id,
            outcome=ended.outcome,
            index=ended.index,
            data=self._answers.get(ended.index, b"") if committed else b"",
            refusal=ended.refusal,
            leader=ended.leader,
        )

    def _save_snapshot(self, now: float) -> list[Effect]:
        data = self._state_machine.take_snapshot()
        self._snapshot_index = self._applied_index
        self._snapshot_bytes = len(data)
        self._applied_bytes = 0
        self._snapshot_at = now
        taken = SnapshotTaken(index=self._applied_index, data=data)
        return self._execute(self._consensus.handle(taken, now=now))

    def take_backup(self, *, now: float) -> Snapshot:
        """Return the current state as a snapshot, for a backup."""
        status = self.get_status(now=now)
        return Snapshot(
            index=self._applied_index,
            term=status.term,
            members=status.members,
            data=self._state_machine.take_snapshot(),
        )

    def get_status(self, *, now: float) -> ConsensusStatus:
        """Return the status of the consensus core."""
        return self._consensus.get_status(now=now)

    def get_snapshot_age(self, *, now: float) -> float | None:
        """Return the seconds since the last snapshot, or ``None`` if none since the start."""
        return None if self._snapshot_at is None else now - self._snapshot_at
