"""Counts that another router sent."""

from dataclasses import dataclass

from chivetrack.components.load.models import LoadCounts


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerCounts:
    """The newest counts of one router; ``as_of`` is when it took them."""

    order: tuple[int, int]
    as_of: float
    counts: dict[str, int]

    @classmethod
    def from_message(cls, message: LoadCounts, *, as_of: float) -> "PeerCounts":
        """Keep what a message said."""
        return cls(
            order=(message.incarnation, message.sequence), as_of=as_of, counts=message.counts
        )

    def clear(self) -> "PeerCounts":
        """Drop the counts and keep the order, so that older ones stay refused."""
        return PeerCounts(order=self.order, as_of=self.as_of, counts={})
