"""Sends the same bytes to many routers, which hand them on to each other; free of I/O."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from chivetrack.components.distribution.const import (
    BULK_BYTES_PER_S,
    MAX_DIRECT_BYTES,
    MAX_FORWARDS,
    MAX_RELAY_BYTES,
    MAX_SEND_AHEAD_S,
)
from chivetrack.components.distribution.pacing import Pacer

# The frame, the names in an update and the TCP/IP headers.
_OVERHEAD_BYTES = 200
_ADDRESS_BYTES = 20


@dataclass(frozen=True, slots=True, kw_only=True)
class Delivery:
    """One message of the replica: to ``first``, which hands it on to ``others``."""

    first: str
    others: tuple[str, ...]
    arrives_at: float


@dataclass(slots=True, kw_only=True)
class Fanout:
    """Divides routers among those that get a message first, within the pace of the link."""

    pacer: Pacer

    def has_room(self, *, now: float) -> bool:
        """Return whether more may be handed to the kernel now."""
        return self.pacer.find_delay(now=now) <= MAX_SEND_AHEAD_S

    def plan(
        self, routers: Sequence[str], size: int, *, now: float, is_direct: bool = False
    ) -> Iterator[Delivery]:
        """Yield to whom ``size`` bytes go now; routers without room wait for the next round.

        The first of ``routers`` hand the message on: put those first that are surely alive.
        With ``is_direct`` nobody hands it on.
        """
        parts = [[one] for one in routers] if is_direct else _split(routers, size)
        for first, *others in parts:
            if not self.has_room(now=now):
                return
            whole = size + _OVERHEAD_BYTES + _ADDRESS_BYTES * len(others)
            sent_at = now + self.pacer.reserve(whole, now=now) + whole / self.pacer.bytes_per_s
            arrives_at = sent_at + len(others) * whole / BULK_BYTES_PER_S
            yield Delivery(first=first, others=tuple(others), arrives_at=arrives_at)


def _split(routers: Sequence[str], size: int) -> list[list[str]]:
    if len(routers) * size <= MAX_DIRECT_BYTES:
        return [[one] for one in routers]
    forwards = max(1, min(MAX_FORWARDS, int(MAX_RELAY_BYTES // max(1, size))))
    parts = -(-len(routers) // (forwards + 1))
    return [[routers[part], *routers[parts + part :: parts]] for part in range(parts)]
