"""Collects the state of the fleet for the drain controller."""

from collections.abc import Callable, Sequence

from chivetrack.components.drains.models import DrainObservation, InstanceState, ObservedLoad
from chivetrack.components.endpoints.registry import EndpointRegistry
from chivetrack.components.load.tracker import LoadTracker


class FleetObserver:
    """Reads the endpoint registry, the load tracker and the list of instances."""

    def __init__(
        self,
        *,
        registry: EndpointRegistry,
        load: LoadTracker,
        list_instances: Callable[[float], Sequence[InstanceState]],
        to_wall_ms: Callable[[float], int],
    ) -> None:
        """Create an observer; ``list_instances`` is called with the current time ``now``."""
        self._registry = registry
        self._load = load
        self._list_instances = list_instances
        self._to_wall_ms = to_wall_ms

    def observe(self, *, now: float) -> DrainObservation:
        """Return the state of the fleet at ``now``."""
        endpoints = tuple(
            endpoint
            for service in self._registry.list_services()
            for endpoint in self._registry.list_endpoints(service)
        )
        self._load.expire(now)
        loads = {
            name: ObservedLoad(in_flight=round(estimate), age_s=self._load.get_age(name, now))
            for name, estimate in self._load.estimates.items()
        }
        return DrainObservation(
            endpoints=endpoints,
            instances=tuple(self._list_instances(now)),
            loads=loads,
            age_s=self._load.get_age("", now),
            wall_ms=self._to_wall_ms(now),
        )
