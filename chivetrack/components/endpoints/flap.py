"""Counts how often an endpoint comes and goes, and how long to hold it back."""

from chivetrack.components.endpoints.const import (
    FLAP_DELAY_S,
    FLAP_HALF_LIFE_S,
    FLAP_LIMIT,
    MAX_FLAP_DELAY_S,
)


class FlapCounter:
    """A penalty that grows with every flap and halves over time."""

    def __init__(self) -> None:
        """Start without penalty."""
        self.held_until = float("-inf")
        self._penalty = 0.0
        self._counted_at = 0.0

    def get_penalty(self, now: float) -> float:
        """Return what is left of the penalty."""
        return self._penalty * 0.5 ** ((now - self._counted_at) / FLAP_HALF_LIFE_S)

    def record(self, now: float) -> None:
        """Count one return after a loss without notice."""
        self._penalty = self.get_penalty(now) + 1
        self._counted_at = now
        if self._penalty < FLAP_LIMIT:
            return
        delay = FLAP_DELAY_S * 2 ** (self._penalty - FLAP_LIMIT)
        self.held_until = now + min(MAX_FLAP_DELAY_S, delay)
