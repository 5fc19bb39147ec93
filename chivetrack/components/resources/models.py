"""The compact forms of the specifications, as the components use them.

They are decoded from the stored bytes when needed: 49,000 workspaces kept as validated
models would take most of a router's memory. Their defaults equal those of the validated
models in ``specs``; a test compares them.
"""

from dataclasses import dataclass, field
from datetime import datetime
from enum import StrEnum

from chivetrack.components.resources import const


class Locality(StrEnum):
    """Where a request prefers to find its endpoint, relative to its router."""

    ZONE = "zone"
    REGION = "region"
    ANY = "any"


class Affinity(StrEnum):
    """The property by which requests are assigned to the same endpoint."""

    CHAT = "chat"
    DOSSIER = "dossier"
    PREFIX = "prefix"
    NONE = "none"


class DrainTargetKind(StrEnum):
    """The kind of the target of a drain."""

    ENDPOINT = "endpoint"
    AVAILABILITY_ZONE = "availability_zone"
    INSTANCE = "instance"


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """The permissions and limits of a workspace; ``rate`` is in requests per second."""

    display_name: str = ""
    keys: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    priority: int = const.DEFAULT_PRIORITY
    policy: str = const.DEFAULT_POLICY
    rate: float | None = None
    concurrency: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Timeouts:
    """How long each step of a request may take, in seconds."""

    connect_s: float = const.DEFAULT_CONNECT_TIMEOUT_S
    first_byte_s: float = const.DEFAULT_FIRST_BYTE_TIMEOUT_S
    idle_s: float = const.DEFAULT_IDLE_TIMEOUT_S
    total_s: float = const.DEFAULT_TOTAL_TIMEOUT_S


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingPolicy:
    """How requests of a workspace are placed, retried and timed out.

    ``locality`` is the region by default: two routers in different zones that each
    preferred their own zone would send one chat to two engines. If ``idempotent`` is
    ``None``, chats count as idempotent, and plain calls depend on their HTTP method.
    """

    load_bound: float = const.DEFAULT_LOAD_BOUND
    locality: Locality = Locality.REGION
    idempotent: bool | None = None
    max_attempts: int = const.DEFAULT_MAX_ATTEMPTS
    timeouts: Timeouts = field(default_factory=Timeouts)
    affinity: Affinity = Affinity.CHAT
    prefix_bytes: int = const.DEFAULT_PREFIX_BYTES


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainTarget:
    """The target of a drain."""

    kind: DrainTargetKind
    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Drain:
    """A planned drain; without ``start`` it starts immediately.

    ``floor`` is the fraction of the capacity that must remain during the drain.
    """

    target: DrainTarget
    start: datetime | None = None
    deadline: datetime | None = None
    floor: float = const.DEFAULT_FLOOR
    move_context: bool = True
    reason: str = ""


class DrainPhase(StrEnum):
    """The phase of a drain; only the drain controller changes it."""

    WAITING = "waiting"
    ACTIVE = "active"
    DONE = "done"


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainStatus:
    """The part of a drain's status that routers read; other fields are ignored.

    A drain is enforced from ``ACTIVE`` until it is deleted, also in ``DONE``: its target
    must not get new requests before the operator deletes the drain.
    """

    phase: DrainPhase = DrainPhase.WAITING
    reason: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Model:
    """A model with the desired number of copies on the engines of a service."""

    service: str
    version: str
    weights: str
    copies: int = const.DEFAULT_COPIES
    floor: float = const.DEFAULT_FLOOR
    spread_zones: int = 1
    memory_bytes: int = 0
    role: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Adapter:
    """An adapter of a model with the desired number of copies."""

    model: str
    version: str
    weights: str
    copies: int = const.DEFAULT_COPIES
    workspaces: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Limit:
    """A limit for all matching requests; ``rate`` is in requests per second."""

    workspace: str = const.ANY_NAME
    service: str = const.ANY_NAME
    model: str = const.ANY_NAME
    rate: float | None = None
    concurrency: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """An endpoint as it announced itself."""

    address: str
    service: str
    region: str
    zone: str
    kind: str = "engine"
    capacity: int = 1
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""
    checks_fencing: bool = False
