"""Exponentially decaying mean."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class DecayingMean:
    """A weighted mean whose samples lose half of their weight in each half-life.

    ``prior`` is the weight of an additional sample of value 0, which does not decay. ``at`` is
    the time of the last decay. Times are in seconds.
    """

    half_life_s: float
    prior: float
    at: float
    total: float = 0.0
    weight: float = 0.0

    def add(self, total: float, *, weight: float, now: float) -> None:
        """Add samples: their weighted sum and their weight."""
        self._decay(now)
        self.total += total
        self.weight += weight

    def find(self, now: float) -> float:
        """Return the mean at time ``now``."""
        self._decay(now)
        return self.total / (self.weight + self.prior)

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self.at) / self.half_life_s)
        self.total *= factor
        self.weight *= factor
        self.at = now
