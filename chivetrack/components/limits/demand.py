"""Measures the request rate of each workspace at this router."""

from math import exp

from chivetrack.components.limits.const import (
    DECAY_REQUESTS,
    DEMAND_DEAD_BAND,
    MAX_DECAY_S,
    MIN_DECAY_S,
    MIN_DEMAND,
)


class DemandMeter:
    """Measures requests per second by workspace as an exponentially decaying mean."""

    def __init__(self) -> None:
        """Initialize with no demand."""
        self._rates: dict[str, tuple[float, float]] = {}
        self._reported: dict[str, float] = {}

    def record(self, workspace: str, now: float) -> None:
        """Count a request, whether it is admitted or refused."""
        rate = self.get(workspace, now)
        self._rates[workspace] = (rate + 1.0 / _get_time_constant(rate), now)

    def get(self, workspace: str, now: float) -> float:
        """Return a workspace's demand in requests per second."""
        rate, updated_at = self._rates.get(workspace, (0.0, now))
        return rate * exp((updated_at - now) / _get_time_constant(rate))

    def collect(self, now: float) -> dict[str, float]:
        """Return the demands to publish and prune those below ``MIN_DEMAND``.

        A published value changes only when the demand moves by more than
        ``DEMAND_DEAD_BAND``. A router uses the least demand that it published within
        ``SHARE_GROWTH_DELAY_S``; with every small fluctuation published, the shares of all
        routers would add up to much less than one, and requests would be refused well
        below the workspace's limit.
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
    """Return the time constant in seconds, in which ``DECAY_REQUESTS`` requests arrive.

    It is short at high rates, so that other routers learn within a second that a busy
    workspace has moved to them. It is long at low rates, so that the demand of a workspace
    with sparse requests does not decay to zero between two of them.
    """
    if rate <= 0.0:
        return MAX_DECAY_S
    return min(max(DECAY_REQUESTS / rate, MIN_DECAY_S), MAX_DECAY_S)
