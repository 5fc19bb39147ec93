"""Has the request sent to the endpoint that was chosen."""

from chivetrack.components.pipeline.chain import FILTERS, PassingFilter, Step, Suspended
from chivetrack.components.pipeline.models import Exchange, StartAttempt


@FILTERS.register("forward")
class ForwardFilter(PassingFilter):
    """Ends the chain: the request waits for its answer."""

    def enter(self, exchange: Exchange, *, now: float) -> Step:
        """Start the attempt with the time that is left."""
        start = StartAttempt(
            request_id=exchange.request_id,
            exchange=exchange,
            attempt=exchange.attempt,
            timeout_s=exchange.deadline - now,
        )
        return Suspended(effects=(start,))
