"""Computes the deadline of a request."""

from chivetrack.components.pipeline import faults
from chivetrack.components.pipeline.chain import FILTERS, PROCEED, PassingFilter, Refused, Step
from chivetrack.components.pipeline.const import HEADER_TIMEOUT_MS, MAX_TIMEOUT_S
from chivetrack.components.pipeline.models import Exchange
from chivetrack.const import MILLISECONDS_PER_SECOND
from chivetrack.exceptions import Ran


@FILTERS.register("deadline")
class DeadlineFilter(PassingFilter):
    """Fills in the deadline: the caller's or the policy's, whichever is earlier."""

    def enter(self, exchange: Exchange, *, now: float) -> Step:
        """Set the deadline; refuse a request whose deadline has already passed."""
        assert exchange.policy is not None
        timeout_s = exchange.policy.timeout_s
        given = exchange.request.headers.get(HEADER_TIMEOUT_MS)
        if given is not None:
            try:
                given_s = float(given) / MILLISECONDS_PER_SECOND
            except ValueError:
                return Refused(faults.malformed_header(HEADER_TIMEOUT_MS, "not a number"))
            if not given_s < MAX_TIMEOUT_S:
                detail = f"not below {MAX_TIMEOUT_S:.0f} s"
                return Refused(faults.malformed_header(HEADER_TIMEOUT_MS, detail))
            timeout_s = min(timeout_s, given_s)
        exchange.deadline = exchange.arrived_at + timeout_s
        if now >= exchange.deadline:
            return Refused(faults.deadline_exceeded(ran=Ran.NO))
        return PROCEED
