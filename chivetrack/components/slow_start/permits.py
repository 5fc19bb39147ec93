"""A replica's part of the requests that a fleet may send to each cold endpoint."""

from dataclasses import dataclass

from chivetrack.components.slow_start.const import (
    FLEET_HALF_LIFE_S,
    MAX_EARLY_FRACTION,
    MAX_PERMIT_WAIT_S,
    STARTUP_DELAY_S,
)

# An endpoint that nobody has asked for since is forgotten.
_EXPIRY_S = 10.0


@dataclass(slots=True)
class _PermitSchedule:
    """When the next permit is due, and up to when turns were told to routers that wait."""

    next_at: float
    announced_until: float


class FleetShare:
    """What part of the fleet's routers is close to one replica."""

    def __init__(self) -> None:
        """Start with no routers."""
        self._fleet = 0.0
        self._at = 0.0

    def record(self, routers: int, *, now: float) -> None:
        """Take how many routers the fleet has, as far as this replica is told."""
        self._fleet = max(float(routers), self._get_decayed_count(now))
        self._at = now

    def _get_decayed_count(self, now: float) -> float:
        return self._fleet * 0.5 ** ((now - self._at) / FLEET_HALF_LIFE_S)

    def compute(self, close: int, *, now: float) -> float:
        """Return the part that the routers close to this replica are now.

        Whoever asks is close, although it may have come so lately that nobody counted it.
        """
        own = max(1, close)
        return own / max(float(own), self._get_decayed_count(now))


class PermitLedger:
    """Grants single requests to cold endpoints; free of I/O.

    It answers a zone that comes back cold in a burst, to hundreds of routers at once. Each
    sends a sliver, and in the same instant all find an idle engine: the sum is many times
    what a cold one bears, and it crashes. Each replica has the part of the rate that its
    close routers are of all routers, so that parts add up without a word between replicas.
    A permit that is not used is not kept, and in any second there are no more than the rate
    and one and a half for each replica.
    """

    def __init__(self, *, started_at: float) -> None:
        """Take the start of this process."""
        self._settled_at = started_at + STARTUP_DELAY_S
        self._schedules: dict[str, _PermitSchedule] = {}

    def request(self, endpoint_id: str, *, per_s: float, share: float, now: float) -> float:
        """Return 0 if a request may go out now, otherwise after how many seconds to ask again.

        ``per_s`` is what the endpoint bears from the whole fleet, 0 without a limit; ``share``
        is this replica's part of it.
        """
        if per_s <= 0:
            return 0.0
        if now < self._settled_at:
            return self._settled_at - now
        interval = 1.0 / (per_s * share)
        turns = self._schedules.get(endpoint_id)
        if turns is None:
            self._prune_expired(now)
            turns = self._schedules[endpoint_id] = _PermitSchedule(now, now)
        if now >= turns.next_at:
            turns.next_at = max(turns.next_at, now - MAX_EARLY_FRACTION * interval) + interval
            return 0.0
        # Those who wait are told one turn after the other, or all would ask at the same time.
        turn_at = max(turns.announced_until, turns.next_at)
        if turn_at - now > MAX_PERMIT_WAIT_S:
            return MAX_PERMIT_WAIT_S
        turns.announced_until = turn_at + interval
        return turn_at - now

    def _prune_expired(self, now: float) -> None:
        old = [name for name, turns in self._schedules.items() if now - turns.next_at > _EXPIRY_S]
        for name in old:
            del self._schedules[name]
