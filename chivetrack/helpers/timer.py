"""Timer service: calls subscribers when they are due.

It has no clock or thread of its own; the owner calls ``run_due`` with the current time.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from chivetrack.core import Unsubscribe

Callback = Callable[[float], None]


@dataclass(slots=True, order=True)
class _Entry:
    due: float
    order: int
    callback: Callback = field(compare=False)
    interval: float | None = field(compare=False)
    active: bool = field(default=True, compare=False)


class TimerService:
    """Calls subscribers when they are due; all times are seconds of the owner's clock."""

    def __init__(self) -> None:
        """Start with no subscribers."""
        self._heap: list[_Entry] = []
        self._orders = itertools.count()

    def call_at(self, due: float, callback: Callback) -> Unsubscribe:
        """Call ``callback`` once at ``due``; return a function that cancels the call."""
        return self._add(due, callback, None)

    def call_every(self, interval: float, callback: Callback, *, now: float) -> Unsubscribe:
        """Call ``callback`` every ``interval`` seconds, first at ``now + interval``."""
        return self._add(now + interval, callback, interval)

    def _add(self, due: float, callback: Callback, interval: float | None) -> Unsubscribe:
        entry = _Entry(due, next(self._orders), callback, interval)
        heapq.heappush(self._heap, entry)

        def unsubscribe() -> None:
            entry.active = False

        return unsubscribe

    def find_next_due(self) -> float | None:
        """Return when the next subscriber is due, ``None`` without subscribers."""
        while self._heap and not self._heap[0].active:
            heapq.heappop(self._heap)
        return self._heap[0].due if self._heap else None

    def run_due(self, now: float) -> None:
        """Call all subscribers that are due at ``now``.

        A subscriber that missed several intervals is called only once: a process that was
        suspended must not run minutes of missed work in one burst when it resumes.
        """
        while (due := self.find_next_due()) is not None and due <= now:
            entry = heapq.heappop(self._heap)
            if entry.interval is not None:
                entry.due = max(entry.due + entry.interval, now)
                entry.order = next(self._orders)
                if entry.due <= now:
                    entry.due = now + entry.interval
                heapq.heappush(self._heap, entry)
            entry.callback(now)
