"""Keeps the replicated log at its target number of voters, without an operator."""

from collections.abc import Mapping
from dataclasses import dataclass

from chivetrack.components.consensus.const import ELECTION_MIN_S
from chivetrack.components.consensus.members import ChangeKind, Member, Members
from chivetrack.components.consensus.models import ConsensusStatus, ReplicaStatus
from chivetrack.helpers.codec import Message, Priority, message

# The successor of a replaced instance must vote within the time that operators give it to catch
# up. A voter that has not answered a leader for half of that time gives way to it.
VOTER_TIMEOUT_SHARE = 0.5
# A new leader gives each replica the chance to answer before it acts on an inherited silence.
MIN_OBSERVATION_S = ELECTION_MIN_S
# A learner that has not answered for this long is removed: its disk counts as lost.
LEARNER_TIMEOUT_S = 10.0
# A join request is valid for this long, and a learner that answered within it can be
# promoted. A joining replica sends four requests a second.
RECENT_CONTACT_S = 1.0


@message("replica.join", priority=Priority.URGENT)
class JoinRequest(Message, frozen=True, array_like=True):
    """Sent by a replica without contact to a leader, to learn of its membership or to join."""

    instance_id: str
    replica_id: str


@message("replica.join_answer", priority=Priority.URGENT)
class JoinAnswer(Message, frozen=True, array_like=True):
    """The members of the log and the leader, as known to one replica."""

    leader_instance: str
    members: Members


@message("replica.leave", priority=Priority.URGENT)
class LeaveNotice(Message, frozen=True, array_like=True):
    """Sent by a replica that stops; it may start again, or be gone for good."""

    replica_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberChange:
    """The next change to propose."""

    kind: ChangeKind
    member: Member


@dataclass(frozen=True, slots=True, kw_only=True)
class _Joiner:
    replica_id: str
    requested_at: float


class Repair:
    """Chooses the next member change on the leader, one at a time.

    A replica with a new id on the instance of a member shows that the member's disk is
    lost: the old id can never answer again, so it is removed first. With two of five disks
    lost, the first removal leaves four voters with a quorum of three, so the three
    remaining replicas are a quorum at every step.
    """

    def __init__(self, *, target_voters: int, catch_up_s: float) -> None:
        """Create the repair with the number of voters that it maintains.

        ``catch_up_s`` is the time that operators give a new replica until it must vote.
        """
        self._target_voters = target_voters
        self._voter_timeout_s = catch_up_s * VOTER_TIMEOUT_SHARE
        self._joiners: dict[str, _Joiner] = {}
        self._left_at: dict[str, float] = {}

    def record_join_request(self, request: JoinRequest, *, now: float) -> None:
        """Record a replica that requests to join."""
        self._joiners[request.instance_id] = _Joiner(
            replica_id=request.replica_id, requested_at=now
        )

    def record_leave(self, notice: LeaveNotice, *, now: float) -> None:
        """Record a replica that stops, so that its silence need not be waited for."""
        recent = now - self._voter_timeout_s
        self._left_at = {name: at for name, at in self._left_at.items() if at > recent}
        self._left_at[notice.replica_id] = now

    def choose_change(self, status: ConsensusStatus, *, now: float) -> MemberChange | None:
        """Return the member change to propose on this leader, or ``None``.

        Lost members are removed first; then joiners are added, learners promoted and
        unreachable learners removed.
        """
        joiners = {
            instance: joiner.replica_id
            for instance, joiner in self._joiners.items()
            if now - joiner.requested_at <= RECENT_CONTACT_S
        }
        return (
            self._replace_lost(status, joiners)
            or self._add(status.members, joiners)
            or self._promote(status, now)
            or self._drop_learner(status)
        )

    def _replace_lost(
        self, status: ConsensusStatus, joiners: Mapping[str, str]
    ) -> MemberChange | None:
        for member in status.members.members:
            joiner = joiners.get(member.instance_id, member.replica_id)
            is_retired = joiner in status.members.retired
            if joiner == member.replica_id or is_retired or member.replica_id == status.replica_id:
                continue
            return MemberChange(kind=ChangeKind.REMOVE, member=member)
        return None

    def _add(self, members: Members, joiners: Mapping[str, str]) -> MemberChange | None:
        for instance, replica_id in joiners.items():
            if members.find(replica_id) is None and replica_id not in members.retired:
                member = Member(replica_id=replica_id, instance_id=instance, voter=False)
                return MemberChange(kind=ChangeKind.ADD_LEARNER, member=member)
        return None

    def _promote(self, status: ConsensusStatus, now: float) -> MemberChange | None:
        """Promote a learner that has caught up, or demote a silent voter to make room for one.

        Only a caught-up learner may displace a voter. A demoted voter keeps its id and its disk:
        if it was only frozen or restarting, it returns as the learner that waits.
        """
        learners = [one for one in status.replicas if self._may_vote(one, now)]
        if not learners:
            return None
        if len(status.members.list_voters()) < self._target_voters:
            return self._make_change(ChangeKind.PROMOTE, status, learners[0])
        for replica in status.replicas:
            is_own = replica.replica_id == status.replica_id
            if replica.voter and not is_own and self._is_silent(replica, now):
                return self._make_change(ChangeKind.DEMOTE, status, replica)
        return None

    def _may_vote(self, replica: ReplicaStatus, now: float) -> bool:
        """Return whether a learner could be a voter."""
        is_reached = replica.last_contact_age_s < RECENT_CONTACT_S
        is_able = not replica.voter and replica.caught_up
        return is_able and is_reached and not self._has_left(replica, now)

    def _is_silent(self, replica: ReplicaStatus, now: float) -> bool:
        is_observed = replica.last_contact_age_s >= MIN_OBSERVATION_S
        has_timed_out = is_observed and replica.silence_s >= self._voter_timeout_s
        return has_timed_out or self._has_left(replica, now)

    def _has_left(self, replica: ReplicaStatus, now: float) -> bool:
        left_at = self._left_at.get(replica.replica_id)
        return left_at is not None and now - left_at < self._voter_timeout_s

    @staticmethod
    def _make_change(
        kind: ChangeKind, status: ConsensusStatus, replica: ReplicaStatus
    ) -> MemberChange | None:
        member = status.members.find(replica.replica_id)
        return None if member is None else MemberChange(kind=kind, member=member)

    def _drop_learner(self, status: ConsensusStatus) -> MemberChange | None:
        for replica in status.replicas:
            is_observed = replica.last_contact_age_s >= MIN_OBSERVATION_S
            if not replica.voter and is_observed and replica.silence_s > LEARNER_TIMEOUT_S:
                return self._make_change(ChangeKind.REMOVE, status, replica)
        return None
