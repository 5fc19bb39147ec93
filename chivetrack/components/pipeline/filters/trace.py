"""Sets the trace context of every request."""

import random
import re

from chivetrack.components.pipeline.chain import FILTERS, PROCEED, PassingFilter, Step
from chivetrack.components.pipeline.const import HEADER_TRACEPARENT
from chivetrack.components.pipeline.models import Exchange

_TRACEPARENT = re.compile(r"00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")


@FILTERS.register("trace")
class TraceFilter(PassingFilter):
    """Keeps the caller's trace context, or starts a new one (W3C Trace Context)."""

    def __init__(self, *, random_source: random.Random) -> None:
        """Initialize with the random source for new trace ids."""
        self._random = random_source

    def enter(self, exchange: Exchange, *, now: float) -> Step:
        """Fill in the trace context."""
        given = exchange.request.headers.get(HEADER_TRACEPARENT, "")
        if _TRACEPARENT.fullmatch(given):
            exchange.traceparent = given
            return PROCEED
        trace_id = self._random.getrandbits(128) | 1
        span_id = self._random.getrandbits(64) | 1
        exchange.traceparent = f"00-{trace_id:032x}-{span_id:016x}-00"
        return PROCEED
