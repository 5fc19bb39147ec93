"""Structured event lines on standard output: bounded, and never waited for.

A line a decision is what on-call engineers have afterwards. A pipe that nobody reads
would stop the process at the next write, so lines wait in a bounded queue until the pipe
has room, and what doesn't fit is counted and told in a line.
"""

import os
import select
import time
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import gevent
import msgspec
from gevent.event import Event

MAX_QUEUED_LINES = 4096
WRITE_INTERVAL_S = 0.25
# While nothing is to be written; also how often a late process is noticed.
IDLE_INTERVAL_S = 1.0
# Lines of one kind a second, in bursts of twice as many. At 40 requests a second and
# three lines each, a router stays below it; a storm of refusals does not.
MAX_LINES_PER_S = 150.0
# A pipe that polls as writable takes so much without blocking.
MAX_WRITE_BYTES = select.PIPE_BUF
# A process whose greenlets wait for longer than this answers nobody in time.
LATE_THRESHOLD_S = 0.25


class _TokenBucket:
    """Allows a rate and a burst, and counts what it left out."""

    def __init__(self) -> None:
        self.tokens = 2 * MAX_LINES_PER_S
        self.at = 0.0
        self.suppressed = 0

    def try_acquire(self, now: float) -> bool:
        self.tokens = min(2 * MAX_LINES_PER_S, self.tokens + (now - self.at) * MAX_LINES_PER_S)
        self.at = now
        if self.tokens < 1.0:
            self.suppressed += 1
            return False
        self.tokens -= 1.0
        return True


class EventLog:
    """Takes events from anywhere in the process and writes them as JSON lines."""

    def __init__(self, *, instance: str, descriptor: int = 1) -> None:
        """Take the name of the instance and where lines go."""
        self._instance = instance
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._buckets: dict[str, _TokenBucket] = {}
        self._has_lines = Event()
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._encoder = msgspec.json.Encoder()
        self.dropped = 0

    def write(self, event: str, **fields: Any) -> None:
        """Queue one line; returns at once."""
        now = time.monotonic()
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = self._buckets[event] = _TokenBucket()
        if not bucket.try_acquire(now):
            return
        if bucket.suppressed and bucket.tokens > MAX_LINES_PER_S:
            suppressed, bucket.suppressed = bucket.suppressed, 0
            self._queue({"event": "lines_left_out", "of": event, "count": suppressed}, now)
        self._queue({"event": event, **fields}, now)

    def _queue(self, fields: dict[str, Any], now: float) -> None:
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        head = {"at": round(time.time(), 3), "up": round(now, 3), "instance": self._instance}
        self._lines.append(self._encoder.encode({**head, **fields}) + b"\n")
        self._has_lines.set()

    def run(self) -> None:
        """Write what waits, again and again, until killed."""
        while True:
            self._wait(WRITE_INTERVAL_S)
            self.flush()
            if not self._lines:
                self._has_lines.clear()
                due = time.monotonic() + IDLE_INTERVAL_S
                if not self._has_lines.wait(IDLE_INTERVAL_S):
                    self._report_late(due)

    def _wait(self, wait_s: float) -> None:
        due = time.monotonic() + wait_s
        gevent.sleep(wait_s)
        self._report_late(due)

    def _report_late(self, due: float) -> None:
        late_s = time.monotonic() - due
        if late_s > LATE_THRESHOLD_S:
            self.write("loop_late", late_s=round(late_s, 3))

    def flush(self) -> None:
        """Write what the reader has room for; never blocks."""
        while self._lines and self._is_writable():
            self._write_some()
        if self.dropped and len(self._lines) < MAX_QUEUED_LINES:
            dropped, self.dropped = self.dropped, 0
            self._queue({"event": "lines_dropped", "count": dropped}, time.monotonic())

    def _is_writable(self) -> bool:
        return any(flags & select.POLLOUT for _, flags in self._poll.poll(0))

    def _write_some(self) -> None:
        """Write the oldest lines that fit, at least a part of the first."""
        parts = [self._lines.popleft()]
        size = len(parts[0])
        while self._lines and size + len(self._lines[0]) <= MAX_WRITE_BYTES:
            parts.append(self._lines.popleft())
            size += len(parts[-1])
        data = b"".join(parts)
        try:
            written = os.write(self._descriptor, data[:MAX_WRITE_BYTES])
        except OSError:
            # The reader has gone; the process goes on without its lines.
            return
        if written < len(data):
            self._lines.appendleft(data[written:])


@contextmanager
def open_events(*, instance: str) -> Iterator[EventLog]:
    """Give a log that is written until the block ends."""
    events = EventLog(instance=instance)
    writer = gevent.spawn(events.run)
    try:
        yield events
    finally:
        writer.kill()
        with gevent.Timeout(0.5, False):
            events.flush()
