"""Decides for which plain services slots are scheduled; without I/O."""

from chivetrack.components.admission.const import ENGAGED_S, LOAD_HALF_LIFE_S, LOAD_PRIOR
from chivetrack.components.observation.decaying import DecayingMean


class Engagement:
    """Tracks which services run short of slots.

    Scheduling costs a round trip to a replica, which a service with free slots does not need. A
    moment in which many slots are in use does not count, as when an endpoint hangs with a few
    requests.
    """

    def __init__(self, *, is_enabled: bool, min_load: float) -> None:
        """Set whether services are scheduled, and from which share of their slots in use."""
        self.is_enabled = is_enabled
        self._min_load = min_load
        self._loads: dict[str, DecayingMean] = {}
        self._engaged_until: dict[str, float] = {}

    def record_load(self, service: str, *, running: int, slots: int, now: float) -> None:
        """Record the requests that run at the endpoints of a service, from all routers."""
        load = self._loads.get(service)
        if load is None:
            load = DecayingMean(half_life_s=LOAD_HALF_LIFE_S, prior=LOAD_PRIOR, at=now)
            self._loads[service] = load
        load.add(running / max(1, slots), weight=1.0, now=now)
        if load.find(now) >= self._min_load:
            self._engaged_until[service] = now + ENGAGED_S

    def is_engaged(self, service: str, now: float) -> bool:
        """Return whether slots of a service are scheduled now."""
        return now < self._engaged_until.get(service, float("-inf"))
