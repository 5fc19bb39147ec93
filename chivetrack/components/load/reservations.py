"""Slots granted to other routers that their counts don't show yet."""

from collections.abc import Callable
from dataclasses import dataclass

from chivetrack.components.load.const import RESERVATION_MAX_S


@dataclass(frozen=True, slots=True)
class _Reservation:
    ticket: int
    endpoint_id: str
    granted_at: float


class Reservations:
    """Reservations by router, in order of their tickets."""

    def __init__(self) -> None:
        """Start with none."""
        self._by_router: dict[str, list[_Reservation]] = {}

    def add(self, source: str, endpoint_id: str, ticket: int, now: float) -> None:
        """Reserve a slot for a ticket."""
        reservation = _Reservation(ticket, endpoint_id, now)
        self._by_router.setdefault(source, []).append(reservation)

    def find(self, source: str, ticket: int) -> str | None:
        """Return the endpoint reserved for a ticket."""
        for reservation in self._by_router.get(source, ()):
            if reservation.ticket == ticket:
                return reservation.endpoint_id
        return None

    def release_settled(self, source: str, settled: int) -> list[str]:
        """Drop a router's reservations up to a ticket; return their endpoints."""
        return self._drop(source, lambda each: each.ticket <= settled)

    def expire(self, now: float) -> list[str]:
        """Drop the reservations that nobody settled; return their endpoints."""
        oldest = now - RESERVATION_MAX_S
        dropped = []
        for source in list(self._by_router):
            dropped += self._drop(source, lambda each: each.granted_at <= oldest)
        return dropped

    def find_next_expiry(self) -> float:
        """Return when the next reservation expires."""
        granted = [each.granted_at for group in self._by_router.values() for each in group]
        return min(granted, default=float("inf")) + RESERVATION_MAX_S

    def drop_router(self, source: str) -> list[str]:
        """Drop all reservations of a router; return their endpoints."""
        return self._drop(source, lambda each: True)

    def _drop(self, source: str, must_go: Callable[[_Reservation], bool]) -> list[str]:
        group = self._by_router.get(source)
        if not group:
            return []
        gone = [each.endpoint_id for each in group if must_go(each)]
        kept = [each for each in group if not must_go(each)]
        if kept:
            self._by_router[source] = kept
        else:
            del self._by_router[source]
        return gone
