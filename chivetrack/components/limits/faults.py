"""Faults of requests that were not admitted; none of these requests ran."""

from random import Random

from chivetrack.components.limits.const import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    RETRY_AFTER_JITTER,
    STATUS_OVERLOADED,
    STATUS_TOO_MANY,
)
from chivetrack.components.limits.models import Cause, WaitEstimate
from chivetrack.exceptions import Fault, Ran

_CODES = {
    Cause.RATE: "rate_limited",
    Cause.CONCURRENCY: "concurrency_limited",
    Cause.CAPACITY: "overloaded",
    Cause.NOTHING: "overloaded",
}

_MESSAGES = {
    Cause.RATE: "The workspace sends more requests a second than its limit.",
    Cause.CONCURRENCY: "The workspace has more requests running than its limit.",
    Cause.CAPACITY: "The request can't be done before its deadline.",
    Cause.NOTHING: "The request can't be done before its deadline.",
}


def make_fault(estimate: WaitEstimate, random: Random) -> Fault:
    """Return the fault for a shed request.

    ``Retry-After`` gets random jitter: callers that were shed together would otherwise
    retry together and be shed again.
    """
    base = min(max(estimate.seconds, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    limited = estimate.cause in (Cause.RATE, Cause.CONCURRENCY)
    return Fault(
        code=_CODES[estimate.cause],
        message=_MESSAGES[estimate.cause],
        status=STATUS_TOO_MANY if limited else STATUS_OVERLOADED,
        ran=Ran.NO,
        retry_after_s=random.uniform(base, base * (1.0 + RETRY_AFTER_JITTER)),
    )
