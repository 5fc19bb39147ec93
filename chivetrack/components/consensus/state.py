"""State shared by the follower, candidate and leader roles."""

from random import Random

from chivetrack.components.consensus.const import FIRST_ELECTION_ATTEMPTS
from chivetrack.components.consensus.log import Log
from chivetrack.components.consensus.messages import PeerMessage
from chivetrack.components.consensus.models import (
    Apply,
    HardState,
    LeadershipChanged,
    Limits,
    Recovered,
    Role,
    Timing,
)
from chivetrack.components.consensus.outbox import Outbox
from chivetrack.components.consensus.silences import Silences
from chivetrack.core import SendMessage


class State:
    """The state of one replica, and the effects of the current event.

    ``durable_index`` is the last synced index of the log. Times are in seconds.
    """

    def __init__(
        self,
        *,
        replica_id: str,
        random: Random,
        timing: Timing,
        limits: Limits,
        recovered: Recovered,
    ) -> None:
        """Start from the state recovered from disk, all of which counts as synced."""
        self.replica_id = replica_id
        self.random = random
        self.timing = timing
        self.limits = limits
        self.log = Log(recovered=recovered, limits=limits)
        self.term = recovered.hard_state.term
        self.vote = recovered.hard_state.vote
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self._last_reported: LeadershipChanged | None = None
        self.commit_index = recovered.snapshot.index
        self.durable_index = self.log.last_index
        self.leader_last_seen_at = float("-inf")
        self.silences = Silences()
        self.election_at = float("inf")
        self.first_election_attempts_left = FIRST_ELECTION_ATTEMPTS
        self.halted = False
        self.now = 0.0
        self.outbox = Outbox()

    @property
    def is_voter(self) -> bool:
        """Return whether the log of this replica names it as a voter."""
        return self.log.members.is_voter(self.replica_id)

    @property
    def is_member(self) -> bool:
        """Return whether the log of this replica names it as a voter or learner."""
        return self.log.members.find(self.replica_id) is not None

    @property
    def has_recent_leader(self) -> bool:
        """Return whether a leader was in contact within the shortest election timeout."""
        if self.role is Role.LEADER:
            return True
        return self.now < self.leader_last_seen_at + self.timing.election_min_s

    def get_instance(self, replica_id: str) -> str:
        """Return the instance of a replica, or its id if the log names no such member."""
        member = self.log.members.find(replica_id)
        return replica_id if member is None else member.instance_id

    def get_leader_instance(self) -> str:
        """Return the instance of the known leader, or an empty string."""
        return self.get_instance(self.leader_id) if self.leader_id else ""

    def set_term(self, term: int, vote: str) -> None:
        """Set the term and the vote given in it; both are synced with the event."""
        self.term = term
        self.vote = vote
        self.outbox.change_hard_state()

    def set_role(self, role: Role, leader_id: str) -> None:
        """Set the role and the known leader, and report the change.

        A change that equals the last reported one is not reported again.
        """
        self.role = role
        self.leader_id = leader_id
        change = LeadershipChanged(
            term=self.term,
            role=role,
            leader_id=leader_id,
            leader_instance=self.get_leader_instance(),
        )
        if change != self._last_reported:
            self._last_reported = change
            self.outbox.add(change)

    def send(self, message: PeerMessage, *, instance: str = "") -> None:
        """Send a message after the sync."""
        target = instance or self.get_instance(message.receiver)
        self.outbox.add(SendMessage(target=target, message=message))

    def reset_election(self) -> None:
        """Restart the election timeout, at random so that candidates rarely collide."""
        timing = self.timing
        low, high = timing.election_min_s, timing.election_max_s
        if self.first_election_attempts_left > 0 and self.leader_last_seen_at == float("-inf"):
            self.first_election_attempts_left -= 1
            low, high = timing.first_election_min_s, timing.first_election_max_s
        self.election_at = self.now + self.random.uniform(low, high)

    def is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Return whether a log with this last entry is at least as up to date as this one."""
        return (last_term, last_index) >= (self.log.last_term, self.log.last_index)

    def advance_commit(self, index: int) -> None:
        """Commit entries up to ``index``, or up to the end of the log."""
        index = min(index, self.log.last_index)
        if index <= self.commit_index:
            return
        entries = self.log.list_entries(self.commit_index + 1, index)
        self.commit_index = index
        self.outbox.add(Apply(entries=entries))

    def get_hard_state(self) -> HardState:
        """Return the term and vote as stored on disk."""
        return HardState(term=self.term, vote=self.vote)
