"""The configuration document of a deployment, as the product sees it; times in seconds."""

from enum import StrEnum

import msgspec


class RouteKind(StrEnum):
    """What may be repeated on a route."""

    STREAM = "stream"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


class Share(msgspec.Struct, frozen=True, kw_only=True):
    """The part of a route's traffic that goes to one service."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Where the requests of one host and path prefix go, and how they are treated.

    ``timeout_s`` bounds the whole request. ``target_s`` is the response time that callers
    expect, for streams up to the first event, and ``longest_pause_s`` the pause between
    events that they accept. ``priority`` 0 is served first.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_s: float
    priority: int
    shares: tuple[Share, ...]
    max_attempts: int = 1
    is_public: bool = False
    is_sticky: bool = False
    is_resumable: bool = False
    longest_pause_s: float = 0.0

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        resumable_stream = self.kind is RouteKind.STREAM and self.is_resumable
        return resumable_stream or self.kind is RouteKind.IDEMPOTENT


class EngineProfile(msgspec.Struct, frozen=True, kw_only=True):
    """What the model engines of a service can hold: requests in a batch and tokens.

    ``can_fetch``: an engine takes over cached parts of a prompt from another one.
    """

    slots: int
    memory_tokens: int
    can_fetch: bool = False


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A group of endpoints; ``engine`` is set where they are model engines.

    An endpoint that is cold bears ``cold_per_s`` requests a second, from all routers together;
    0 stands for no limit.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    cold_per_s: float = 0.0
    engine: EngineProfile | None = None


class Workspace(msgspec.Struct, frozen=True, kw_only=True):
    """A customer; ``priority`` goes before that of the route."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller may send, and for how long it may take or stay idle."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the whole configuration; ``workspaces`` is ``None`` without keys."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[Workspace, ...] | None = None
    limits: CallerLimits = CallerLimits()
