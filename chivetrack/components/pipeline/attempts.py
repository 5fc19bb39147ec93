"""Applies the retry policy and the retry budgets to failed attempts."""

from chivetrack.components.pipeline.flow import Abandon, SendAgain
from chivetrack.components.pipeline.models import AttemptFailed, Exchange
from chivetrack.components.retries import models as retries
from chivetrack.components.retries.budget import RetryBudgets
from chivetrack.components.retries.decision import decide_retry, make_final_fault
from chivetrack.components.upstream.models import AttemptOutcome
from chivetrack.exceptions import Fault

_OUTCOMES = {
    AttemptOutcome.NOT_SENT: retries.Outcome.NOT_SENT,
    AttemptOutcome.REFUSED: retries.Outcome.REFUSED_NOT_RUN,
    AttemptOutcome.MAYBE_RAN: retries.Outcome.MAYBE_RAN,
    AttemptOutcome.RAN: retries.Outcome.RAN,
}


class AttemptRetries:
    """Decides on retries within the retry budgets, to which every request adds once."""

    def __init__(self) -> None:
        """Initialize with new budgets."""
        self._budgets = RetryBudgets()

    def earn(self, exchange: Exchange, fault: Fault | None, now: float) -> None:
        """Add a request that has ended to the budgets if an attempt was made."""
        if exchange.workspace is not None and exchange.attempts:
            self._budgets.earn(exchange.workspace.name)

    def decide(
        self, exchange: Exchange, failure: AttemptFailed, *, now: float
    ) -> SendAgain | Abandon:
        """Return whether to send the request again or to abandon it."""
        assert exchange.policy is not None
        attempts = _list_attempts(exchange)
        traits = _get_traits(exchange)
        if len(attempts) >= exchange.policy.max_attempts:
            return Abandon(fault=make_final_fault(attempts, traits))
        decision = decide_retry(attempts, traits, budgets=self._budgets, now=now)
        if isinstance(decision, retries.Abandon):
            return Abandon(fault=decision.fault)
        return SendAgain()


def _list_attempts(exchange: Exchange) -> list[retries.Attempt]:
    return [
        retries.Attempt(endpoint_id=attempt.endpoint_id, outcome=_OUTCOMES[outcome])
        for attempt, outcome in zip(exchange.attempts, exchange.outcomes, strict=True)
    ]


def _get_traits(exchange: Exchange) -> retries.RequestTraits:
    assert exchange.workspace is not None
    return retries.RequestTraits(
        workspace=exchange.workspace.name,
        deadline=exchange.deadline,
        idempotent=exchange.idempotent,
        caller_bytes=exchange.bytes_sent,
    )
