"""Rate limiter that spaces large messages, so that urgent ones are not delayed on the link."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class Pacer:
    """Decides how long each large message waits; free of I/O.

    When 17 routers request a document of 24 kB from a replica at the same moment, sending all at
    once fills a link of 3 Mbit/s for over a second. The leader's heartbeats wait behind the
    documents, and the other replicas elect a new leader each time.
    """

    bytes_per_s: float
    _free_at: float = float("-inf")

    def find_delay(self, *, now: float) -> float:
        """Return after how many seconds the next message may be sent."""
        return max(0.0, self._free_at - now)

    def reserve(self, size: int, *, now: float) -> float:
        """Reserve ``size`` bytes and return after how many seconds they may be sent."""
        start = max(now, self._free_at)
        self._free_at = start + size / self.bytes_per_s
        return start - now
