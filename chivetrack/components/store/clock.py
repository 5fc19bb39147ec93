"""The clock with which a proposer stamps commands."""


class ProposerClock:
    """Counts from the store's clock at the start of a leadership.

    A leader whose wall clock is behind the store's would stamp times that the store
    ignores: its clock would stand still and no lease would ever expire. So the clock
    starts at the later of the two and goes on with the monotonic clock.
    """

    def __init__(self, *, store_time_ms: int, wall_time_ms: int, now: float) -> None:
        """Start at the later clock; ``now`` is the monotonic clock in seconds."""
        self._start_ms = max(store_time_ms, wall_time_ms)
        self._started_at = now

    def read(self, now: float) -> int:
        """Return the time for a stamp, in ms since 1970."""
        return self._start_ms + int((now - self._started_at) * 1000)
