"""Decides after a failed attempt whether to retry, resume at an offset or abandon."""

from collections.abc import Sequence

from chivetrack.components.retries.budget import RetryBudgets
from chivetrack.components.retries.const import MAX_ATTEMPTS, MIN_REMAINING_S, RETRY_AFTER_S
from chivetrack.components.retries.models import (
    Abandon,
    Attempt,
    Outcome,
    RequestTraits,
    Resume,
    Retry,
    RetryDecision,
)
from chivetrack.exceptions import Fault, Ran

_DID_NOT_RUN = frozenset({Outcome.NOT_SENT, Outcome.REFUSED_NOT_RUN})

_STATUS_BAD_GATEWAY = 502
_STATUS_UNAVAILABLE = 503
_STATUS_TIMEOUT = 504

_STATUSES = {
    "already_ran": _STATUS_BAD_GATEWAY,
    "outcome_unknown": _STATUS_BAD_GATEWAY,
    "answer_cut": _STATUS_BAD_GATEWAY,
    "deadline_exceeded": _STATUS_TIMEOUT,
    "attempts_exhausted": _STATUS_UNAVAILABLE,
    "retry_budget_exhausted": _STATUS_UNAVAILABLE,
}

_MESSAGES = {
    "already_ran": "The endpoint ran the request and gave no whole answer.",
    "outcome_unknown": "The request may have run and may not be sent again.",
    "answer_cut": "The answer was cut off and can't be resumed.",
    "deadline_exceeded": "The deadline left no time for another attempt.",
    "attempts_exhausted": "Every attempt at an endpoint failed.",
    "retry_budget_exhausted": "Too many requests are being retried already.",
}


def decide_retry(
    attempts: Sequence[Attempt], traits: RequestTraits, *, budgets: RetryBudgets, now: float
) -> RetryDecision:
    """Decide what follows after the last of ``attempts``; a retry takes budget tokens."""
    refusal = _find_refusal(attempts, traits)
    if refusal:
        return Abandon(fault=make_fault(refusal, attempts, traits))
    if traits.deadline - now < MIN_REMAINING_S:
        return Abandon(fault=make_fault("deadline_exceeded", attempts, traits))
    if len(attempts) >= MAX_ATTEMPTS:
        return Abandon(fault=make_fault("attempts_exhausted", attempts, traits))
    if not budgets.spend(traits.workspace):
        return Abandon(fault=make_fault("retry_budget_exhausted", attempts, traits))
    excluded = frozenset(attempt.endpoint_id for attempt in attempts)
    if traits.caller_bytes:
        return Resume(
            offset=traits.caller_bytes, excluded=excluded, software=_find_software(attempts)
        )
    return Retry(excluded=excluded)


def make_final_fault(attempts: Sequence[Attempt], traits: RequestTraits) -> Fault:
    """Return the fault for a request whose policy allows no attempt after these."""
    code = _find_refusal(attempts, traits) or "attempts_exhausted"
    return make_fault(code, attempts, traits)


def _find_refusal(attempts: Sequence[Attempt], traits: RequestTraits) -> str:
    """Return why no further attempt is safe, or an empty string."""
    outcomes = {attempt.outcome for attempt in attempts}
    if Outcome.RAN in outcomes:
        return "already_ran"
    # All attempts count, not only the last: after a refusal by the second endpoint, the
    # first may still have run the request, and a retry would run and bill it twice.
    if not traits.idempotent and not outcomes <= _DID_NOT_RUN:
        return "outcome_unknown"
    # The caller has received the first bytes of an answer. Unless the engine resumes at
    # exactly that offset, bytes of a different answer would be appended to them.
    if traits.caller_bytes and not _may_resume(attempts, traits):
        return "answer_cut"
    return ""


def _may_resume(attempts: Sequence[Attempt], traits: RequestTraits) -> bool:
    return traits.idempotent and traits.resumable and bool(_find_software(attempts))


def _find_software(attempts: Sequence[Attempt]) -> str:
    """Return the version of the endpoints that may have answered, empty if not known or several."""
    versions = {attempt.software for attempt in attempts if attempt.outcome not in _DID_NOT_RUN}
    return versions.pop() if len(versions) == 1 else ""


def find_ran(attempts: Sequence[Attempt], *, caller_bytes: int = 0) -> Ran:
    """Return whether any of the attempts ran or may have run."""
    outcomes = {attempt.outcome for attempt in attempts}
    if Outcome.RAN in outcomes:
        return Ran.YES
    if caller_bytes or not outcomes <= _DID_NOT_RUN:
        return Ran.MAYBE
    return Ran.NO


def make_fault(code: str, attempts: Sequence[Attempt], traits: RequestTraits) -> Fault:
    """Return the fault for an abandoned request, including whether it may have run."""
    ran = find_ran(attempts, caller_bytes=traits.caller_bytes)
    may_resend = ran is Ran.NO or (traits.idempotent and ran is Ran.MAYBE)
    return Fault(
        code=code,
        message=_MESSAGES[code],
        status=_STATUSES[code],
        ran=ran,
        retry_after_s=RETRY_AFTER_S if may_resend else None,
    )
