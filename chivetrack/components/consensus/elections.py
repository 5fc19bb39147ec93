"""Elections: pre-votes and votes, as candidate and as voter."""

from chivetrack.components.consensus.messages import (
    PreVoteAnswer,
    PreVoteRequest,
    VoteAnswer,
    VoteRequest,
)
from chivetrack.components.consensus.models import Role
from chivetrack.components.consensus.state import State


class Elections:
    """Runs elections for this replica and answers vote requests of others."""

    def __init__(self, *, state: State) -> None:
        """Create the election state without a running election."""
        self._state = state
        self._granted: set[str] = set()

    def start_pre_vote(self) -> bool:
        """Request pre-votes; return whether a majority has granted them already.

        Without pre-votes, a replica that was partitioned would return with a higher term
        and repeatedly depose a healthy leader.
        """
        state = self._state
        state.reset_election()
        if not state.is_voter:
            state.set_role(Role.FOLLOWER, "")
            return False
        state.set_role(Role.PRE_CANDIDATE, "")
        self._granted = {state.replica_id}
        for voter in self._list_others():
            state.send(
                PreVoteRequest(
                    sender=state.replica_id,
                    receiver=voter,
                    term=state.term,
                    last_index=state.log.last_index,
                    last_term=state.log.last_term,
                )
            )
        return self._has_won()

    def start_vote(self, *, transfer: bool) -> bool:
        """Become a candidate in the next term; return whether the election is won already.

        ``transfer`` marks an election that the leader itself requested.
        """
        state = self._state
        state.reset_election()
        state.set_term(state.term + 1, state.replica_id)
        state.set_role(Role.CANDIDATE, "")
        self._granted = {state.replica_id}
        for voter in self._list_others():
            state.send(
                VoteRequest(
                    sender=state.replica_id,
                    receiver=voter,
                    term=state.term,
                    last_index=state.log.last_index,
                    last_term=state.log.last_term,
                    transfer=transfer,
                )
            )
        return self._has_won()

    def answer_pre_vote(self, request: PreVoteRequest) -> None:
        """Grant a pre-vote unless a leader is in contact or the candidate lacks entries."""
        state = self._state
        granted = (
            state.is_member
            and not state.has_recent_leader
            and request.term >= state.term
            and state.is_up_to_date(request.last_index, request.last_term)
        )
        state.send(
            PreVoteAnswer(
                sender=state.replica_id,
                receiver=request.sender,
                term=state.term,
                request_term=request.term,
                granted=granted,
            )
        )

    def answer_vote(self, request: VoteRequest) -> None:
        """Vote at most once per term, and only for a log at least as up to date as its own.

        A replica that its own log does not name as a member started on an empty disk.
        It does not vote: it may be a voter that lost its disk, and could vote twice in
        one term. A learner does vote: it may have been promoted without knowing it yet.
        """
        state = self._state
        granted = (
            state.is_member
            and request.term == state.term
            and state.vote in ("", request.sender)
            and state.is_up_to_date(request.last_index, request.last_term)
        )
        if granted and not state.vote:
            state.set_term(state.term, request.sender)
            state.reset_election()
        state.send(
            VoteAnswer(
                sender=state.replica_id,
                receiver=request.sender,
                term=state.term,
                granted=granted,
            )
        )

    def count_pre_vote(self, answer: PreVoteAnswer) -> bool:
        """Count an answer; return whether a majority has granted the pre-vote."""
        state = self._state
        is_expected = state.role is Role.PRE_CANDIDATE and answer.request_term == state.term
        if not (is_expected and answer.granted):
            return False
        self._granted.add(answer.sender)
        return self._has_won()

    def count_vote(self, answer: VoteAnswer) -> bool:
        """Count an answer; return whether the election is won."""
        state = self._state
        is_expected = state.role is Role.CANDIDATE and answer.term == state.term
        if not (is_expected and answer.granted):
            return False
        self._granted.add(answer.sender)
        return self._has_won()

    def _has_won(self) -> bool:
        return self._state.log.members.has_quorum(self._granted)

    def _list_others(self) -> list[str]:
        state = self._state
        return [one for one in state.log.members.list_voters() if one != state.replica_id]
