"""Models of a deployment's configuration document; times are in seconds."""

from enum import StrEnum

import msgspec


class RouteKind(StrEnum):
    """The kind of a route's requests, which decides whether they may run more than once."""

    STREAM = "stream"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


class Share(msgspec.Struct, frozen=True, kw_only=True):
    """One service of a route; ``weight`` sets its fraction of the route's traffic."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """The services and rules for requests with one host and path prefix.

    ``timeout_s`` limits the whole request. ``target_s`` is the response time that callers
    expect, for streams the time to the first event, and ``longest_pause_s`` the longest
    pause between events that they accept. ``priority`` 0 is served first.
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
    """The capacity of the model engines of a service.

    ``slots`` is the number of requests in a batch, ``memory_tokens`` the number of tokens in
    memory. ``can_fetch`` means that an engine can fetch cached parts of a prompt from another
    engine.
    """

    slots: int
    memory_tokens: int
    can_fetch: bool = False


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A group of endpoints; ``engine`` is set if they are model engines.

    A cold endpoint can handle ``cold_per_s`` requests per second from all routers together;
    0 means no limit.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    cold_per_s: float = 0.0
    engine: EngineProfile | None = None


class Workspace(msgspec.Struct, frozen=True, kw_only=True):
    """A customer; ``priority`` overrides that of the route."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size of callers' requests, the time to send headers and idle time."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration.

    ``workspaces`` is ``None`` if callers need no keys.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[Workspace, ...] | None = None
    limits: CallerLimits = CallerLimits()
