"""The slots of one endpoint as their scheduler knows them."""

from dataclasses import dataclass, field

from chivetrack.components.admission.const import (
    EXTRA_SLOTS,
    LEASE_FACTOR,
    MIN_LEASE_S,
    SAMPLE_WEIGHT,
)


@dataclass(slots=True, kw_only=True)
class EndpointSlots:
    """Slots in use at an endpoint, and how long its requests take.

    ``mean_s`` is the mean service time in seconds. ``full_until``: the endpoint rejected a request
    as full, so that it gets none until then.
    """

    slots: int
    mean_s: float
    full_until: float = float("-inf")
    leases: dict[tuple[str, int], float] = field(default_factory=dict)

    @property
    def rate(self) -> float:
        """Return how many requests per second the endpoint serves while all slots are used."""
        return max(1, self.slots) / self.mean_s

    def has_room(self, *, now: float, is_slow: bool) -> bool:
        """Return whether the endpoint may get another request."""
        limit = 1 if is_slow else self.slots + EXTRA_SLOTS
        return now >= self.full_until and len(self.leases) < limit

    def expect_s(self) -> float:
        """Return the expected time (s) until another request is answered."""
        queued = max(0, len(self.leases) + 1 - self.slots)
        return self.mean_s * (1 + queued / max(1, self.slots))

    def lease(self, key: tuple[str, int], *, now: float, hold_s: float) -> None:
        """Use a slot; it is free again at the latest when the request must have ended."""
        longest_s = min(hold_s, max(MIN_LEASE_S, LEASE_FACTOR * self.mean_s))
        self.leases[key] = now + longest_s

    def drop_expired(self, now: float) -> None:
        """Free the slots that were not released in time."""
        for key in [key for key, expires_at in self.leases.items() if expires_at <= now]:
            del self.leases[key]

    def record_end(self, took_s: float) -> None:
        """Record the time that a request took."""
        self.mean_s += SAMPLE_WEIGHT * (took_s - self.mean_s)

    def record_full(self, now: float) -> None:
        """Record that the endpoint rejected a request as full.

        Requests that this scheduler knows nothing of hold its slots, as after a change of leader.
        """
        self.full_until = now + self.mean_s
