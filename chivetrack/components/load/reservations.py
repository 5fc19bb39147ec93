"""Slots granted to other routers that are not included in their counts yet."""

from collections.abc import Callable
from dataclasses import dataclass

from chivetrack.components.load.const import RESERVATION_MAX_S


@dataclass(frozen=True, slots=True)
class _Reservation:
    ticket: int
    endpoint_id: str
    granted_at: float


class Reservations:
    """Holds the reservations of each router, in the order of their tickets."""

    def __init__(self) -> None:
        """Initialize without reservations."""
        self._by_router: dict[str, list[_Reservation]] = {}

    def add(self, source: str, endpoint_id: str, ticket: int, now: float) -> None:
        """Reserve a slot for a ticket."""
        reservation = _Reservation(ticket, endpoint_id, now)
        self._by_router.setdefault(source, []).append(reservation)

    def find(self, source: str, ticket: int) -> str | None:
        """Return the endpoint reserved for a ticket, or ``None``."""
        for reservation in self._by_router.get(source, ()):
            if reservation.ticket == ticket:
                return reservation.endpoint_id
        return None

    def release_settled(self, source: str, settled: int) -> list[str]:
        """Remove a router's reservations up to a ticket; return their endpoints."""
        return self._remove(source, lambda each: each.ticket <= settled)

    def expire(self, now: float) -> list[str]:
        """Remove the reservations older than ``RESERVATION_MAX_S``; return their endpoints."""
        oldest = now - RESERVATION_MAX_S
        dropped = []
        for source in list(self._by_router):
            dropped += self._remove(source, lambda each: each.granted_at <= oldest)
        return dropped

    def find_next_expiry(self) -> float:
        """Return the time at which the next reservation expires."""
        granted = [each.granted_at for group in self._by_router.values() for each in group]
        return min(granted, default=float("inf")) + RESERVATION_MAX_S

    def drop_router(self, source: str) -> list[str]:
        """Remove all reservations of a router; return their endpoints."""
        return self._remove(source, lambda each: True)

    def _remove(self, source: str, is_removed: Callable[[_Reservation], bool]) -> list[str]:
        group = self._by_router.get(source)
        if not group:
            return []
        removed = [each.endpoint_id for each in group if is_removed(each)]
        remaining = [each for each in group if not is_removed(each)]
        if remaining:
            self._by_router[source] = remaining
        else:
            del self._by_router[source]
        return removed
