"""Refuses infeasible requests, which cannot start before their deadline."""

from random import Random

from chivetrack.components.limits.faults import make_fault
from chivetrack.components.limits.models import Cause, WaitEstimate
from chivetrack.exceptions import Fault

# The expected time can be wrong by half in either direction because load reports lag; a request
# is refused only where even half of the expected time is too long.
EXPECTED_TIME_LOWER_BOUND = 0.5


def refuse_infeasible(
    *, expected_s: float, left_s: float, target_s: float, random: Random
) -> Fault | None:
    """Return the fault for a request that its best endpoint can't begin in time, or ``None``.

    ``expected_s`` is the expected time until the endpoint begins, ``left_s`` the time until
    the deadline and ``target_s`` the latency target of the route.

    This matters when the load is several times the capacity of the endpoints: they queue by
    priority rank, and without a refusal the caller of a request at the end of the queue would
    wait until its deadline and get nothing. ``Retry-After`` is the time in which the queue drains
    to what can be answered within ``target_s``, with jitter so that callers do not retry
    together.
    """
    if expected_s * EXPECTED_TIME_LOWER_BOUND <= left_s:
        return None
    drain_s = max(0.0, expected_s - target_s)
    return make_fault(WaitEstimate(drain_s, Cause.CAPACITY), random)
