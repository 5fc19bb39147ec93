"""The clock for the time stamps of commands."""


class ProposerClock:
    """Provides the time stamps of commands during one leadership.

    The store ignores time stamps behind its own clock. With a leader whose wall clock is
    behind, the store's clock would stop and leases would not expire. So this clock starts
    at the later of the two and advances with the monotonic clock.
    """

    def __init__(self, *, store_time_ms: int, wall_time_ms: int, now: float) -> None:
        """Start at the later of the two times; ``now`` is the monotonic clock in seconds."""
        self._start_ms = max(store_time_ms, wall_time_ms)
        self._started_at = now

    def read(self, now: float) -> int:
        """Return the time stamp for a command, in milliseconds since 1970."""
        return self._start_ms + int((now - self._started_at) * 1000)
