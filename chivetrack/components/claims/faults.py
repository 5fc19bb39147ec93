"""Faults that are reported to callers of requests with idempotency keys."""

from chivetrack.components.claims.const import IN_PROGRESS_RETRY_S
from chivetrack.components.store.outcomes import ClaimAnswer, ClaimState
from chivetrack.exceptions import Fault, Ran


def claim_unavailable(retry_after_s: float | None) -> Fault:
    """Return the fault for a claim that the log did not grant; the request was not sent."""
    return Fault(
        code="claim_unavailable",
        message="The idempotency key could not be claimed; the request was not sent.",
        status=503,
        ran=Ran.NO,
        retry_after_s=retry_after_s,
    )


_IN_PROGRESS = Fault(
    code="in_progress",
    message="The first request with this idempotency key is still running.",
    status=409,
    ran=Ran.MAYBE,
    retry_after_s=IN_PROGRESS_RETRY_S,
)
_UNKNOWN = Fault(
    code="outcome_unknown",
    message="The first request with this idempotency key may have run; its answer was lost.",
    status=409,
    ran=Ran.MAYBE,
)
_NOT_KEPT = Fault(
    code="answer_not_kept",
    message="The first request with this idempotency key ran; its answer was too large to keep.",
    status=409,
    ran=Ran.YES,
)
_MISMATCH = Fault(
    code="idempotency_key_reused",
    message="This idempotency key was used for another request.",
    status=422,
    ran=Ran.NO,
)
_FAULTS = {
    ClaimState.IN_PROGRESS: _IN_PROGRESS,
    ClaimState.UNKNOWN: _UNKNOWN,
    ClaimState.FINISHED: _NOT_KEPT,
    ClaimState.FINGERPRINT_MISMATCH: _MISMATCH,
}


def find_claim_fault(answer: ClaimAnswer) -> Fault:
    """Return the fault for a claim that was not granted and has no stored answer."""
    return _FAULTS.get(answer.state, claim_unavailable(IN_PROGRESS_RETRY_S))
