"""Token buckets: bytes and messages a second that control traffic may take."""

from collections import deque
from dataclasses import dataclass

from chivetrack.components.gossip.const import (
    MAX_BUDGET_BYTES_PER_S,
    MIN_BUDGET_BYTES_PER_S,
    NON_URGENT_BURST_SHARE,
    NON_URGENT_SHARE,
    PROBE_BURST_S,
    PROBE_SHARE,
    TRANSPORT_OVERHEAD_BYTES,
    WINDOW_S,
)


class TokenBucket:
    """Fills by ``rate`` a second up to ``capacity``; starts full."""

    def __init__(self, *, rate: float, capacity: float) -> None:
        """Create a full bucket."""
        self.capacity = capacity
        self._rate = rate
        self._level = capacity
        self._filled_at: float | None = None

    def get_level(self, now: float) -> float:
        """Return what may be taken at ``now``."""
        if self._filled_at is not None and now > self._filled_at:
            gained = (now - self._filled_at) * self._rate
            self._level = min(self.capacity, self._level + gained)
        self._filled_at = now if self._filled_at is None else max(now, self._filled_at)
        return self._level

    def try_consume(self, amount: float, now: float) -> bool:
        """Take ``amount`` if it is there; otherwise take nothing."""
        if self.get_level(now) < amount:
            return False
        self._level -= amount
        return True


@dataclass(frozen=True, slots=True)
class _Charge:
    at: float
    amount: int


class ByteBudget:
    """The bytes that this instance's control messages may take, shared by their senders.

    Two limits hold. Any window of one second, wherever it starts, sees at most
    ``bytes_per_s``: payments of the last second are remembered and summed. Ordinary
    news is also paced by a token bucket of a smaller rate, so that it never uses up
    the second and urgent news and probes find room at once.
    """

    def __init__(self, *, bytes_per_s: int, overhead_bytes: int = TRANSPORT_OVERHEAD_BYTES) -> None:
        """Create a budget; raise ``ValueError`` for a rate outside of the allowance."""
        if not MIN_BUDGET_BYTES_PER_S <= bytes_per_s <= MAX_BUDGET_BYTES_PER_S:
            raise ValueError(
                f"budget of {bytes_per_s} bytes/s is not within"
                f" {MIN_BUDGET_BYTES_PER_S}..{MAX_BUDGET_BYTES_PER_S}"
            )
        self.bytes_per_s = bytes_per_s
        self.overhead_bytes = overhead_bytes
        self._non_urgent_bucket = TokenBucket(
            rate=bytes_per_s * NON_URGENT_SHARE, capacity=bytes_per_s * NON_URGENT_BURST_SHARE
        )
        self._probe_bucket = TokenBucket(
            rate=bytes_per_s * PROBE_SHARE, capacity=bytes_per_s * PROBE_SHARE * PROBE_BURST_S
        )
        self._charges: deque[_Charge] = deque()
        self._charged_bytes = 0

    @property
    def largest_message(self) -> int:
        """Return the encoded size of the largest message that pacing ever lets through."""
        return int(self._non_urgent_bucket.capacity) - self.overhead_bytes

    def get_room(self, now: float) -> int:
        """Return the encoded size of the largest message that may be sent now."""
        self._expire(now)
        return self.bytes_per_s - self._charged_bytes - self.overhead_bytes

    def get_non_urgent_room(self, now: float) -> int:
        """Return the same for ordinary news."""
        paced = int(self._non_urgent_bucket.get_level(now)) - self.overhead_bytes
        return min(paced, self.get_room(now))

    def is_non_urgent_full(self, now: float) -> bool:
        """Return whether waiting longer would give ordinary news no more room."""
        return self._non_urgent_bucket.get_level(now) >= self._non_urgent_bucket.capacity

    def charge_probe(self, encoded_bytes: int, now: float) -> bool:
        """Pay for a probe or an answer to one, within their own share."""
        amount = encoded_bytes + self.overhead_bytes
        if self._probe_bucket.get_level(now) < amount or not self.charge(encoded_bytes, now):
            return False
        return self._probe_bucket.try_consume(amount, now)

    def charge(self, encoded_bytes: int, now: float) -> bool:
        """Pay for one message; ``False`` means that it must not be sent."""
        if encoded_bytes > self.get_room(now):
            return False
        amount = encoded_bytes + self.overhead_bytes
        self._non_urgent_bucket.try_consume(
            min(amount, self._non_urgent_bucket.get_level(now)), now
        )
        self._charges.append(_Charge(now, amount))
        self._charged_bytes += amount
        return True

    def _expire(self, now: float) -> None:
        while self._charges and self._charges[0].at <= now - WINDOW_S:
            self._charged_bytes -= self._charges.popleft().amount
