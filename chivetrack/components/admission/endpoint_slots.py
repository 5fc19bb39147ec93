"""The slots of one endpoint as their scheduler knows them."""

import math
from dataclasses import dataclass, field

from chivetrack.components.admission.const import (
    LEASE_FACTOR,
    MIN_LEASE_S,
    QUEUED_SHARE,
    SAMPLE_WEIGHT,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class _Lease:
    """A slot in use; ``turns`` is its expected time in service times, with the wait before it."""

    expires_at: float
    longest_s: float
    turns: float


@dataclass(slots=True, kw_only=True)
class EndpointSlots:
    """Slots in use at an endpoint, and how long its requests take.

    ``mean_s`` is the mean service time in seconds. ``full_until``: the endpoint rejected a request
    as full, so that it gets none until then. ``named_at`` is when a router last named it (s).
    """

    slots: int
    mean_s: float
    named_at: float
    full_until: float = float("-inf")
    leases: dict[tuple[str, int], _Lease] = field(default_factory=dict)

    @property
    def rate(self) -> float:
        """Return how many requests per second the endpoint serves while all slots are used."""
        return max(1, self.slots) / self.mean_s

    def has_room(self, *, now: float, is_slow: bool) -> bool:
        """Return whether the endpoint may get another request."""
        limit = 1 if is_slow else math.ceil(self.slots * (1 + QUEUED_SHARE))
        return now >= self.full_until and len(self.leases) < limit

    def expect_s(self) -> float:
        """Return the expected time (s) until another request is answered."""
        return self.mean_s * self._count_turns()

    def _count_turns(self) -> float:
        queued = max(0, len(self.leases) + 1 - self.slots)
        return 1 + queued / max(1, self.slots)

    def lease(self, key: tuple[str, int], *, now: float, hold_s: float) -> None:
        """Use a slot; it is free again at the latest when the request must have ended."""
        longest_s = min(hold_s, max(MIN_LEASE_S, LEASE_FACTOR * self.mean_s))
        self.leases[key] = _Lease(
            expires_at=now + longest_s, longest_s=longest_s, turns=self._count_turns()
        )

    def release(self, key: tuple[str, int], *, took_s: float) -> bool:
        """Free a slot; return whether it was in use.

        ``took_s`` is the time of a whole answer, 0 without one. The wait for the slot at the
        endpoint is no part of the service time: with it, a full endpoint would seem slow.
        """
        lease = self.leases.pop(key, None)
        if lease is not None and took_s > 0:
            self._record_time(took_s / lease.turns)
        return lease is not None

    def _record_time(self, service_s: float) -> None:
        self.mean_s += SAMPLE_WEIGHT * (service_s - self.mean_s)

    def drop_expired(self, now: float) -> None:
        """Free the slots that were not released in time.

        The endpoint is as slow as that, unless their routers were killed. Otherwise one that
        hangs would seem free, and get a request for each slot again and again.
        """
        for key in [key for key, lease in self.leases.items() if lease.expires_at <= now]:
            lease = self.leases.pop(key)
            self._record_time(lease.longest_s / lease.turns)

    def record_full(self, now: float) -> None:
        """Record that the endpoint rejected a request as full.

        Requests that this scheduler knows nothing of hold its slots, as after a change of leader.
        """
        self.full_until = now + self.mean_s
