"""Grants a replica's share of the permits to send requests to cold endpoints."""

from dataclasses import dataclass

from chivetrack.components.slow_start.const import (
    FLEET_HALF_LIFE_S,
    MAX_EARLY_FRACTION,
    MAX_PERMIT_WAIT_S,
    STARTUP_DELAY_S,
)

# Time without a permit request after which an endpoint's schedule is pruned.
_EXPIRY_S = 10.0


@dataclass(slots=True)
class _PermitSchedule:
    """When the next permit is due, and until when times were assigned to waiting routers."""

    next_at: float
    announced_until: float


class FleetShare:
    """Computes the fraction of the fleet's routers that is assigned to one replica."""

    def __init__(self) -> None:
        """Initialize without routers."""
        self._router_count = 0.0
        self._recorded_at = 0.0

    def record(self, routers: int, *, now: float) -> None:
        """Record the number of routers in the fleet that this replica knows of.

        A lower number takes effect only as the old one decays.
        """
        self._router_count = max(float(routers), self._get_decayed_count(now))
        self._recorded_at = now

    def _get_decayed_count(self, now: float) -> float:
        return self._router_count * 0.5 ** ((now - self._recorded_at) / FLEET_HALF_LIFE_S)

    def compute(self, assigned: int, *, now: float) -> float:
        """Return the fraction of all routers that the ``assigned`` routers make up.

        At least one router is assumed: the router that requests a permit is assigned to this
        replica, even if it was assigned too recently to be counted.
        """
        own = max(1, assigned)
        return own / max(float(own), self._get_decayed_count(now))


class PermitLedger:
    """Grants permits for single requests to cold endpoints, without I/O.

    This protects an availability zone that comes back cold during a burst. Hundreds of routers
    find its engines idle at the same time. Each sends only a few requests, but their sum is
    many times the rate that a cold engine can handle, and the engine crashes.

    Each replica grants a share of the rate that equals the share of the routers assigned to
    it, so that the shares add up to the rate without messages between replicas. An unused
    permit expires. In any second all replicas together grant at most the rate plus one and a
    half permits per replica.
    """

    def __init__(self, *, started_at: float) -> None:
        """Initialize without schedules; ``started_at`` is the start time of this process."""
        self._grants_from = started_at + STARTUP_DELAY_S
        self._schedules: dict[str, _PermitSchedule] = {}

    def request(self, endpoint_id: str, *, per_s: float, share: float, now: float) -> float:
        """Return 0 if a request may be sent now, else the seconds until the next permit request.

        ``per_s`` is the limit in requests per second from the whole fleet, 0 without a limit;
        ``share`` is this replica's fraction of it.
        """
        if per_s <= 0:
            return 0.0
        if now < self._grants_from:
            return self._grants_from - now
        interval = 1.0 / (per_s * share)
        schedule = self._schedules.get(endpoint_id)
        if schedule is None:
            self._prune_expired(now)
            schedule = self._schedules[endpoint_id] = _PermitSchedule(now, now)
        if now >= schedule.next_at:
            schedule.next_at = max(schedule.next_at, now - MAX_EARLY_FRACTION * interval) + interval
            return 0.0
        # Waiting routers get successive times, so that they do not all request together.
        retry_at = max(schedule.announced_until, schedule.next_at)
        if retry_at - now > MAX_PERMIT_WAIT_S:
            return MAX_PERMIT_WAIT_S
        schedule.announced_until = retry_at + interval
        return retry_at - now

    def _prune_expired(self, now: float) -> None:
        expired = [key for key, each in self._schedules.items() if now - each.next_at > _EXPIRY_S]
        for key in expired:
            del self._schedules[key]
