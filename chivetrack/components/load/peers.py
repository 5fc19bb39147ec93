"""Counts received from another router."""

from dataclasses import dataclass

from chivetrack.components.load.const import PEER_SILENCE_S, SCOPED_SILENCE_S
from chivetrack.components.load.models import LoadCounts


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerCounts:
    """The newest counts of one router.

    ``order`` is the incarnation and sequence of its last message. ``as_of`` is the time of
    its oldest count, which decides whether the router is silent (has sent no recent counts).
    ``complete``: it has sent the counts of all its endpoints in this incarnation.
    """

    order: tuple[int, int]
    as_of: float
    counts: dict[str, int]
    complete: bool

    @property
    def silent_at(self) -> float:
        """Return the time from which the router counts as silent."""
        return self.as_of + (PEER_SILENCE_S if self.complete else SCOPED_SILENCE_S)

    def clear(self) -> "PeerCounts":
        """Return a copy without counts; it keeps the order, so that older counts are rejected."""
        return PeerCounts(order=self.order, as_of=self.as_of, counts={}, complete=self.complete)


def apply_message(old: PeerCounts | None, message: LoadCounts, *, as_of: float) -> PeerCounts:
    """Return the counts of a router after a newer message from it."""
    order = (message.incarnation, message.sequence)
    if message.scope is None:
        return PeerCounts(order=order, as_of=as_of, counts=message.counts, complete=True)
    # A message to an owner holds all counts for the owner's endpoints, so absent counts are
    # zero. If the old counts were kept, they would include finished requests for ever.
    if old is None or not old.complete or old.order[0] != message.incarnation:
        return PeerCounts(order=order, as_of=as_of, counts=message.counts, complete=False)
    remaining = {name: count for name, count in old.counts.items() if name not in message.scope}
    # Only a complete message confirms the counts of the other endpoints. For a router that
    # sends complete counts, a message for some endpoints does not update ``as_of``.
    return PeerCounts(
        order=order,
        as_of=old.as_of,
        counts=remaining | message.counts,
        complete=True,
    )
