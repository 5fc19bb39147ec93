"""Decides when a slow request is sent to a second endpoint; without I/O."""

from dataclasses import dataclass
from typing import Final

from chivetrack.components.traffic.models import Route

MAX_SAVED_HEDGES: Final = 2.0
"""Hedges that a service may save up: after an idle time, a slow endpoint is met by few at once."""


@dataclass(slots=True)
class _Allowance:
    hedges: float = 0.0


class HedgingPolicy:
    """Limits the hedged requests of each service to a share of its requests.

    Load that it answers: a few endpoints that are slow for a moment, while others have room. If
    all endpoints are slow, a second copy of each request would only add to the load. Then the
    observed spread of times grows, and with it the delay; the share bounds what is sent until
    that has happened, and a service that is full is not hedged.
    """

    def __init__(self, *, max_share: float, max_load: float) -> None:
        """Set the limits.

        ``max_share`` is how many hedges each request allows, 0 for none. ``max_load`` is the
        share of a service's slots in use from which it is not hedged.
        """
        self._max_share = max_share
        self._max_load = max_load
        self._allowances: dict[str, _Allowance] = {}

    @property
    def is_enabled(self) -> bool:
        """Return whether any request may be hedged."""
        return self._max_share > 0

    def record_request(self, service: str) -> None:
        """Count a request of a caller."""
        allowance = self._find(service)
        allowance.hedges = min(MAX_SAVED_HEDGES, allowance.hedges + self._max_share)

    def may_hedge(self, service: str, *, running: int, slots: int) -> bool:
        """Return whether a hedge is within the limits; ``running`` requests use ``slots``."""
        return self._find(service).hedges >= 1 and running < self._max_load * slots

    def record_hedge(self, service: str) -> None:
        """Count a request that was sent to a second endpoint."""
        self._find(service).hedges -= 1

    def _find(self, service: str) -> _Allowance:
        return self._allowances.setdefault(service, _Allowance())


def allows_hedge(route: Route) -> bool:
    """Return whether requests of a route may run at two endpoints at the same time."""
    return route.is_repeatable and route.max_attempts >= 2


def find_hedge_delay(expected_ms: float, tail_factor: float) -> float:
    """Return the time in seconds after which a first byte is among the slowest two of a hundred.

    ``tail_factor`` is the observed factor by which those exceed their expected time.
    """
    return expected_ms * tail_factor / 1000
