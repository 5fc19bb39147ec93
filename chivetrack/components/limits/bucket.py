"""A token bucket whose rate and burst may change."""


class TokenBucket:
    """Holds up to ``burst`` tokens and refills at ``rate_per_s``.

    All times are seconds on the monotonic clock that the caller passes as ``now``.
    """

    def __init__(self, *, rate_per_s: float, burst: float, now: float) -> None:
        """Initialize a full bucket."""
        self._rate = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._filled_at = now

    def set_rate(self, *, rate_per_s: float, burst: float, now: float) -> None:
        """Change the rate and the burst from ``now`` on."""
        self._fill(now)
        self._rate = rate_per_s
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def try_consume(self, now: float) -> bool:
        """Remove one token and return whether there was one."""
        self._fill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def get_wait(self, now: float, *, tokens: float = 1.0) -> float:
        """Return the seconds until the bucket holds ``tokens`` tokens."""
        self._fill(now)
        missing = tokens - self._tokens
        if missing <= 0.0:
            return 0.0
        return missing / self._rate if self._rate > 0.0 else float("inf")

    def is_full(self, now: float) -> bool:
        """Return whether the bucket holds ``burst`` tokens."""
        self._fill(now)
        return self._tokens >= self._burst

    def _fill(self, now: float) -> None:
        self._tokens = min(self._burst, self._tokens + (now - self._filled_at) * self._rate)
        self._filled_at = now
