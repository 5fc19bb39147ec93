"""Delays between failed tries, per resource."""

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
    until: float = float("-inf")


class Backoffs:
    """Remembers per key how often it failed in a row and until when to leave it alone."""

    def __init__(self, *, random: Random) -> None:
        """Start with no failures."""
        self._random = random
        self._delays: dict[str, _Delay] = {}

    def allows(self, key: str, now: float) -> bool:
        """Tell whether the key may be tried."""
        delay = self._delays.get(key)
        return delay is None or now >= delay.until

    def get_retry_at(self, key: str) -> float:
        """Return until when the key is left alone."""
        delay = self._delays.get(key)
        return float("-inf") if delay is None else delay.until

    def fail(self, key: str, now: float) -> None:
        """Count a failure; the delay doubles up to a bound, spread by chance."""
        delay = self._delays.setdefault(key, _Delay())
        wait = min(INITIAL_BACKOFF_S * BACKOFF_FACTOR**delay.failures, MAX_BACKOFF_S)
        delay.until = now + wait * self._random.uniform(1.0 - JITTER, 1.0 + JITTER)
        if wait < MAX_BACKOFF_S:
            delay.failures += 1

    def succeed(self, key: str) -> None:
        """Forget the failures of a key."""
        self._delays.pop(key, None)

    def clear(self) -> None:
        """Forget all failures."""
        self._delays.clear()
