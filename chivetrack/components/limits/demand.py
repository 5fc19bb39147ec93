"""How much of a workspace's traffic comes through this router."""

from math import exp

from chivetrack.components.limits.const import (
    DECAY_REQUESTS,
    DEMAND_DEAD_BAND,
    MAX_DECAY_S,
    MIN_DECAY_S,
    MIN_DEMAND,
)


class DemandMeter:
    """Requests a second by workspace, as a mean that forgets."""

    def __init__(self) -> None:
        """Start with no demand."""
        self._rates: dict[str, tuple[float, float]] = {}
        self._reported: dict[str, float] = {}

    def record(self, workspace: str, now: float) -> None:
        """Count a request, also one that is refused."""
        rate = self.get(workspace, now)
        self._rates[workspace] = (rate + 1.0 / _get_time_constant(rate), now)

    def get(self, workspace: str, now: float) -> float:
        """Return the requests a second of a workspace."""
        rate, updated_at = self._rates.get(workspace, (0.0, now))
        return rate * exp((updated_at - now) / _get_time_constant(rate))

    def collect(self, now: float) -> dict[str, float]:
        """Return all demands to tell and forget those that have died down.

        A demand is told anew only when it has clearly changed. Parts are computed from
        the least demand told of late, so each wobble would leave some of the limit to
        nobody: a workspace would be refused well below its limit.
        """
        rates = {workspace: self.get(workspace, now) for workspace in self._rates}
        kept = {workspace: rate for workspace, rate in rates.items() if rate >= MIN_DEMAND}
        self._rates = {workspace: (rate, now) for workspace, rate in kept.items()}
        self._reported = {
            workspace: self._apply_dead_band(workspace, rate) for workspace, rate in kept.items()
        }
        return self._reported

    def _apply_dead_band(self, workspace: str, rate: float) -> float:
        reported = self._reported.get(workspace, 0.0)
        least_change = DEMAND_DEAD_BAND * max(reported, rate)
        return rate if reported <= 0.0 or abs(rate - reported) > least_change else reported


def _get_time_constant(rate: float) -> float:
    """Return the time constant: long enough for some requests, and no longer.

    A busy workspace that moves to other routers is told within a second; one that sends
    a request now and then is not taken for gone in between.
    """
    if rate <= 0.0:
        return MAX_DECAY_S
    return min(max(DECAY_REQUESTS / rate, MIN_DECAY_S), MAX_DECAY_S)
