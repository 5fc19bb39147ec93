"""Which availability zones this router does not reach; free of I/O."""

from dataclasses import dataclass, field

from chivetrack.components.paths.const import (
    LOST_ZONE_MEMORY_S,
    MIN_LOST_ENDPOINTS,
    MIN_REACHED_SHARE,
)


@dataclass(slots=True)
class _ZonePath:
    """Endpoints of a zone that did not answer, each within ``LOST_ZONE_MEMORY_S`` of the last."""

    unanswered: set[str] = field(default_factory=set)
    unanswered_at: float = float("-inf")


class ZonePaths:
    """Tells a lost path to a zone from endpoints of it that have failed.

    Load that it answers: packets between two zones are lost, one way or both, and a third of the
    endpoints lies in each zone. Each request to the other zone waits for a connection that never
    opens, then for carriers that don't reach it either, and is refused after three endpoints,
    although every endpoint of the own zone would answer it at once.

    A zone is lost when connections to several of its endpoints time out and no endpoint of it
    has answered since. A refused connection shows that the zone is reached.
    """

    def __init__(self) -> None:
        """Start with all zones reached."""
        self._zones: dict[str, _ZonePath] = {}

    def record_unanswered(self, zone: str, endpoint_id: str, *, now: float) -> None:
        """Record that a connection to an endpoint of a zone timed out."""
        path = self._zones.setdefault(zone, _ZonePath())
        if now - path.unanswered_at > LOST_ZONE_MEMORY_S:
            path.unanswered.clear()
        path.unanswered.add(endpoint_id)
        path.unanswered_at = now

    def record_reached(self, zone: str) -> bool:
        """Record that an endpoint of a zone has answered; return whether the zone was in doubt."""
        return self._zones.pop(zone, None) is not None

    def list_lost(self, *, now: float) -> frozenset[str]:
        """Return the zones that this router does not reach."""
        if not self._zones:
            return frozenset()
        return frozenset(zone for zone, path in self._zones.items() if _is_lost(path, now))


def _is_lost(path: _ZonePath, now: float) -> bool:
    is_recent = now - path.unanswered_at <= LOST_ZONE_MEMORY_S
    return is_recent and len(path.unanswered) >= MIN_LOST_ENDPOINTS


def may_exclude(excluded: int, total: int) -> bool:
    """Return whether requests may do without ``excluded`` of ``total`` endpoints."""
    return total - excluded >= max(1, MIN_REACHED_SHARE * total)
