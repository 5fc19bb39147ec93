"""Measures the event loop of a router, which closes new connections unread while it is late."""

import time

import gevent

from chivetrack.components.limits.shedding import ConnectionShedder
from chivetrack.helpers.events import EventLog

SAMPLE_INTERVAL_S = 0.02
LOG_INTERVAL_S = 1.0


class LoopMonitor:
    """Feed a shedder with the delays of the event loop, and log what it closed."""

    def __init__(self, *, shedder: ConnectionShedder, events: EventLog) -> None:
        """Store the shedder and the event log."""
        self._shedder = shedder
        self._events = events
        self._logged_count = 0
        self._logged_at = 0.0

    def run(self) -> None:
        """Measure until killed."""
        while True:
            began, used = time.monotonic(), time.process_time()
            gevent.sleep(SAMPLE_INTERVAL_S)
            now = time.monotonic()
            self._shedder.record_sample(
                lag_s=now - began - SAMPLE_INTERVAL_S,
                processor_share=(time.process_time() - used) / (now - began),
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
            processor_share=round(self._shedder.mean_share, 2),
        )
