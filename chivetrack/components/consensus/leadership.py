"""Duties of the leader: proposals, reads, member changes, commits, leadership transfer."""

from collections import deque
from dataclasses import dataclass

from chivetrack.components.consensus.changes import (
    find_member_change_refusal,
    is_caught_up,
)
from chivetrack.components.consensus.const import (
    MAX_ENTRY_BYTES,
    MAX_UNCOMMITTED_BYTES,
    MAX_UNCOMMITTED_ENTRIES,
)
from chivetrack.components.consensus.messages import (
    AppendAnswer,
    Entry,
    EntryKind,
    SnapshotAnswer,
    TimeoutNow,
)
from chivetrack.components.consensus.models import (
    ChangeMembers,
    Outcome,
    Proposal,
    ProposalEnded,
    ReadReady,
    ReadRefused,
    Refusal,
    ReplicaStatus,
    Snapshot,
    TransferRefused,
)
from chivetrack.components.consensus.replication import Replication
from chivetrack.components.consensus.state import State
from chivetrack.helpers.codec import pack


@dataclass(frozen=True, slots=True, kw_only=True)
class _Pending:
    """A proposal that is appended but not committed; ``size`` in bytes."""

    index: int
    proposal_id: int
    size: int


@dataclass(frozen=True, slots=True, kw_only=True)
class _Read:
    """A read that waits for heartbeat round ``round`` and for ``index`` to be committed."""

    read_id: int
    round: int
    index: int


@dataclass(frozen=True, slots=True, kw_only=True)
class _LeadershipTransfer:
    """A leadership transfer to ``target`` that is abandoned at time ``deadline``."""

    target: str
    deadline: float


