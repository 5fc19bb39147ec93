"""Validation of member changes by the leader."""

from collections.abc import Mapping

from chivetrack.components.consensus.const import MAX_PROMOTION_LAG, MAX_VOTERS
from chivetrack.components.consensus.members import ChangeKind, Member, Members
from chivetrack.components.consensus.models import ChangeMembers, Refusal
from chivetrack.components.consensus.progress import Progress
from chivetrack.components.consensus.state import State


def find_member_change_refusal(
    state: State, event: ChangeMembers, progress: Mapping[str, Progress]
) -> Refusal:
    """Return the reason to refuse a member change, or ``Refusal.NONE``."""
    if state.log.members_index > state.commit_index:
        return Refusal.CHANGE_PENDING
    members = state.log.members
    if event.kind is ChangeKind.ADD_LEARNER:
        return _check_add(members, event)
    member = members.find(event.member.replica_id)
    if member is None:
        return Refusal.NOT_A_MEMBER
    if event.kind is ChangeKind.PROMOTE:
        return _check_promote(state, event, progress)
    return _check_loss_of_vote(state, event.kind, member, progress)


def _check_add(members: Members, event: ChangeMembers) -> Refusal:
    if members.find(event.member.replica_id) is not None:
        return Refusal.ALREADY_A_MEMBER
    if event.member.replica_id in members.retired:
        return Refusal.RETIRED_ID
    return Refusal.NONE


def _check_promote(state: State, event: ChangeMembers, progress: Mapping[str, Progress]) -> Refusal:
    members = state.log.members
    replica_id = event.member.replica_id
    if members.is_voter(replica_id):
        return Refusal.ALREADY_A_MEMBER
    if len(members.list_voters()) >= MAX_VOTERS:
        return Refusal.TOO_MANY_VOTERS
    if not is_caught_up(state, progress[replica_id]):
        return Refusal.NOT_CAUGHT_UP
    return _check_quorum(state, members.change(event.kind, event.member), progress)


def _check_loss_of_vote(
    state: State, kind: ChangeKind, member: Member, progress: Mapping[str, Progress]
) -> Refusal:
    if member.replica_id == state.replica_id:
        return Refusal.IS_LEADER
    if kind is ChangeKind.DEMOTE and not member.voter:
        return Refusal.NOT_A_VOTER
    return _check_quorum(state, state.log.members.change(kind, member), progress)


def is_caught_up(state: State, progress: Progress) -> bool:
    """Return whether a learner holds enough of the log to become a voter.

    It must hold the entry that added it and all but the last ``MAX_PROMOTION_LAG``
    committed entries. A voter that lacks entries raises the quorum without adding
    redundancy: after one more loss nothing could be committed.
    """
    minimum_index = state.commit_index - MAX_PROMOTION_LAG
    is_eligible = progress.knows_membership and not progress.regressed
    return is_eligible and progress.match_index >= minimum_index


def _check_quorum(state: State, after: Members, progress: Mapping[str, Progress]) -> Refusal:
    """Refuse a change after which the reachable replicas would not form a quorum.

    Such a change could not be committed and would block every later change. A replica
    is reachable if it had contact within the longest election timeout.
    """
    recent = state.now - state.timing.election_max_s
    alive = {
        one.replica_id
        for one in progress.values()
        if one.last_contact >= recent and not one.regressed
    }
    if after.has_quorum(alive | {state.replica_id}):
        return Refusal.NONE
    return Refusal.NO_QUORUM_AFTER
