"""Turns of those who read much at once, so that others find the event loop free."""

import time
from typing import Final

import gevent
from gevent.lock import BoundedSemaphore

from chivetrack.const import KIBIBYTE

SLICE_S: Final = 0.002
SLICE_BYTES: Final = 256 * KIBIBYTE
"""What one reader may decode, or read without decoding, before others have their turn."""

MIN_PAUSE_S: Final = 0.001
MAX_PAUSE_S: Final = 0.02
"""A slice that took longer was not spent on reading alone: the reader also writes and waits."""


class ReadingTurns:
    """Lets large messages wait for each other, and leave the loop to small ones.

    A large message, or one of many tiny chunks, can use the whole processor as long as its bytes
    lie ready. After each slice, its reader waits for as long, one reader after the other. So all of
    them together take half of the processor at most, and others find the loop free.
    """

    def __init__(self) -> None:
        """Start without a reader."""
        self._is_waiting = BoundedSemaphore()

    def wait(self, spent_s: float) -> None:
        """Wait after ``spent_s`` seconds of work."""
        with self._is_waiting:
            gevent.sleep(min(MAX_PAUSE_S, max(MIN_PAUSE_S, spent_s)))


class Slices:
    """Measures the slices of one reader that reads whatever lies ready without a turn for others.

    Call ``begin_read`` before each read and ``end_read`` after it.
    """

    def __init__(self, *, turns: ReadingTurns) -> None:
        """Start with an empty slice."""
        self._turns = turns
        self.end_message()

    def end_message(self) -> None:
        """Begin anew with the next message on the connection."""
        self._spent_s, self._bytes = 0.0, 0
        self._began_at = self._ended_at = 0.0

    def begin_read(self) -> None:
        """Wait for a turn if a slice is full; the time since the last read belongs to it."""
        self._began_at = time.monotonic()
        if not self._bytes:
            return
        self._spent_s += self._began_at - self._ended_at
        if self._spent_s >= SLICE_S or self._bytes >= SLICE_BYTES:
            spent_s, self._spent_s, self._bytes = self._spent_s, 0.0, 0
            self._turns.wait(spent_s)
            self._began_at = time.monotonic()

    def end_read(self, size: int) -> None:
        """Count a read of ``size`` bytes; one that had to wait for them has let others run."""
        self._ended_at = time.monotonic()
        if self._ended_at - self._began_at >= MIN_PAUSE_S:
            self._spent_s, self._bytes = 0.0, 0
        self._bytes += size
