"""Exponential backoff between failed attempts, per resource."""

from dataclasses import dataclass
from random import Random

from chivetrack.components.controllers.const import (
    BACKOFF_FACTOR,
    INITIAL_BACKOFF_S,
    JITTER,
    MAX_BACKOFF_S,
)


@dataclass(slots=True, kw_only=True)
class _Delay:
    failures: int = 0
    retry_at: float = float("-inf")


class Backoffs:
    """Tracks per key the consecutive failures and the time of the next attempt."""

    def __init__(self, *, random: Random) -> None:
        """Start without failures."""
        self._random = random
        self._delays: dict[str, _Delay] = {}

    def allows(self, key: str, now: float) -> bool:
        """Return whether an attempt for the key is allowed now."""
        delay = self._delays.get(key)
        return delay is None or now >= delay.retry_at

    def get_retry_at(self, key: str) -> float:
        """Return when the next attempt for the key is allowed."""
        delay = self._delays.get(key)
        return float("-inf") if delay is None else delay.retry_at

    def fail(self, key: str, now: float) -> None:
        """Record a failure; the delay doubles up to ``MAX_BACKOFF_S``, with jitter."""
        delay = self._delays.setdefault(key, _Delay())
        wait = min(INITIAL_BACKOFF_S * BACKOFF_FACTOR**delay.failures, MAX_BACKOFF_S)
        delay.retry_at = now + wait * self._random.uniform(1.0 - JITTER, 1.0 + JITTER)
        if wait < MAX_BACKOFF_S:
            delay.failures += 1

    def succeed(self, key: str) -> None:
        """Reset the backoff of a key."""
        self._delays.pop(key, None)

    def clear(self) -> None:
        """Reset the backoff of all keys."""
        self._delays.clear()
