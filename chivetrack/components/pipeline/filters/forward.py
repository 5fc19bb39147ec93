"""Starts an attempt at the endpoint that was chosen."""

from chivetrack.components.pipeline.chain import FILTERS, PassingFilter, Step, Suspended
from chivetrack.components.pipeline.models import Exchange, StartAttempt


@FILTERS.register("forward")
class ForwardFilter(PassingFilter):
    """Suspends the request until its attempt ends; the last filter of the chain."""

    def enter(self, exchange: Exchange, *, now: float) -> Step:
        """Start the attempt; its timeout is the time left until the deadline."""
        start = StartAttempt(
            request_id=exchange.request_id,
            exchange=exchange,
            attempt=exchange.attempt,
            timeout_s=exchange.deadline - now,
        )
        return Suspended(effects=(start,))
