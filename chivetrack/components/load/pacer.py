"""When a router sends its counts to the others."""

from chivetrack.components.load.const import (
    FINISH_DELAY_S,
    HEARTBEAT_S,
    SEND_BURST,
    SEND_RATE_PER_S,
)


class CountsPacer:
    """Sends at once after a start, a little later after a finish, and now and then.

    A start that the others don't know of makes them send more to an endpoint that is
    full; a finish they don't know of only sends them elsewhere. ``rate_per_s`` bounds
    the messages to each other router, so that the bytes are bounded by construction:
    rate times routers times size.
    """

    def __init__(self, *, rate_per_s: float = SEND_RATE_PER_S, burst: float = SEND_BURST) -> None:
        """Allow ``rate_per_s`` messages a second, ``burst`` of them at once."""
        self._rate = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._filled_at = 0.0
        self._due_at = 0.0

    def record_start(self, now: float) -> None:
        """Want to send at once."""
        self._due_at = min(self._due_at, now)

    def record_finish(self, now: float) -> None:
        """Want to send soon."""
        self._due_at = min(self._due_at, now + FINISH_DELAY_S)

    def find_next_due(self, now: float) -> float:
        """Return when to send next; at or before ``now`` means at once."""
        missing = 1.0 - self._count_tokens(now)
        if missing <= 0.0:
            return self._due_at
        return max(self._due_at, now + missing / self._rate)

    def record_sent(self, now: float) -> None:
        """Spend a token; the next message is a heartbeat unless something changes."""
        self._tokens = self._count_tokens(now) - 1.0
        self._filled_at = now
        self._due_at = now + HEARTBEAT_S

    def _count_tokens(self, now: float) -> float:
        return min(self._burst, self._tokens + (now - self._filled_at) * self._rate)
