"""Limits on the number of requests of an endpoint."""

from dataclasses import dataclass
from math import ceil

from chivetrack.components.endpoints.models import EndpointState
from chivetrack.components.routing.const import SLOW_START_FLOOR, SLOW_START_S


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadBound:
    """The load bound for one placement.

    ``total`` is the number of requests at all endpoints, including the one to be placed;
    ``capacity`` is the summed capacity; ``multiple`` is the allowed multiple of the mean.
    """

    multiple: float
    total: float
    capacity: float

    def get_limit(self, endpoint: EndpointState, *, headroom: float = 1.0) -> float:
        """Return the most requests that the endpoint may carry, including the new one.

        ``headroom`` is the share of the difference between mean and bound that may be used.

        The mean includes the new request. If ``multiple`` times the mean is less than the
        mean rounded up, the latter applies: with three requests on six endpoints, some
        endpoint must carry one request, which is twice the mean. Some endpoint is always
        below that limit, so the bound never refuses all endpoints if the counts are complete.
        """
        fair_share = self.total * max(endpoint.capacity, 1) / self.capacity
        return max(float(ceil(fair_share)), (1.0 + (self.multiple - 1.0) * headroom) * fair_share)


def get_slow_start(endpoint: EndpointState, now: float) -> float:
    """Return the share of its limit that an endpoint may use, by its age.

    A new endpoint has an empty cache, and all chats for which it is now the home would arrive
    immediately. Chats above the share go to the next endpoint in their order, which served
    them before.
    """
    age = now - endpoint.joined_at
    if age >= SLOW_START_S:
        return 1.0
    return SLOW_START_FLOOR + (1.0 - SLOW_START_FLOOR) * max(age, 0.0) / SLOW_START_S
