"""Byte budget and token buckets that limit control traffic."""

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
    """Token bucket that refills at ``rate`` a second up to ``capacity``; starts full."""

    def __init__(self, *, rate: float, capacity: float) -> None:
        """Create a full bucket."""
        self.capacity = capacity
        self._rate = rate
        self._level = capacity
        self._filled_at: float | None = None

    def get_level(self, now: float) -> float:
        """Return how many tokens are available at ``now``."""
        if self._filled_at is not None and now > self._filled_at:
            gained = (now - self._filled_at) * self._rate
            self._level = min(self.capacity, self._level + gained)
        self._filled_at = now if self._filled_at is None else max(now, self._filled_at)
        return self._level

    def try_consume(self, amount: float, now: float) -> bool:
        """Consume ``amount`` tokens and return ``True``, or nothing if fewer are available."""
        if self.get_level(now) < amount:
            return False
        self._level -= amount
        return True


@dataclass(frozen=True, slots=True)
class _Charge:
    at: float
    amount: int


class ByteBudget:
    """Byte budget for this instance's control messages, shared by their senders.

    Two limits apply. Any window of one second, wherever it starts, contains at most
    ``bytes_per_s``: the charges of the last second are remembered and summed. Updates that are not
    urgent are also limited by a token bucket of a lower rate, so that they never use up the second,
    and urgent updates and probes can be sent at once.
    """

    def __init__(self, *, bytes_per_s: int, overhead_bytes: int = TRANSPORT_OVERHEAD_BYTES) -> None:
        """Create a budget; raise ``ValueError`` for a rate outside of the allowed range."""
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
        """Return the encoded size of the largest message that the token bucket can ever admit."""
        return int(self._non_urgent_bucket.capacity) - self.overhead_bytes

    def get_room(self, now: float) -> int:
        """Return the encoded size of the largest message that may be sent now."""
        self._expire(now)
        return self.bytes_per_s - self._charged_bytes - self.overhead_bytes

    def get_non_urgent_room(self, now: float) -> int:
        """Return the same for updates that are not urgent."""
        bucket_room = int(self._non_urgent_bucket.get_level(now)) - self.overhead_bytes
        return min(bucket_room, self.get_room(now))

    def is_non_urgent_full(self, now: float) -> bool:
        """Return whether waiting longer gives updates that are not urgent no more room."""
        return self._non_urgent_bucket.get_level(now) >= self._non_urgent_bucket.capacity

    def charge_probe(self, encoded_bytes: int, now: float) -> bool:
        """Charge a probe or its answer, within the probe share; ``False`` means: don't send."""
        amount = encoded_bytes + self.overhead_bytes
        if self._probe_bucket.get_level(now) < amount or not self.charge(encoded_bytes, now):
            return False
        return self._probe_bucket.try_consume(amount, now)

    def charge(self, encoded_bytes: int, now: float) -> bool:
        """Charge one message; ``False`` means that it must not be sent."""
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
