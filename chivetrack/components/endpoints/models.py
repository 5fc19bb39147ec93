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


class AnnouncedState(StrEnum):
    """What an endpoint says of itself; ``LEAVING`` is final for an incarnation."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class Announcement:
    """What an endpoint says of itself, valid for ``lease_s`` seconds."""

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
    """Endpoints and zones that an operator takes out, and under what name."""

    name: str
    endpoint_ids: frozenset[str] = frozenset()
    zones: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class Receipt:
    """The answer to an announcement: announce again after ``renew_after_s``."""

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
    """Why an endpoint is in or out.

    ``since_s`` is how long ago that began, ``word`` on whose word: the endpoint's
    own, another router's, an operator's, or this router's own attempts.
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
