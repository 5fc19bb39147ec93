"""Measures service times to estimate waits."""

from chivetrack.components.limits.const import INITIAL_SERVICE_S, SERVICE_TIME_WEIGHT


class ServiceTimes:
    """An exponentially weighted mean of service times in seconds."""

    def __init__(self) -> None:
        """Initialize the mean with ``INITIAL_SERVICE_S``."""
        self.mean_s = INITIAL_SERVICE_S

    def record(self, service_s: float) -> None:
        """Add the service time of one finished request."""
        self.mean_s += SERVICE_TIME_WEIGHT * (service_s - self.mean_s)
