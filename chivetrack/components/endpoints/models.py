"""Immutable descriptions of endpoints."""

from dataclasses import dataclass
from enum import StrEnum


class EndpointKind(StrEnum):
    """What stands behind an endpoint."""

    ENGINE = "engine"
    SERVICE = "service"


class Availability(StrEnum):
    """Whether an endpoint may be given new work."""

    READY = "ready"
    LEAVING = "leaving"
    HELD_BACK = "held-back"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointState:
    """One endpoint as this router sees it.

    ``capacity`` is its weight for bounded load (requests it serves at once without
    slowing), ``joined_at`` the time on this router's clock at which this
    incarnation was first seen, for slow start.
    """

    endpoint_id: str
    incarnation: int
    address: str
    kind: EndpointKind
    service: str
    region: str
    zone: str
    capacity: int
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""
    checks_fencing: bool = False
    joined_at: float = 0.0
    availability: Availability = Availability.READY
    reason: str = ""
