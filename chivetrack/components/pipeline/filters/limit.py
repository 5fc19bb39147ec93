"""Holds each workspace to its limits."""

from typing import Protocol

from chivetrack.components.pipeline.chain import FILTERS, PROCEED, Refused, Step, Suspended
from chivetrack.components.pipeline.models import Exchange
from chivetrack.exceptions import Fault


class Limiter(Protocol):
    """Decides whether a request may go on now."""

    def admit(self, exchange: Exchange, *, now: float) -> "Fault | bool":
        """Return ``True`` to go on, ``False`` to wait in the queue, or the refusal."""
        ...

    def release(self, exchange: Exchange, *, now: float) -> None:
        """Give back what ``admit`` took, or leave the queue."""
        ...


@FILTERS.register("limit")
class LimitFilter:
    """Asks the limiter, and gives back what it granted."""

    def __init__(self, *, limiter: Limiter) -> None:
        """Take the limiter."""
        self._limiter = limiter
        self._held: set[str] = set()

    def enter(self, exchange: Exchange, *, now: float) -> Step:
        """Let the request on, have it wait, or refuse it at once."""
        decision = self._limiter.admit(exchange, now=now)
        if isinstance(decision, Fault):
            return Refused(decision)
        self._held.add(exchange.request_id)
        return PROCEED if decision else Suspended()

    def leave(self, exchange: Exchange, *, now: float) -> None:
        """Give back what the request held."""
        if exchange.request_id not in self._held:
            return
        self._held.remove(exchange.request_id)
        self._limiter.release(exchange, now=now)
