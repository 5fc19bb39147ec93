"""Counts that another router sent."""

from dataclasses import dataclass

from chivetrack.components.load.const import PEER_SILENCE_S, SCOPED_SILENCE_S
from chivetrack.components.load.models import LoadCounts


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerCounts:
    """The newest counts of one router.

    ``as_of`` is when it took the oldest of them, which decides whether it is silent;
    ``complete`` says whether it ever told all its counts.
    """

    order: tuple[int, int]
    as_of: float
    counts: dict[str, int]
    complete: bool

    @property
    def silent_at(self) -> float:
        """Return when the router is called silent."""
        return self.as_of + (PEER_SILENCE_S if self.complete else SCOPED_SILENCE_S)

    def clear(self) -> "PeerCounts":
        """Drop the counts and keep the order, so that older ones stay refused."""
        return PeerCounts(order=self.order, as_of=self.as_of, counts={}, complete=self.complete)


def apply_message(old: PeerCounts | None, message: LoadCounts, *, as_of: float) -> PeerCounts:
    """Return what is known of a router after a newer message of it."""
    order = (message.incarnation, message.sequence)
    if message.scope is None:
        return PeerCounts(order=order, as_of=as_of, counts=message.counts, complete=True)
    # Towards an owner every message holds all counts for its endpoints, so those left
    # out are zero; kept, they would count requests that are over for ever.
    if old is None or not old.complete or old.order[0] != message.incarnation:
        return PeerCounts(order=order, as_of=as_of, counts=message.counts, complete=False)
    kept = {name: count for name, count in old.counts.items() if name not in message.scope}
    # Only complete counts prove that the others are still true, so counts for a few
    # endpoints don't keep a router that tells all from being called silent.
    return PeerCounts(
        order=order,
        as_of=old.as_of,
        counts=kept | message.counts,
        complete=True,
    )
