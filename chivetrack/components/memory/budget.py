"""Decides, without I/O, which connections may hold more bytes, and which give way.

Callers that are not controlled can each send a body of legal size and stop just short of its end.
A limit for each connection does not bound their sum, so bytes are reserved in one account before
they are read. Once the account is full, somebody has to give way:

- a request of which nothing arrives, the largest of them first;
- otherwise the largest request that is still arriving, if it is larger than the new one;
- otherwise the new one, which is refused at once.

So a crowd that stops short of the end never keeps others out for as long as it stays, and small
requests do not wait for large ones. A request that was read whole never gives way, as it may have
run.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from chivetrack.components.memory.const import (
    BUDGET_SHARE,
    CONNECTION_BYTES,
    DESCRIPTOR_SHARE,
    SMALL_BYTES,
    SMALL_SHARE,
    STALLED_AFTER_S,
)


class Phase(StrEnum):
    """What a connection does."""

    WAITING = "waiting"
    """No byte of a request has arrived; its end costs nobody an answer."""

    RECEIVING = "receiving"
    SERVING = "serving"


@dataclass(slots=True, eq=False, kw_only=True)
class Share:
    """What one connection holds, in bytes.

    ``give_way`` frees the bytes of its request at once, or ends a connection that waits.
    ``reserved_at`` is when it last reserved bytes (s, monotonic). ``is_used``: it has sent
    a request before.
    """

    give_way: Callable[[], None]
    held: int = CONNECTION_BYTES
    phase: Phase = Phase.SERVING
    reserved_at: float = 0.0
    is_used: bool = False
    has_given_way: bool = False


class MemoryBudget:
    """The account of the bytes that all connections of a process hold."""

    def __init__(self, *, limit: int, max_connections: int) -> None:
        """Allow ``limit`` bytes and ``max_connections`` open connections."""
        self.limit = limit
        self._max_connections = max_connections
        self._shares: set[Share] = set()
        self._receiving: set[Share] = set()
        # Both in the order in which they began to wait.
        self._unused: dict[Share, None] = {}
        self._idle: dict[Share, None] = {}
        self.held = 0
        self.gave_way_count = 0
        self.refused_count = 0

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._shares)

    def open(self, give_way: Callable[[], None]) -> Share | None:
        """Return the share of a new connection; ``None`` if it has no room.

        One that waits without a request gives way: first one that never sent any, and of these
        the one that waits longest.
        """
        while not self._has_room_for_connection():
            waiting = next(iter(self._unused or self._idle), None)
            if waiting is None:
                self.refused_count += 1
                return None
            self._end(waiting)
        share = Share(give_way=give_way)
        self._shares.add(share)
        self.held += share.held
        return share

    def _has_room_for_connection(self) -> bool:
        has_bytes = self.held + CONNECTION_BYTES <= self.limit
        return has_bytes and len(self._shares) < self._max_connections

    def _end(self, share: Share) -> None:
        self.gave_way_count += 1
        self.close(share)
        share.has_given_way = True
        share.give_way()

    def close(self, share: Share) -> None:
        """Forget a connection that has ended; one that gave way may be forgotten before."""
        if share not in self._shares:
            return
        self.enter(share, Phase.SERVING)
        self._shares.discard(share)
        self.held -= share.held
        share.held = 0

    def enter(self, share: Share, phase: Phase) -> None:
        """Note what a connection does from now on."""
        if share.phase is Phase.RECEIVING:
            self._receiving.discard(share)
        elif share.phase is Phase.WAITING:
            (self._idle if share.is_used else self._unused).pop(share, None)
            share.is_used = True
        share.phase = phase
        if phase is Phase.SERVING or share not in self._shares:
            return
        if phase is Phase.RECEIVING:
            share.is_used = True
            self._receiving.add(share)
        else:
            (self._idle if share.is_used else self._unused)[share] = None

    def reserve(self, share: Share, size: int, *, now: float) -> bool:
        """Reserve ``size`` bytes for the request of a connection; return whether there is room.

        Without room, the connection must refuse its request and free what it holds.
        """
        if share.has_given_way:
            return False
        share.reserved_at = now
        while self.held + size > self._find_limit(share, size):
            victim = self._find_victim(share, size, now)
            if victim is None:
                self.refused_count += 1
                return False
            self._give_way(victim)
        share.held += size
        self.held += size
        return True

    def _find_limit(self, share: Share, size: int) -> int:
        is_small = share.held + size <= CONNECTION_BYTES + SMALL_BYTES
        return self.limit if is_small else round(self.limit * (1 - SMALL_SHARE))

    def _find_victim(self, share: Share, size: int, now: float) -> Share | None:
        """Return the request that gives way to ``share``, ``None`` if it is the new one."""

        def rank(one: Share) -> tuple[bool, int]:
            is_stalled = now - one.reserved_at >= STALLED_AFTER_S
            return is_stalled, one.held

        others = [
            one for one in self._receiving if one is not share and one.held > CONNECTION_BYTES
        ]
        victim = max(others, key=rank, default=None)
        if victim is None or rank(victim) <= (False, share.held + size):
            return None
        return victim

    def _give_way(self, victim: Share) -> None:
        self.gave_way_count += 1
        self.release(victim)
        victim.has_given_way = True
        victim.give_way()

    def release(self, share: Share) -> None:
        """Free what the request of a connection held; its next request may have room again."""
        if share in self._shares:
            self.held -= share.held - CONNECTION_BYTES
            share.held = CONNECTION_BYTES
            share.has_given_way = False


def make_budget(*, memory_bytes: int, max_descriptors: int) -> MemoryBudget:
    """Return the budget of a process on a machine with so much memory and so many descriptors."""
    return MemoryBudget(
        limit=round(memory_bytes * BUDGET_SHARE),
        max_connections=round(max_descriptors * DESCRIPTOR_SHARE),
    )
