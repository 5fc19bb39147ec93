"""Evacuated zones, and the orders that change them."""

import msgspec

from chivetrack.helpers.codec import Message, message


@message("evacuation.order")
class ZoneOrder(Message, frozen=True, array_like=True):
    """Evacuate a zone, or take it back.

    ``seen_revision`` is that of the zone at the replica which was asked, when it was asked.
    ``at`` is the time of day there (Unix seconds).
    """

    zone: str
    is_evacuated: bool
    seen_revision: int
    at: float


@message("evacuation.outcome")
class OrderOutcome(Message, frozen=True, array_like=True):
    """What became of an order; ``is_in_force`` is false for one that a newer one overtook."""

    revision: int
    is_in_force: bool


@message("evacuation.zone")
class ZoneState(Message, frozen=True, array_like=True):
    """The last order for a zone; ``revision`` is its index in the log.

    It stays after the zone is taken back: without it a late order could not be told
    from a new one.
    """

    zone: str
    is_evacuated: bool
    revision: int
    since: float

    def describe(self) -> dict[str, str | bool | int | float]:
        """Return what is shown of a zone to operators."""
        return {
            "zone": self.zone,
            "evacuated": self.is_evacuated,
            "since": self.since,
            "revision": self.revision,
        }


@message("evacuation.zones")
class Evacuations(Message, frozen=True, array_like=True):
    """All zones that were ever ordered to be evacuated."""

    zones: tuple[ZoneState, ...] = ()

    @property
    def revision(self) -> int:
        """Return the revision of the newest order, 0 without any."""
        return max((one.revision for one in self.zones), default=0)

    def list_evacuated(self) -> tuple[str, ...]:
        """Return the names of the zones whose endpoints get nothing new."""
        return tuple(one.zone for one in self.zones if one.is_evacuated)

    @property
    def evacuated_since(self) -> float:
        """Return when the oldest evacuation in force was ordered (Unix s), 0 without any."""
        return min((one.since for one in self.zones if one.is_evacuated), default=0.0)

    def find(self, zone: str) -> ZoneState:
        """Return the state of a zone, also of one that no order was for."""
        unknown = ZoneState(zone=zone, is_evacuated=False, revision=0, since=0.0)
        return next((one for one in self.zones if one.zone == zone), unknown)

    def apply(self, order: ZoneOrder, index: int) -> tuple["Evacuations", OrderOutcome]:
        """Return the state after an order at ``index`` of the log, and what became of it.

        A repeated order changes nothing. Held up behind a cut or in a frozen replica, a
        resend of the first order can come after the zone was taken back and has been
        acknowledged as such; its replica had not seen that, so it is dropped.
        """
        known = self.find(order.zone)
        if known.is_evacuated == order.is_evacuated:
            return self, OrderOutcome(revision=known.revision, is_in_force=True)
        if known.revision > order.seen_revision:
            return self, OrderOutcome(revision=known.revision, is_in_force=False)
        changed = ZoneState(
            zone=order.zone, is_evacuated=order.is_evacuated, revision=index, since=order.at
        )
        others = tuple(one for one in self.zones if one.zone != order.zone)
        zones = msgspec.structs.replace(self, zones=(*others, changed))
        return zones, OrderOutcome(revision=index, is_in_force=True)
