"""Entry point of the replicated log: processes events and returns effects."""

from random import Random

from chivetrack.components.consensus.elections import Elections
from chivetrack.components.consensus.follower import Follower
from chivetrack.components.consensus.leadership import Leadership
from chivetrack.components.consensus.messages import (
    AppendAnswer,
    AppendRequest,
    PeerMessage,
    PreVoteAnswer,
    PreVoteRequest,
    SnapshotAnswer,
    SnapshotChunk,
    TimeoutNow,
    VoteAnswer,
    VoteRequest,
)
from chivetrack.components.consensus.models import (
    ChangeMembers,
    ConsensusStatus,
    Limits,
    Outcome,
    Persisted,
    ProposalEnded,
    Propose,
    ReadRefused,
    ReadRequested,
    Recovered,
    Refusal,
    Role,
    Snapshot,
    SnapshotLoaded,
    SnapshotTaken,
    Timing,
    TransferLeadership,
    TransferRefused,
)
from chivetrack.components.consensus.state import State
from chivetrack.core import Effect, Event, MessageReceived, WakeAt


class Consensus:
    """One replica of the log.

    The caller must execute the effects in order, and those after a ``Persist`` only
    once it is synced; this also holds across events. If a sync fails, the caller must
    discard all pending effects and this object, and create a new one from the state on
    disk. After a start, the caller passes in a ``TimeReached`` event to set the first
    timer.
    """

    def __init__(
        self,
        *,
        replica_id: str,
        random: Random,
        timing: Timing,
        recovered: Recovered,
        limits: Limits | None = None,
    ) -> None:
        """Start as a follower with the state recovered from disk."""
        self._state = State(
            replica_id=replica_id,
            random=random,
            timing=timing,
            limits=limits or Limits(),
            recovered=recovered,
        )
        self._elections = Elections(state=self._state)
        self._follower = Follower(state=self._state)
        self._leadership: Leadership | None = None
        self._wake_at: float | None = None

    @property
    def replica_id(self) -> str:
        """Return the id of this replica."""
        return self._state.replica_id

    @property
    def commit_index(self) -> int:
        """Return the last index known to be committed."""
        return self._state.commit_index

    @property
    def is_leader(self) -> bool:
        """Return whether this replica is the leader, as far as it knows."""
        return self._state.role is Role.LEADER

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Process one event at time ``now`` (seconds, monotonic) and return its effects."""
        state = self._state
        state.now = now
        if state.halted:
            return self._refuse_halted(event)
        if state.election_at == float("inf"):
            state.reset_election()
        self._check_quorum()
        self._dispatch(event)
        if not state.halted:
            self._schedule_wake()
        return state.outbox.drain(state.get_hard_state(), state.log.last_index, state.log.last_term)

    def _dispatch(self, event: Event) -> None:
        match event:
            case MessageReceived(message=PeerMessage() as message):
                self._handle_message(message)
            case Persisted():
                self._handle_persisted(event)
            case Propose():
                self._propose(event)
            case ReadRequested():
                self._read(event)
            case SnapshotTaken():
                self._save_snapshot(event)
            case SnapshotLoaded():
                self._send_snapshot(event)
            case ChangeMembers():
                self._change_members(event)
            case TransferLeadership():
                self._transfer(event)
        self._wake()

    def _refuse_halted(self, event: Event) -> list[Effect]:
        match event:
            case Propose():
                self._propose(event)
            case ReadRequested():
                self._read(event)
            case ChangeMembers():
                self._change_members(event)
        return self._state.outbox.drain(self._state.get_hard_state(), 0, 0)

    def _wake(self) -> None:
        state = self._state
        if self._leadership is not None:
            self._leadership.wake()
            return
        if state.now < state.election_at or state.halted:
            return
        if self._elections.start_pre_vote():
            self._campaign(transfer=False)

    def _schedule_wake(self) -> None:
        """Request a wake-up for the next timer, unless an earlier one is pending."""
        state = self._state
        due = state.election_at
        if self._leadership is not None:
            due = self._leadership.heartbeat_at
        pending = self._wake_at is not None and state.now < self._wake_at <= due
        if not pending:
            self._wake_at = due
            state.outbox.add(WakeAt(at=due))

    def _check_quorum(self) -> None:
        """Step down if this leader has lost contact with a majority.

        Runs before the event is processed. A leader that was frozen or partitioned
        would otherwise accept proposals that it cannot commit, and callers would not
        look for the leader elected in the meantime.
        """
        if self._leadership is not None and not self._leadership.has_quorum_contact():
            self._become_follower(self._state.term, "")

    def _become_follower(self, term: int, leader_id: str) -> None:
        state = self._state
        if term > state.term:
            state.set_term(term, "")
        if self._leadership is not None:
            self._leadership.end()
            self._leadership = None
            state.reset_election()
        if state.role is not Role.FOLLOWER or state.leader_id != leader_id:
            state.set_role(Role.FOLLOWER, leader_id)

    def _campaign(self, *, transfer: bool) -> None:
        if self._elections.start_vote(transfer=transfer):
            self._become_leader()

    def _become_leader(self) -> None:
        state = self._state
        state.set_role(Role.LEADER, state.replica_id)
        self._leadership = Leadership(state=state)

    def _handle_message(self, message: PeerMessage) -> None:
        state = self._state
        if message.receiver != state.replica_id:
            return
        if isinstance(message, PreVoteRequest):
            self._elections.answer_pre_vote(message)
            return
        if isinstance(message, PreVoteAnswer) and message.granted:
            # Handled before the terms are compared: the voter's term is lower than the
            # term of this replica if it was a candidate before.
            if self._elections.count_pre_vote(message):
                self._campaign(transfer=False)
            return
        if isinstance(message, VoteRequest) and state.has_recent_leader and not message.transfer:
            # A replica in contact with a leader ignores candidates, so that they can't
            # depose that leader.
            return
        if message.term > state.term:
            self._become_follower(message.term, "")
        if message.term < state.term:
            self._reject_old_term(message)
            return
        self._handle_current_term(message)

    def _reject_old_term(self, message: PeerMessage) -> None:
        if isinstance(message, AppendRequest):
            self._follower.refuse_append(message)
        if isinstance(message, VoteRequest):
            self._elections.answer_vote(message)

    def _handle_current_term(self, message: PeerMessage) -> None:
        match message:
            case AppendRequest():
                self._record_leader(message.sender)
                self._state.silences.record_heartbeat(
                    message.sender, message.silences, self._state.now
                )
                self._follower.handle_append(message)
            case SnapshotChunk():
                self._record_leader(message.sender)
                self._follower.handle_chunk(message)
            case VoteRequest():
                self._elections.answer_vote(message)
            case VoteAnswer():
                if self._elections.count_vote(message):
                    self._become_leader()
            case TimeoutNow():
                if self._state.is_voter:
                    self._campaign(transfer=True)
            case _:
                self._handle_answer(message)

    def _handle_answer(self, message: PeerMessage) -> None:
        if self._leadership is None:
            return
        if isinstance(message, AppendAnswer):
            self._leadership.handle_append_answer(message)
        if isinstance(message, SnapshotAnswer):
            self._leadership.handle_chunk_answer(message)

    def _record_leader(self, leader_id: str) -> None:
        state = self._state
        if self._leadership is not None:
            raise AssertionError(f"{leader_id} is a second leader in term {state.term}")
        self._become_follower(state.term, leader_id)
        state.leader_last_seen_at = state.now
        state.reset_election()

    def _handle_persisted(self, event: Persisted) -> None:
        state = self._state
        if state.log.find_term(event.last_index) == event.last_term:
            state.durable_index = max(state.durable_index, event.last_index)
        if self._leadership is not None:
            self._leadership.advance()

    def _propose(self, event: Propose) -> None:
        if self._leadership is not None:
            self._leadership.propose(event.proposals)
            return
        for proposal in event.proposals:
            self._refuse(proposal.proposal_id)

    def _change_members(self, event: ChangeMembers) -> None:
        if self._leadership is not None:
            self._leadership.change_members(event)
            return
        self._refuse(event.proposal_id)

    def _refuse(self, proposal_id: int) -> None:
        self._state.outbox.add(
            ProposalEnded(
                proposal_id=proposal_id,
                outcome=Outcome.REFUSED,
                refusal=Refusal.NOT_LEADER,
                leader=self._state.get_leader_instance(),
            )
        )

    def _read(self, event: ReadRequested) -> None:
        if self._leadership is not None:
            self._leadership.read(event.read_id)
            return
        leader = self._state.get_leader_instance()
        self._state.outbox.add(ReadRefused(read_id=event.read_id, leader=leader))

    def _transfer(self, event: TransferLeadership) -> None:
        if self._leadership is not None:
            self._leadership.transfer(event.target)
            return
        self._state.outbox.add(TransferRefused(refusal=Refusal.NOT_LEADER))

    def _save_snapshot(self, event: SnapshotTaken) -> None:
        state = self._state
        if not state.log.snapshot.index < event.index <= state.commit_index:
            return
        snapshot = Snapshot(
            index=event.index,
            term=state.log.find_term(event.index) or 0,
            members=state.log.get_members_at(event.index),
            data=event.data,
        )
        state.log.compact(snapshot)
        state.outbox.save_snapshot(snapshot, reset=False)

    def _send_snapshot(self, event: SnapshotLoaded) -> None:
        if self._leadership is not None:
            self._leadership.send_snapshot(event.snapshot)

    def get_status(self, *, now: float) -> ConsensusStatus:
        """Return a status snapshot of this replica; on the leader, also of all members."""
        state = self._state
        leadership = self._leadership
        return ConsensusStatus(
            replica_id=state.replica_id,
            role=state.role,
            term=state.term,
            leader_id=state.leader_id,
            leader_instance=state.get_leader_instance(),
            commit_index=state.commit_index,
            last_index=state.log.last_index,
            snapshot_index=state.log.snapshot.index,
            members=state.log.members,
            halted=state.halted,
            replicas=() if leadership is None else leadership.list_replicas(now),
            first_index=0 if leadership is None else leadership.first_index,
        )
