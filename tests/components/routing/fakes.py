"""Fake endpoint view and factories for the routing tests."""

from collections.abc import Iterable, Sequence
from typing import Any

from chivetrack.components.endpoints.models import EndpointKind, EndpointState
from chivetrack.components.routing.models import Demand


def make_endpoint(endpoint_id: str, **changes: Any) -> EndpointState:
    fields: dict[str, Any] = {
        "incarnation": 1,
        "address": "127.0.0.1:1",
        "kind": EndpointKind.ENGINE,
        "service": "valuation",
        "region": "kyushu",
        "zone": "fukuoka-hall",
        "capacity": 16,
        "joined_at": -1000.0,
    }
    return EndpointState(endpoint_id=endpoint_id, **(fields | changes))


def make_endpoints(count: int, **changes: Any) -> list[EndpointState]:
    return [make_endpoint(f"engine-{number}", **changes) for number in range(count)]


def make_demand(affinity: str = "chat-1", **changes: Any) -> Demand:
    return Demand(affinity=affinity, workspace="gallery", service="valuation", **changes)


class FakeView:
    def __init__(self, endpoints: Iterable[EndpointState]) -> None:
        self.version = 1
        self._endpoints = list(endpoints)

    def list_endpoints(self, service: str) -> Sequence[EndpointState]:
        return [e for e in self._endpoints if e.service == service]

    def replace(self, endpoints: Iterable[EndpointState]) -> None:
        self._endpoints = list(endpoints)
        self.version += 1
