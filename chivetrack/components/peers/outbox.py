"""Messages that wait to be sent to one instance, oldest first; old messages are dropped."""

import time
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from gevent.event import Event

from chivetrack.components.peers.const import QUEUE_LIMIT

ItemT = TypeVar("ItemT")


@dataclass(slots=True, kw_only=True)
class TrafficCount:
    """Counts of what a transport has sent and received since its start."""

    sent_bytes: int = 0
    sent_batches: int = 0
    received_bytes: int = 0
    dropped_messages: int = 0
    sent_by_kind: Counter[str] = field(default_factory=Counter)
    """Bytes of the messages without frame overhead, by message kind."""
    received_by_kind: Counter[str] = field(default_factory=Counter)
    """Bytes of the messages without frame overhead, by message kind."""
    _longest_waits: dict[str, float] = field(default_factory=dict)

    def record_wait(self, kind: str, wait_s: float) -> None:
        """Record how long a message waited until the kernel had accepted all of it."""
        if wait_s > self._longest_waits.get(kind, 0.0):
            self._longest_waits[kind] = wait_s

    def pop_longest_waits(self) -> dict[str, float]:
        """Return and clear the longest wait in seconds by message kind."""
        waits, self._longest_waits = self._longest_waits, {}
        return waits


@dataclass(slots=True)
class Outbox(Generic[ItemT]):
    """The messages for one target; ``ready`` is set while there are any."""

    traffic: TrafficCount
    ready: Event = field(default_factory=Event)
    _waiting: deque[tuple[float, ItemT]] = field(
        default_factory=lambda: deque(maxlen=QUEUE_LIMIT), init=False
    )

    def __len__(self) -> int:
        """Return the number of waiting items."""
        return len(self._waiting)

    def put(self, item: ItemT) -> None:
        """Queue an item; drop the oldest one if the queue is full."""
        if len(self._waiting) == QUEUE_LIMIT:
            self.traffic.dropped_messages += 1
        self._waiting.append((time.monotonic(), item))
        self.ready.set()

    def pop(self, limit: int) -> list[tuple[float, ItemT]]:
        """Remove and return up to ``limit`` oldest items, each with the time when it was queued."""
        count = min(len(self._waiting), limit)
        items = [self._waiting.popleft() for _ in range(count)]
        self._clear_ready()
        return items

    def drop_expired(self, *, max_wait_s: float) -> None:
        """Drop items that have waited for ``max_wait_s`` or longer."""
        oldest = time.monotonic() - max_wait_s
        while self._waiting and self._waiting[0][0] <= oldest:
            self._waiting.popleft()
            self.traffic.dropped_messages += 1
        self._clear_ready()

    def _clear_ready(self) -> None:
        if not self._waiting:
            self.ready.clear()
