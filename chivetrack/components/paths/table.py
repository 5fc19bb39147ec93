"""Tells a router's broken path to an endpoint from a broken endpoint; free of I/O."""

from dataclasses import dataclass, field

from chivetrack.components.paths.const import (
    MIN_BROKEN_ENDPOINTS,
    MIN_TROUBLED_ENDPOINTS,
    TROUBLE_WINDOW_S,
    VERDICT_S,
)


@dataclass(slots=True)
class _ServicePaths:
    """Endpoints of a service that this router does not reach, and when it last reached one."""

    broken: set[str] = field(default_factory=set)
    broken_at: float = float("-inf")
    reached_at: float = float("-inf")

    @property
    def is_cut_off(self) -> bool:
        """Return whether none of the endpoints seems to be reached."""
        return len(self.broken) >= MIN_BROKEN_ENDPOINTS and self.reached_at < self.broken_at


class PathTable:
    """Which endpoints this router does not reach although others do.

    A router that is cut off from endpoints sees the same failures as one before endpoints that have
    crashed. If it took them for crashes, it would refuse its callers and tell the other routers of
    failures that only concern itself. A carrier, a router that tries the same endpoint, decides: a
    path is broken if the carrier reaches what this router does not.
    """

    def __init__(self) -> None:
        """Start with all paths working."""
        self._services: dict[str, _ServicePaths] = {}
        self._troubled_at: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}

    @property
    def has_broken(self) -> bool:
        """Return whether any path is known to be broken."""
        return any(paths.broken for paths in self._services.values())

    def list_broken(self) -> list[tuple[str, str]]:
        """Return the endpoints whose path is broken, each with its service."""
        return [(name, service) for service, one in self._services.items() for name in one.broken]

    def list_lost_services(self) -> tuple[str, ...]:
        """Return the services to which any path is broken."""
        return tuple(sorted(service for service, one in self._services.items() if one.broken))

    def record_trouble(self, endpoint_id: str, *, now: float) -> None:
        """Record that a connection to an endpoint could not be opened, broke off or hangs."""
        self._troubled_at[endpoint_id] = now

    def record_reached(self, endpoint_id: str, service: str, *, now: float) -> None:
        """Record that this router has reached an endpoint by itself.

        If the path was broken, the others to the service are tried again too: a cut mostly ends for
        all endpoints at once.
        """
        paths = self._services.setdefault(service, _ServicePaths())
        paths.reached_at = now
        self._troubled_at.pop(endpoint_id, None)
        if endpoint_id in paths.broken:
            paths.broken.clear()

    def record_broken(self, endpoint_id: str, service: str, *, now: float) -> bool:
        """Record that a carrier has reached what this router does not; return whether it is new."""
        paths = self._services.setdefault(service, _ServicePaths())
        is_new = endpoint_id not in paths.broken
        paths.broken.add(endpoint_id)
        paths.broken_at = now
        self._troubled_at[endpoint_id] = now
        return is_new

    def record_failed(self, endpoint_id: str, *, now: float) -> None:
        """Record that a carrier did not reach an endpoint either."""
        self._failed_at[endpoint_id] = now

    def forget(self, endpoint_id: str) -> None:
        """Drop an endpoint that has restarted or left."""
        self._troubled_at.pop(endpoint_id, None)
        self._failed_at.pop(endpoint_id, None)
        for paths in self._services.values():
            paths.broken.discard(endpoint_id)

    def is_broken(self, endpoint_id: str, service: str) -> bool:
        """Return whether connections to an endpoint should go through a carrier at once."""
        paths = self._services.get(service)
        return paths is not None and (endpoint_id in paths.broken or paths.is_cut_off)

    def is_suspected(self, endpoint_id: str, *, others_reach: bool | None, now: float) -> bool:
        """Return whether a failure at an endpoint may be one of this router's own path.

        ``others_reach`` is whether other routers have had answers of the endpoint lately, ``None``
        if they have not tried. Failures of a single endpoint are held to be its own.
        """
        has_failed = now - self._failed_at.get(endpoint_id, float("-inf")) <= VERDICT_S
        return not has_failed and others_reach is not False and self.is_troubled(now=now)

    def is_doubtful(self, endpoint_id: str, *, now: float) -> bool:
        """Return whether a carrier should be asked before the own path is tried again."""
        has_failed_here = now - self._troubled_at.get(endpoint_id, float("-inf"))
        return has_failed_here <= TROUBLE_WINDOW_S and self.is_troubled(now=now)

    def is_troubled(self, *, now: float) -> bool:
        """Return whether connections to several endpoints have failed lately."""
        if self.has_broken:
            return True
        recent = [at for at in self._troubled_at.values() if now - at <= TROUBLE_WINDOW_S]
        return len(recent) >= MIN_TROUBLED_ENDPOINTS
