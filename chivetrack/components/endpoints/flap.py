"""Counts losses and returns (flaps) of an endpoint and derives how long to hold it back."""

from chivetrack.components.endpoints.const import (
    FLAP_DELAY_S,
    FLAP_HALF_LIFE_S,
    FLAP_LIMIT,
    MAX_FLAP_DELAY_S,
)


class FlapCounter:
    """Penalty that grows by one with each flap and decays exponentially."""

    def __init__(self) -> None:
        """Create a counter without penalty."""
        self.held_until = float("-inf")
        self._penalty = 0.0
        self._counted_at = 0.0

    def get_penalty(self, now: float) -> float:
        """Return the decayed penalty at ``now``."""
        return self._penalty * 0.5 ** ((now - self._counted_at) / FLAP_HALF_LIFE_S)

    def record(self, now: float) -> None:
        """Count one return after an unannounced loss, and hold the endpoint back at the limit."""
        self._penalty = self.get_penalty(now) + 1
        self._counted_at = now
        if self._penalty < FLAP_LIMIT:
            return
        delay = FLAP_DELAY_S * 2 ** (self._penalty - FLAP_LIMIT)
        self.held_until = now + min(MAX_FLAP_DELAY_S, delay)
