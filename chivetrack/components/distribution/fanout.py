"""Fan-out of one message to many routers, which forward it to each other; free of I/O."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from chivetrack.components.distribution.const import (
    BULK_BYTES_PER_S,
    MAX_DIRECT_BYTES,
    MAX_FORWARDS,
    MAX_RELAY_BYTES,
    MAX_SEND_AHEAD_S,
)
from chivetrack.components.distribution.pacing import Pacer

# Frame, names in an update, and TCP/IP headers.
_OVERHEAD_BYTES = 200
_ADDRESS_BYTES = 20


@dataclass(frozen=True, slots=True, kw_only=True)
class Delivery:
    """One message of the replica: sent to ``first``, which forwards it to ``others``."""

    first: str
    others: tuple[str, ...]
    arrives_at: float


@dataclass(slots=True, kw_only=True)
class Fanout:
    """Selects the routers that get a message directly and forward it, within the rate limit.

    ``is_congested`` returns whether messages wait for the network link already.
    """

    pacer: Pacer
    is_congested: Callable[[], bool]

    def has_room(self, *, now: float) -> bool:
        """Return whether the rate limit and the network link have room for more data now."""
        return not self.is_congested() and self.pacer.find_delay(now=now) <= MAX_SEND_AHEAD_S

    def plan(
        self, routers: Sequence[str], size: int, *, now: float, is_direct: bool = False
    ) -> Iterator[Delivery]:
        """Yield the deliveries of ``size`` bytes that fit now; the others wait for the next round.

        The first of ``routers`` forward the message, so the caller puts routers first that are
        likely to be alive. With ``is_direct`` every router gets the message from the replica.
        """
        groups = [[router] for router in routers] if is_direct else _split(routers, size)
        for first, *others in groups:
            if not self.has_room(now=now):
                return
            size_on_link = size + _OVERHEAD_BYTES + _ADDRESS_BYTES * len(others)
            sent_at = (
                now
                + self.pacer.reserve(size_on_link, now=now)
                + size_on_link / self.pacer.bytes_per_s
            )
            arrives_at = sent_at + len(others) * size_on_link / BULK_BYTES_PER_S
            yield Delivery(first=first, others=tuple(others), arrives_at=arrives_at)


def _split(routers: Sequence[str], size: int) -> list[list[str]]:
    if len(routers) * size <= MAX_DIRECT_BYTES:
        return [[router] for router in routers]
    forwards = max(1, min(MAX_FORWARDS, int(MAX_RELAY_BYTES // max(1, size))))
    groups = -(-len(routers) // (forwards + 1))
    return [[routers[group], *routers[groups + group :: groups]] for group in range(groups)]
