"""How many requests an endpoint may carry."""

from dataclasses import dataclass
from math import ceil

from chivetrack.components.endpoints.models import EndpointState
from chivetrack.components.routing.const import SLOW_START_FLOOR, SLOW_START_S


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadBound:
    """The bound for one placement.

    ``total`` is what all endpoints carry together with the request to be placed,
    ``capacity`` their summed capacity, ``multiple`` the allowed multiple of the mean.
    """

    multiple: float
    total: float
    capacity: float

    def get_limit(self, endpoint: EndpointState, *, headroom: float = 1.0) -> float:
        """Return how many requests the endpoint may carry, the new one included.

        The mean counts the new request. Where ``multiple`` times the mean is less than
        the mean rounded up, the latter holds: with three requests on six endpoints
        some endpoint must carry one, which is twice the mean. Some endpoint is always
        below that, so the bound never refuses all of them when counts are whole.
        """
        fair = self.total * max(endpoint.capacity, 1) / self.capacity
        return max(float(ceil(fair)), (1.0 + (self.multiple - 1.0) * headroom) * fair)


def get_slow_start(endpoint: EndpointState, now: float) -> float:
    """Return the share of its limit that an endpoint may use, by its age.

    A new endpoint has an empty cache, and all chats that it is now the home of would
    come at once. Those that its share doesn't admit go to the next endpoint in their
    order, which is the one that served them before.
    """
    age = now - endpoint.joined_at
    if age >= SLOW_START_S:
        return 1.0
    return SLOW_START_FLOOR + (1.0 - SLOW_START_FLOOR) * max(age, 0.0) / SLOW_START_S
