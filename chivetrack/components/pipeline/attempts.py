"""Decides whether a failed attempt is followed by another."""

from chivetrack.components.pipeline import faults
from chivetrack.components.pipeline.flow import GiveUp, TryAgain
from chivetrack.components.pipeline.models import AttemptFailed, Exchange
from chivetrack.components.upstream.models import AttemptOutcome

GIVE_UP_RETRY_AFTER_S = 1.0
_DID_NOT_RUN = frozenset({AttemptOutcome.NOT_SENT, AttemptOutcome.REFUSED})


class AttemptRetries:
    """Tries again where the first certainly did not run, or where running twice is fine."""

    def start_request(self, exchange: Exchange, *, now: float) -> None:
        """Take note of a request."""

    def decide(
        self, exchange: Exchange, failure: AttemptFailed, *, now: float
    ) -> TryAgain | GiveUp:
        """Return what comes after a failed attempt."""
        assert exchange.policy is not None
        if now >= exchange.deadline:
            return GiveUp(fault=faults.deadline_exceeded(ran=exchange.ran))
        is_safe = failure.outcome in _DID_NOT_RUN or exchange.idempotent
        if is_safe and len(exchange.attempts) < exchange.policy.max_attempts:
            return TryAgain()
        retry_after_s = failure.retry_after_s or GIVE_UP_RETRY_AFTER_S
        fault = faults.upstream_failed(
            failure.message, ran=exchange.ran, retry_after_s=retry_after_s
        )
        return GiveUp(fault=fault)
