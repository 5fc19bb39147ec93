"""Keeps new requests of this router away from drained endpoints."""

from chivetrack.components.configuration.configuration import Configuration
from chivetrack.components.endpoints.registry import Drain, EndpointRegistry
from chivetrack.components.resources.models import DrainTargetKind
from chivetrack.core import Effect, Event


class DrainEnforcement:
    """Passes the drains in force to the endpoint registry whenever they change."""

    def __init__(self, *, configuration: Configuration, registry: EndpointRegistry) -> None:
        """Connect the configuration with the registry."""
        self._configuration = configuration
        self._registry = registry
        self._revision = -1

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Update the registry if the configuration revision has changed since the last event."""
        revision = self._configuration.view.revision
        if revision == self._revision:
            return []
        self._revision = revision
        self._registry.set_drained(self._list_drains(), now=now)
        return []

    def _list_drains(self) -> list[Drain]:
        drains: list[Drain] = []
        for drain in self._configuration.view.list_drains():
            target = frozenset({drain.target.name})
            if drain.target.kind is DrainTargetKind.ENDPOINT:
                drains.append(Drain(name=drain.target.name, endpoint_ids=target))
            elif drain.target.kind is DrainTargetKind.AVAILABILITY_ZONE:
                drains.append(Drain(name=drain.target.name, zones=target))
        return drains
