"""Event log: structured lines on standard output, written without blocking.

Each decision writes one line, so that on-call engineers can reconstruct it later. A write
to a pipe that nobody reads would block the process, so lines wait in a bounded queue until
the pipe has room. Lines that do not fit are dropped, and their count is logged.
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
# Wait while the queue is empty; the delay of the event loop is measured after each wait.
IDLE_INTERVAL_S = 1.0
# Limit of the wait for a full pipe at the exit; a router has little time until SIGKILL then.
CLOSE_TIMEOUT_S = 0.1
CLOSE_POLL_S = 0.01
# Limit for each event name, with bursts of twice as many lines. A router with 40 requests per
# second and three lines each stays below the limit; a flood of refusals does not.
MAX_LINES_PER_S = 150.0
# A pipe that polls as writable accepts this many bytes without blocking.
MAX_WRITE_BYTES = select.PIPE_BUF
# A process whose greenlets are delayed for longer than this answers its callers too late.
LATE_THRESHOLD_S = 0.25


class _TokenBucket:
    """Token bucket: allows a rate and a burst, and counts the suppressed lines."""

    def __init__(self) -> None:
        self.tokens = 2 * MAX_LINES_PER_S
        self.refilled_at = 0.0
        self.suppressed = 0

    def try_consume(self, now: float) -> bool:
        self.tokens = min(
            2 * MAX_LINES_PER_S, self.tokens + (now - self.refilled_at) * MAX_LINES_PER_S
        )
        self.refilled_at = now
        if self.tokens < 1.0:
            self.suppressed += 1
            return False
        self.tokens -= 1.0
        return True


class EventLog:
    """Queues the events of the process and writes them as JSON lines."""

    def __init__(self, *, instance: str, descriptor: int = 1) -> None:
        """Initialize with the instance's name and the file descriptor that lines go to."""
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
        """Queue one line without blocking; ``fields`` become fields of the line."""
        now = time.monotonic()
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = self._buckets[event] = _TokenBucket()
        if not bucket.try_consume(now):
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
        """Write queued lines periodically until the greenlet is killed."""
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
        """Write as many queued lines as the pipe has room for, without blocking."""
        while self._lines and self._is_writable():
            # Another greenlet may have written the lines while this one polled.
            if self._lines:
                self._write_some()
        if self.dropped and len(self._lines) < MAX_QUEUED_LINES:
            dropped, self.dropped = self.dropped, 0
            self._queue({"event": "lines_dropped", "count": dropped}, time.monotonic())

    def drain(self) -> None:
        """Write all queued lines; wait while the pipe is full."""
        self.flush()
        while self._lines:
            gevent.sleep(CLOSE_POLL_S)
            self.flush()

    def _is_writable(self) -> bool:
        return any(flags & select.POLLOUT for _, flags in self._poll.poll(0))

    def _write_some(self) -> None:
        """Write the oldest lines that fit into one write, or a part of a longer first line."""
        parts = [self._lines.popleft()]
        size = len(parts[0])
        while self._lines and size + len(self._lines[0]) <= MAX_WRITE_BYTES:
            parts.append(self._lines.popleft())
            size += len(parts[-1])
        data = b"".join(parts)
        try:
            written = os.write(self._descriptor, data[:MAX_WRITE_BYTES])
        except OSError:
            # The reader has closed the pipe; these lines are lost and the process continues.
            return
        if written < len(data):
            self._lines.appendleft(data[written:])


@contextmanager
def open_events(*, instance: str, descriptor: int = 1) -> Iterator[EventLog]:
    """Open an event log whose queue is written in the background until the block ends.

    The lines of the last moments tell what an exit cut, so a reader that is slow gets
    ``CLOSE_TIMEOUT_S`` to take them.
    """
    events = EventLog(instance=instance, descriptor=descriptor)
    writer = gevent.spawn(events.run)
    try:
        yield events
    finally:
        writer.kill()
        with gevent.Timeout(CLOSE_TIMEOUT_S, False):
            events.drain()
