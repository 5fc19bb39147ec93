"""A token bucket whose rate may change."""


class TokenBucket:
    """Tokens that refill over time."""

    def __init__(self, *, rate_per_s: float, burst: float, now: float) -> None:
        """Start full."""
        self._rate = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._filled_at = now

    def set_rate(self, *, rate_per_s: float, burst: float, now: float) -> None:
        """Refill at another rate from now on."""
        self._fill(now)
        self._rate = rate_per_s
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def try_consume(self, now: float) -> bool:
        """Take one token, if there is one."""
        self._fill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def get_wait(self, now: float, *, tokens: float = 1.0) -> float:
        """Return the seconds until so many tokens have come."""
        self._fill(now)
        missing = tokens - self._tokens
        if missing <= 0.0:
            return 0.0
        return missing / self._rate if self._rate > 0.0 else float("inf")

    def is_full(self, now: float) -> bool:
        """Return whether no more tokens fit."""
        self._fill(now)
        return self._tokens >= self._burst

    def _fill(self, now: float) -> None:
        self._tokens = min(self._burst, self._tokens + (now - self._filled_at) * self._rate)
        self._filled_at = now
