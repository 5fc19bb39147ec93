"""Measures the event loop of a router, which closes new connections unread while it is behind."""

import time
from collections.abc import Iterator
from contextlib import contextmanager

import gevent

from chivetrack.components.limits.shedding import ConnectionShedder
from chivetrack.helpers.events import EventLog

SAMPLE_INTERVAL_S = 0.02
LOG_INTERVAL_S = 1.0


class _BusyTime:
    """Sums the time during which the event loop works and does not wait for events."""

    def __init__(self) -> None:
        self.total_s = 0.0
        self._woke_at = time.monotonic()

    def handle_wait(self) -> None:
        """Handle that the loop is about to wait."""
        self.total_s += time.monotonic() - self._woke_at

    def handle_wake(self) -> None:
        """Handle that the loop has waited."""
        self._woke_at = time.monotonic()


@contextmanager
def _measure_busy_time() -> Iterator[_BusyTime]:
    """Measure within the context; the callbacks of the loop run between both watchers."""
    loop = gevent.get_hub().loop
    busy = _BusyTime()
    before_wait = loop.prepare(priority=loop.MINPRI)
    after_wait = loop.check(priority=loop.MAXPRI)
    before_wait.start(busy.handle_wait)
    after_wait.start(busy.handle_wake)
    try:
        yield busy
    finally:
        for watcher in (before_wait, after_wait):
            watcher.stop()
            watcher.close()


class LoopMonitor:
    """Feed a shedder with the work and the delays of the event loop, and log what it closed."""

    def __init__(self, *, shedder: ConnectionShedder, events: EventLog) -> None:
        """Store the shedder and the event log."""
        self._shedder = shedder
        self._events = events
        self._logged_count = 0
        self._logged_at = 0.0

    def run(self) -> None:
        """Measure until killed."""
        with _measure_busy_time() as busy:
            while True:
                began, worked_s = time.monotonic(), busy.total_s
                gevent.sleep(SAMPLE_INTERVAL_S)
                now = time.monotonic()
                self._shedder.record_sample(
                    lag_s=now - began - SAMPLE_INTERVAL_S,
                    busy_share=(busy.total_s - worked_s) / (now - began),
                )
                self._log(now)

    def _log(self, now: float) -> None:
        closed = self._shedder.closed_count - self._logged_count
        if not closed or now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        self._logged_count = self._shedder.closed_count
        self._events.write(
            "connections_shed",
            count=closed,
            lag_ms=round(self._shedder.mean_lag_s * 1000),
            busy_share=round(self._shedder.mean_share, 2),
        )
