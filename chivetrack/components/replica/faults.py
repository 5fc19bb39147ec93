"""Faults returned to callers of a replica."""

from chivetrack.components.consensus.const import MAX_ENTRY_BYTES
from chivetrack.components.consensus.models import Outcome, Refusal
from chivetrack.components.replica.const import NOT_LEADER_RETRY_S, STORAGE_RETRY_S
from chivetrack.components.replica.models import NotLeaderFault, ProposalAnswered
from chivetrack.exceptions import Fault, Ran

_TRANSIENT_REFUSALS = frozenset(
    {Refusal.TRANSFERRING, Refusal.OVERLOADED, Refusal.CHANGE_PENDING, Refusal.NOT_READY}
)


def make_unknown() -> Fault:
    """Return the fault for a write that may or may not be committed.

    A resend with the same request id is safe.
    """
    return Fault(
        code="outcome_unknown",
        message="the write may or may not have happened; send it again with the same request id",
        status=503,
        ran=Ran.MAYBE,
        retry_after_s=NOT_LEADER_RETRY_S,
    )


def make_not_leader(leader: str) -> NotLeaderFault:
    """Return the fault for a request to a replica that is not the leader."""
    hint = f"; {leader} may be" if leader else ""
    return NotLeaderFault(
        code="not_leader",
        message=f"this replica is not the leader{hint}",
        status=503,
        ran=Ran.NO,
        retry_after_s=NOT_LEADER_RETRY_S,
        leader=leader,
    )


def make_timeout() -> Fault:
    """Return the fault for a read that could not be confirmed in time."""
    return Fault(
        code="read_timeout",
        message="no quorum confirmed the read in time",
        status=503,
        ran=Ran.NO,
        retry_after_s=NOT_LEADER_RETRY_S,
    )


def make_failed(reason: str) -> Fault:
    """Return the fault for a request that was refused because this replica can't write."""
    return Fault(
        code="storage_failed",
        message=f"this replica cannot write: {reason}",
        status=503,
        ran=Ran.NO,
        retry_after_s=STORAGE_RETRY_S,
    )


def make_fault(answer: ProposalAnswered) -> Fault:
    """Return the fault for a proposal that was not committed."""
    if answer.outcome is Outcome.UNKNOWN:
        return make_unknown()
    if answer.refusal is Refusal.NOT_LEADER:
        return make_not_leader(answer.leader)
    if answer.refusal is Refusal.TOO_LARGE:
        return Fault(
            code="too_large",
            message=f"an entry has at most {MAX_ENTRY_BYTES} bytes",
            status=413,
        )
    is_transient = answer.refusal in _TRANSIENT_REFUSALS
    return Fault(
        code=answer.refusal.value,
        message=f"the leader refused: {answer.refusal.value.replace('_', ' ')}",
        status=503 if is_transient else 409,
        ran=Ran.NO,
        retry_after_s=NOT_LEADER_RETRY_S if is_transient else None,
    )
