"""View of the engines, from the endpoint registry and the states they report to orders."""

from collections.abc import Iterator

from chivetrack.components.endpoints.models import Availability, EndpointKind, EndpointState
from chivetrack.components.endpoints.registry import EndpointRegistry
from chivetrack.components.model_placement.models import EngineView
from chivetrack.components.orders.handler import OrderHandler


class EngineObserver:
    """Reads the endpoint registry and, once it is connected, the ``OrderHandler``."""

    def __init__(self, *, registry: EndpointRegistry) -> None:
        """Initialize the observer; until it is connected, no engine has a known state."""
        self._registry = registry
        self._order_handler: OrderHandler | None = None

    def connect(self, order_handler: OrderHandler) -> None:
        """Set the source of the engine states, which in turn needs the list of engines."""
        self._order_handler = order_handler

    def list_engines(self) -> list[EngineView]:
        """Return all registered engines."""
        return [self._make_view(endpoint) for endpoint in self._iterate_engines()]

    def _iterate_engines(self) -> Iterator[EndpointState]:
        for service in self._registry.list_services():
            for endpoint in self._registry.list_endpoints(service):
                if endpoint.kind is EndpointKind.ENGINE:
                    yield endpoint

    def _make_view(self, endpoint: EndpointState) -> EngineView:
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
            state=None if self._order_handler is None else self._order_handler.get_state(name),
            state_at=(
                float("-inf")
                if self._order_handler is None
                else self._order_handler.get_state_at(name)
            ),
        )
