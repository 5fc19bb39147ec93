"""Evacuated zones and the orders that change them."""

import msgspec

from chivetrack.helpers.codec import Message, message


@message("evacuation.order")
class ZoneOrder(Message, frozen=True, array_like=True):
    """Order to evacuate a zone or to withdraw its evacuation.

    ``seen_revision`` is the revision of the zone at the replica that received the order, at
    the time of receipt. ``at`` is that time (Unix seconds).
    """

    zone: str
    is_evacuated: bool
    seen_revision: int
    at: float


@message("evacuation.outcome")
class OrderOutcome(Message, frozen=True, array_like=True):
    """Result of an order; ``is_in_force`` is false if a newer order superseded it."""

    revision: int
    is_in_force: bool


@message("evacuation.zone")
class ZoneState(Message, frozen=True, array_like=True):
    """Latest order for a zone; ``revision`` is its index in the log.

    It is kept after the evacuation is withdrawn, because otherwise a delayed order could
    not be distinguished from a new one.
    """

    zone: str
    is_evacuated: bool
    revision: int
    since: float

    def describe(self) -> dict[str, str | bool | int | float]:
        """Return the state of the zone in the form shown to operators."""
        return {
            "zone": self.zone,
            "evacuated": self.is_evacuated,
            "since": self.since,
            "revision": self.revision,
        }


@message("evacuation.zones")
class Evacuations(Message, frozen=True, array_like=True):
    """All zones for which there has been an order."""

    zones: tuple[ZoneState, ...] = ()

    @property
    def revision(self) -> int:
        """Return the revision of the newest order, 0 if there is none."""
        return max((state.revision for state in self.zones), default=0)

    def list_evacuated(self) -> tuple[str, ...]:
        """Return the names of the zones whose endpoints get no new requests."""
        return tuple(state.zone for state in self.zones if state.is_evacuated)

    @property
    def evacuated_since(self) -> float:
        """Return when the oldest evacuation in force was ordered (Unix s), 0 if there is none."""
        return min((state.since for state in self.zones if state.is_evacuated), default=0.0)

    def find(self, zone: str) -> ZoneState:
        """Return the state of a zone; without an order its revision is 0."""
        unknown = ZoneState(zone=zone, is_evacuated=False, revision=0, since=0.0)
        return next((state for state in self.zones if state.zone == zone), unknown)

    def apply(self, order: ZoneOrder, index: int) -> tuple["Evacuations", OrderOutcome]:
        """Return the state after an order at ``index`` of the log, and the order's result.

        A repeated order changes nothing. A resend delayed by a partition or a frozen replica
        may arrive after the evacuation was withdrawn and the withdrawal acknowledged. The
        replica that received the resend had not seen the withdrawal, so it is dropped.
        """
        current = self.find(order.zone)
        if current.is_evacuated == order.is_evacuated:
            return self, OrderOutcome(revision=current.revision, is_in_force=True)
        if current.revision > order.seen_revision:
            return self, OrderOutcome(revision=current.revision, is_in_force=False)
        changed = ZoneState(
            zone=order.zone, is_evacuated=order.is_evacuated, revision=index, since=order.at
        )
        others = tuple(state for state in self.zones if state.zone != order.zone)
        zones = msgspec.structs.replace(self, zones=(*others, changed))
        return zones, OrderOutcome(revision=index, is_in_force=True)
