"""Enforces the limits of each workspace."""

from typing import Protocol

from chivetrack.components.pipeline.chain import FILTERS, PROCEED, Refused, Step, Suspended
from chivetrack.components.pipeline.models import Exchange
from chivetrack.exceptions import Fault


class Limiter(Protocol):
    """Decides whether a request is admitted now."""

    def admit(self, exchange: Exchange, *, now: float) -> "Fault | bool":
        """Return ``True`` if admitted, ``False`` if queued, or the refusal."""
        ...

    def release(self, exchange: Exchange, *, now: float) -> None:
        """Release the slot that ``admit`` granted, or remove the request from the queue."""
        ...


@FILTERS.register("limit")
class LimitFilter:
    """Requests a slot from the limiter and releases it when the request ends."""

    def __init__(self, *, limiter: Limiter) -> None:
        """Initialize with the limiter."""
        self._limiter = limiter
        self._held: set[str] = set()

    def enter(self, exchange: Exchange, *, now: float) -> Step:
        """Let the request proceed, suspend it while queued, or refuse it at once."""
        decision = self._limiter.admit(exchange, now=now)
        if isinstance(decision, Fault):
            return Refused(decision)
        self._held.add(exchange.request_id)
        return PROCEED if decision else Suspended()

    def leave(self, exchange: Exchange, *, now: float) -> None:
        """Release the request's slot or its place in the queue."""
        if exchange.request_id not in self._held:
            return
        self._held.remove(exchange.request_id)
        self._limiter.release(exchange, now=now)