class Leadership:
    """The state of this replica while it leads in one term; discarded afterwards."""

    def __init__(self, *, state: State) -> None:
        """Append an empty entry and send the first heartbeats.

        A leader may count replicas only for entries of its own term; once the empty
        entry is committed, all earlier entries are committed with it.
        """
        self._state = state
        self._replication = Replication(state=state)
        self._pending: deque[_Pending] = deque()
        self._pending_bytes = 0
        self._reads: deque[_Read] = deque()
        self._confirmed_round = 0
        self._transfer: _LeadershipTransfer | None = None
        self.heartbeat_at = state.now + state.timing.heartbeat_s
        self.first_index = state.log.last_index + 1
        self._append(EntryKind.NOOP, b"")
        self._replication.start_round()

    def _append_pending(self, kind: EntryKind, data: bytes, proposal_id: int) -> None:
        index = self._append(kind, data)
        self._pending.append(_Pending(index=index, proposal_id=proposal_id, size=len(data)))
        self._pending_bytes += len(data)

    def _append(self, kind: EntryKind, data: bytes) -> int:
        state = self._state
        index = state.log.last_index + 1
        entry = Entry(index=index, term=state.term, kind=kind, data=data)
        state.log.append((entry,))
        state.outbox.append((entry,))
        return index

    def propose(self, proposals: tuple[Proposal, ...]) -> None:
        """Append proposals and send them to the other replicas."""
        for proposal in proposals:
            refusal = self._find_refusal(proposal.data)
            if refusal is not Refusal.NONE:
                self._refuse(proposal.proposal_id, refusal)
                continue
            self._append_pending(EntryKind.DATA, proposal.data, proposal.proposal_id)
        self._replication.broadcast_entries()

    def _find_refusal(self, data: bytes = b"") -> Refusal:
        state = self._state
        if len(data) > MAX_ENTRY_BYTES:
            return Refusal.TOO_LARGE
        if self._transfer is not None:
            return Refusal.TRANSFERRING
        if state.log.last_index - state.commit_index >= MAX_UNCOMMITTED_ENTRIES:
            return Refusal.OVERLOADED
        if self._pending_bytes + len(data) > MAX_UNCOMMITTED_BYTES:
            return Refusal.OVERLOADED
        return Refusal.NONE

    def _refuse(self, proposal_id: int, refusal: Refusal) -> None:
        self._state.outbox.add(
            ProposalEnded(
                proposal_id=proposal_id,
                outcome=Outcome.REFUSED,
                refusal=refusal,
                leader=self._state.get_leader_instance(),
            )
        )

    def change_members(self, event: ChangeMembers) -> None:
        """Append a member change, which takes effect at once, or refuse it."""
        state = self._state
        refusal = self._find_refusal()
        if refusal is Refusal.NONE and state.commit_index < self.first_index:
            # Until an entry of this term is committed, a member change of an earlier
            # leader may be undecided; two changes at once can have disjoint quorums.
            refusal = Refusal.NOT_READY
        if refusal is Refusal.NONE:
            refusal = find_member_change_refusal(state, event, self._replication.progress)
        if refusal is not Refusal.NONE:
            self._refuse(event.proposal_id, refusal)
            return
        member = state.log.members.find(event.member.replica_id) or event.member
        members = state.log.members.change(event.kind, member)
        self._append_pending(EntryKind.MEMBERS, pack(members), event.proposal_id)
        self._replication.sync_members()
        self._replication.broadcast_entries()

    def read(self, read_id: int) -> None:
        """Queue a read until a quorum confirms a heartbeat round that begins after it.

        A leader in a network partition does not know that it was replaced. The round
        proves that no other leader was elected before the read was requested.
        """
        replication = self._replication
        no_round_pending = self._confirmed_round == replication.round
        index = max(self._state.commit_index, self.first_index)
        self._reads.append(_Read(read_id=read_id, round=replication.round + 1, index=index))
        if no_round_pending:
            replication.start_round()
        self.advance()

    def transfer(self, target: str) -> None:
        """Refuse further proposals and transfer leadership once the target holds every entry.

        Without a ``target``, the reachable voter with the most entries is chosen.
        """
        target = target or self._choose_target()
        progress = self._replication.progress.get(target)
        if progress is None or not self._state.log.members.is_voter(target):
            self._state.outbox.add(TransferRefused(refusal=Refusal.NOT_A_MEMBER))
            return
        deadline = self._state.now + self._state.timing.election_max_s
        self._transfer = _LeadershipTransfer(target=target, deadline=deadline)
        self._replication.send_entries(progress)
        self._try_transfer()

    def _choose_target(self) -> str:
        state = self._state
        recent = state.now - state.timing.election_min_s
        candidates = [
            one
            for one in self._replication.progress.values()
            if state.log.members.is_voter(one.replica_id) and one.last_contact >= recent
        ]
        best = max(candidates, key=lambda one: one.match_index, default=None)
        return "" if best is None else best.replica_id

    def _try_transfer(self) -> None:
        state = self._state
        if self._transfer is None:
            return
        target = self._transfer.target
        progress = self._replication.progress.get(target)
        if progress is None or progress.match_index < state.log.last_index:
            return
        if state.commit_index < state.log.last_index:
            # Wait, so that pending proposals end as committed and not as unknown.
            return
        state.send(TimeoutNow(sender=state.replica_id, receiver=target, term=state.term))

    def handle_append_answer(self, answer: AppendAnswer) -> None:
        """Process the answer to an append request."""
        self._replication.handle_append_answer(answer)
        self.advance()

    def handle_chunk_answer(self, answer: SnapshotAnswer) -> None:
        """Process the answer to a snapshot chunk."""
        self._replication.handle_chunk_answer(answer)
        self.advance()

    def send_snapshot(self, snapshot: Snapshot) -> None:
        """Send a snapshot that was read from disk to the replicas that wait for it."""
        self._replication.send_snapshot(snapshot)

    def wake(self) -> None:
        """Start a heartbeat round or abandon a transfer if its time has come."""
        state = self._state
        if state.now >= self.heartbeat_at:
            self.heartbeat_at = state.now + state.timing.heartbeat_s
            self._replication.start_round()
        if self._transfer is not None and state.now >= self._transfer.deadline:
            self._transfer = None
            state.outbox.add(TransferRefused(refusal=Refusal.NOT_CAUGHT_UP))

    def has_quorum_contact(self) -> bool:
        """Return whether a majority had contact within the longest election timeout."""
        state = self._state
        oldest = state.now - state.timing.election_max_s
        progress = self._replication.progress.values()
        reachable = {one.replica_id for one in progress if one.last_contact >= oldest}
        return state.log.members.has_quorum(reachable | {state.replica_id})

    def advance(self) -> None:
        """Commit what a majority has synced, then complete proposals and reads."""
        before = self._state.commit_index
        self._commit()
        self._end_proposals()
        if self._state.commit_index > before:
            self._replication.broadcast_commit()
            if self._state.log.members_index <= self._state.commit_index:
                self._replication.drop_removed()
        self._confirm_reads()
        self._try_transfer()

    def _commit(self) -> None:
        state = self._state
        voters = state.log.members.list_voters()
        matches = sorted((self._get_match_index(one) for one in voters), reverse=True)
        index = matches[state.log.members.get_majority() - 1]
        # An entry of an earlier term may be stored on a majority and still be overwritten.
        # It is committed only together with a later entry of the current term.
        if state.log.find_term(index) == state.term:
            state.advance_commit(index)

    def _get_match_index(self, replica_id: str) -> int:
        if replica_id == self._state.replica_id:
            return self._state.durable_index
        return self._replication.progress[replica_id].match_index

    def _end_proposals(self) -> None:
        while self._pending and self._pending[0].index <= self._state.commit_index:
            ended = self._pending.popleft()
            self._pending_bytes -= ended.size
            self._state.outbox.add(
                ProposalEnded(
                    proposal_id=ended.proposal_id, outcome=Outcome.COMMITTED, index=ended.index
                )
            )

    def _confirm_reads(self) -> None:
        state = self._state
        progress = self._replication.progress
        rounds = [progress[one].acknowledged_round for one in self._list_other_voters()]
        if state.is_voter:
            rounds.append(self._replication.round)
        rounds.sort(reverse=True)
        self._confirmed_round = rounds[state.log.members.get_majority() - 1]
        while self._reads and self._is_read_ready(self._reads[0]):
            read = self._reads.popleft()
            state.outbox.add(ReadReady(read_id=read.read_id, index=read.index))
        waits = bool(self._reads) and self._reads[-1].round > self._replication.round
        if waits and self._confirmed_round == self._replication.round:
            self._replication.start_round()
            self._confirm_as_sole_voter()

    def _confirm_as_sole_voter(self) -> None:
        """Confirm the new round at once if this replica is the only voter."""
        if not self._list_other_voters():
            self._confirm_reads()

    def _is_read_ready(self, read: _Read) -> bool:
        confirmed = read.round <= self._confirmed_round
        return confirmed and read.index <= self._state.commit_index

    def _list_other_voters(self) -> list[str]:
        voters = self._state.log.members.list_voters()
        return [one for one in voters if one != self._state.replica_id]

    def end(self) -> None:
        """Complete what is pending when leadership ends.

        Proposals end as unknown, since the next leader may still commit them; reads are
        refused.
        """
        state = self._state
        state.silences.record_own(self._replication.list_last_heard())
        for one in self._pending:
            state.outbox.add(ProposalEnded(proposal_id=one.proposal_id, outcome=Outcome.UNKNOWN))
        for read in self._reads:
            state.outbox.add(ReadRefused(read_id=read.read_id))

    def list_replicas(self, now: float) -> tuple[ReplicaStatus, ...]:
        """Return the replication status of each member."""
        return tuple(
            self._make_status(one.replica_id, now) for one in self._state.log.members.members
        )

    def _make_status(self, replica_id: str, now: float) -> ReplicaStatus:
        state = self._state
        progress = self._replication.progress.get(replica_id)
        return ReplicaStatus(
            replica_id=replica_id,
            instance_id=state.get_instance(replica_id),
            voter=state.log.members.is_voter(replica_id),
            match_index=self._get_match_index(replica_id),
            last_contact_age_s=0.0 if progress is None else now - progress.last_contact,
            silence_s=0.0 if progress is None else now - progress.last_heard,
            regressed=progress is not None and progress.regressed,
            caught_up=progress is None or is_caught_up(state, progress),
        )
