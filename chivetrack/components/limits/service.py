"""How long requests take, for estimates of the wait."""

from chivetrack.components.limits.const import INITIAL_SERVICE_S, SERVICE_TIME_WEIGHT


class ServiceTimes:
    """A running mean of service times in seconds."""

    def __init__(self) -> None:
        """Start with an assumption."""
        self.mean_s = INITIAL_SERVICE_S

    def record(self, service_s: float) -> None:
        """Take in the time of one answer."""
        self.mean_s += SERVICE_TIME_WEIGHT * (service_s - self.mean_s)
