"""Chooses the router that carries a connection; free of I/O."""

from collections.abc import Iterable, Sequence
from random import Random

from chivetrack.components.distribution.messages import Carrier
from chivetrack.components.paths.const import (
    CARRIER_REST_S,
    CARRIERS_MAX_AGE_S,
    CARRIERS_PER_ANSWER,
)


class CarrierPool:
    """The routers that a replica named as carriers, without those that failed a moment ago."""

    def __init__(self, *, random: Random) -> None:
        """Start without carriers; ``random`` spreads connections over them."""
        self._random = random
        self._named: tuple[Carrier, ...] = ()
        self._named_at = float("-inf")
        self._failed_at: dict[str, float] = {}

    def is_outdated(self, *, now: float) -> bool:
        """Return whether no carrier has been named lately."""
        return not self._named or now - self._named_at > CARRIERS_MAX_AGE_S

    def replace(self, carriers: Iterable[Carrier], *, now: float) -> None:
        """Replace the carriers by those that a replica named last."""
        self._named = tuple(carriers)
        self._named_at = now

    def record_failure(self, carrier: str, *, now: float) -> None:
        """Record that a carrier could not be reached or refused."""
        self._failed_at[carrier] = now

    def list_choices(self, service: str, *, now: float) -> list[str]:
        """Return the carriers for a service in the order in which they should be tried."""
        reaching = [one.address for one in self._named if service not in one.lost_services]
        order = self._random.sample(reaching, len(reaching))
        rested = [one for one in order if self._has_rested(one, now)]
        return rested + [one for one in order if one not in rested]

    def _has_rested(self, carrier: str, now: float) -> bool:
        return now - self._failed_at.get(carrier, float("-inf")) > CARRIER_REST_S


def choose_carriers(
    carriers: Iterable[Carrier], *, services: Sequence[str] = (), random: Random
) -> tuple[Carrier, ...]:
    """Return a few carriers, others each time, first those that reach most of ``services``.

    Without services, those that reach all are first.
    """
    known = sorted({one.address: one for one in carriers}.values(), key=lambda one: one.address)
    order = random.sample(known, len(known))
    order.sort(key=lambda one: _count_lost(one, services))
    return tuple(order[:CARRIERS_PER_ANSWER])


def _count_lost(carrier: Carrier, services: Sequence[str]) -> int:
    lost = set(carrier.lost_services)
    return len(lost & set(services)) if services else len(lost)
