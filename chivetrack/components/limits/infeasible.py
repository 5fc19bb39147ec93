"""Requests that can't be answered in their time are refused before they are sent."""

from random import Random

from chivetrack.components.limits.faults import make_fault
from chivetrack.components.limits.models import Cause, WaitEstimate
from chivetrack.exceptions import Fault

# What is expected of an endpoint is wrong by a half either way, at lag; a request is refused
# only where even half of the expected time is too long.
EXPECTED_TIME_LOWER_BOUND = 0.5


def refuse_infeasible(
    *, expected_s: float, left_s: float, target_s: float, random: Random
) -> Fault | None:
    """Return the refusal of a request that its best endpoint can't begin in time, or ``None``.

    It answers a load of several times what the endpoints can do: they queue by rank, and
    the last in the queue would be held until the caller's deadline passes, to learn nothing
    from it. ``Retry-After`` is the time in which the queue drains to what can be answered
    within the route's target, spread, so that the callers don't come back together.
    """
    if expected_s * EXPECTED_TIME_LOWER_BOUND <= left_s:
        return None
    drain_s = max(0.0, expected_s - target_s)
    return make_fault(WaitEstimate(drain_s, Cause.CAPACITY), random)
