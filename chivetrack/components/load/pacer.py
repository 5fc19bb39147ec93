"""Pacing of the messages with counts to the other routers."""

from chivetrack.components.load.const import (
    FINISH_DELAY_S,
    HEARTBEAT_S,
    SEND_BURST,
    SEND_RATE_PER_S,
)


class CountsPacer:
    """Decides when counts are sent: after changes and as a heartbeat.

    The counts are due immediately after a start and ``FINISH_DELAY_S`` after a finish: other
    routers that don't know of a start send more requests to a full endpoint, while a finish
    that they don't know of only makes them choose another endpoint. A token bucket bounds
    the messages to each other router, and so the traffic, to rate times routers times size.
    """

    def __init__(self, *, rate_per_s: float = SEND_RATE_PER_S, burst: float = SEND_BURST) -> None:
        """Initialize the pacer for ``rate_per_s`` messages per second and bursts of ``burst``."""
        self._rate = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._filled_at = 0.0
        self._due_at = 0.0

    def record_start(self, now: float) -> None:
        """Make the counts due immediately after a start."""
        self._due_at = min(self._due_at, now)

    def record_finish(self, now: float) -> None:
        """Make the counts due after a finish, with a delay."""
        self._due_at = min(self._due_at, now + FINISH_DELAY_S)

    def find_next_due(self, now: float) -> float:
        """Return the time of the next message; it is due if that is not after ``now``."""
        missing = 1.0 - self._count_tokens(now)
        if missing <= 0.0:
            return self._due_at
        return max(self._due_at, now + missing / self._rate)

    def record_sent(self, now: float) -> None:
        """Take a token, and schedule the next message as a heartbeat."""
        self._tokens = self._count_tokens(now) - 1.0
        self._filled_at = now
        self._due_at = now + HEARTBEAT_S

    def _count_tokens(self, now: float) -> float:
        return min(self._burst, self._tokens + (now - self._filled_at) * self._rate)
