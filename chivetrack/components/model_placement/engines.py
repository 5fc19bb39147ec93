"""The engines as the placement sees them: the registry's list and the desk's answers."""

from collections.abc import Iterator

from chivetrack.components.endpoints.models import Availability, EndpointKind, EndpointState
from chivetrack.components.endpoints.registry import EndpointRegistry
from chivetrack.components.model_placement.models import EngineView
from chivetrack.components.orders.handler import OrderHandler


class EngineObserver:
    """Reads the endpoint registry and, once it is connected, the order desk."""

    def __init__(self, *, registry: EndpointRegistry) -> None:
        """Start without a desk: no engine has said anything."""
        self._registry = registry
        self._desk: OrderHandler | None = None

    def connect(self, desk: OrderHandler) -> None:
        """Read what engines say from ``desk``, which in turn needs their list."""
        self._desk = desk

    def list_engines(self) -> list[EngineView]:
        """Return all engines that hold a lease."""
        return [self._view(endpoint) for endpoint in self._iterate()]

    def _iterate(self) -> Iterator[EndpointState]:
        for service in self._registry.list_services():
            for endpoint in self._registry.list_endpoints(service):
                if endpoint.kind is EndpointKind.ENGINE:
                    yield endpoint

    def _view(self, endpoint: EndpointState) -> EngineView:
        name = endpoint.endpoint_id
        return EngineView(
            endpoint_id=name,
            incarnation=endpoint.incarnation,
            address=endpoint.address,
            service=endpoint.service,
            zone=endpoint.zone,
            checks_fencing=endpoint.checks_fencing,
            is_usable=endpoint.availability is not Availability.LEAVING,
            is_healthy=endpoint.availability is Availability.READY,
            state=None if self._desk is None else self._desk.get_state(name),
            state_at=float("-inf") if self._desk is None else self._desk.get_state_at(name),
        )
