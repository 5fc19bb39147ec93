"""Decides for which plain services slots are scheduled; without I/O."""

from chivetrack.components.admission.const import ENGAGED_S


class Engagement:
    """Tracks which services run short of slots.

    Scheduling costs a round trip to a replica, which a service with free slots does not need.
    """

    def __init__(self, *, is_enabled: bool, min_load: float) -> None:
        """Set whether services are scheduled, and from which share of their slots in use."""
        self.is_enabled = is_enabled
        self._min_load = min_load
        self._engaged_until: dict[str, float] = {}

    def record_load(self, service: str, *, running: int, slots: int, now: float) -> None:
        """Record the requests that run at the endpoints of a service, from all routers."""
        if self.is_enabled and running >= self._min_load * slots:
            self._engaged_until[service] = now + ENGAGED_S

    def is_engaged(self, service: str, now: float) -> bool:
        """Return whether slots of a service are scheduled now."""
        return now < self._engaged_until.get(service, float("-inf"))
