"""Spreads what is large over time, so that what is urgent is not held up on the link."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class Pacer:
    """Decides how long each large message waits; free of I/O.

    It answers a document of 24 kB that 17 routers ask a replica for at the same moment.
    Sent at once they fill a link of 3 Mbit/s for over a second, the leader's heartbeats
    wait behind them, and the other replicas elect a new leader each time.
    """

    bytes_per_s: float
    _free_at: float = float("-inf")

    def find_delay(self, *, now: float) -> float:
        """Return after how many seconds the next message may go out."""
        return max(0.0, self._free_at - now)

    def reserve(self, size: int, *, now: float) -> float:
        """Return after how many seconds a message of ``size`` bytes may go out."""
        start = max(now, self._free_at)
        self._free_at = start + size / self.bytes_per_s
        return start - now
