"""Estimates the transit delay of frames without comparing clocks."""

from dataclasses import dataclass

from chivetrack.components.gossip.const import CLOCK_DRIFT


@dataclass(slots=True)
class _Offset:
    incarnation: int
    min_s: float
    seen_at: float


class TransitClock:
    """Measures by how much a frame took longer than the fastest frame of its sender.

    A frame that waited in a queue or in a frozen process would otherwise bring updates that look
    recent, and leases would outlive their endpoints by the time spent waiting. The difference
    between two monotonic clocks is constant except for their drift, so what exceeds the smallest
    difference seen is additional transit delay.
    """

    def __init__(self) -> None:
        """Start without known senders."""
        self._offsets: dict[str, _Offset] = {}

    def measure(self, sender: str, incarnation: int, sent_s: float, now: float) -> float:
        """Return by how many seconds this frame was slower than the fastest one."""
        offset = now - sent_s
        known = self._offsets.get(sender)
        if known is None or known.incarnation != incarnation:
            self._offsets[sender] = _Offset(incarnation, offset, now)
            return 0.0
        known.min_s += (now - known.seen_at) * CLOCK_DRIFT
        known.seen_at = now
        known.min_s = min(known.min_s, offset)
        return offset - known.min_s

    def remove_instance(self, sender: str) -> None:
        """Remove the measurements of a sender that was removed."""
        self._offsets.pop(sender, None)
