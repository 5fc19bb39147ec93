"""Immutable models of endpoints."""

from dataclasses import dataclass
from enum import StrEnum


class EndpointKind(StrEnum):
    """Kind of back end that an endpoint serves."""

    ENGINE = "engine"
    SERVICE = "service"


class Availability(StrEnum):
    """Whether an endpoint may be given new requests, or why not."""

    READY = "ready"
    LEAVING = "leaving"
    HELD_BACK = "held-back"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointState:
    """State of one endpoint as known to this router.

    ``capacity`` is its weight for bounded load: the number of concurrent requests that it
    serves without slowing down. ``joined_at`` is the time on this router's clock at which
    this incarnation was first seen; slow start uses it.
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


class AnnouncedState(StrEnum):
    """State that an endpoint announces; ``LEAVING`` is final for an incarnation."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class Announcement:
    """Self-description of an endpoint, valid for ``lease_s`` seconds."""

    endpoint_id: str
    incarnation: int
    address: str
    kind: EndpointKind
    service: str
    region: str
    zone: str
    capacity: int
    lease_s: float
    state: AnnouncedState = AnnouncedState.READY
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Drain:
    """Named drain: endpoints and zones that an operator takes out of service."""

    name: str
    endpoint_ids: frozenset[str] = frozenset()
    zones: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class Receipt:
    """Response to an announcement; the endpoint announces again after ``renew_after_s``."""

    endpoint_id: str
    incarnation: int
    renew_after_s: float
    state: AnnouncedState


class OutcomeKind(StrEnum):
    """How an attempt at an endpoint ended."""

    ANSWER = "answer"
    CONNECT = "connect"
    TIMEOUT = "timeout"
    ERROR = "error"
    CUT = "cut"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class Explanation:
    """Why an endpoint is available or unavailable.

    ``since_s`` is the number of seconds since that state began. ``word`` names the source of
    the information: the endpoint itself, another router, an operator's configuration, or
    this router's own attempts. ``carriers`` are the instances that publish its announcement.
    """

    endpoint_id: str
    verdict: str
    reason: str
    since_s: float
    word: str
    incarnation: int | None = None
    lease_left_s: float | None = None
    carriers: tuple[str, ...] = ()
    failures: int = 0
    flaps: float = 0.0
