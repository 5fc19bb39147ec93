"""The values that this instance itself publishes."""

from chivetrack.components.gossip.const import MAX_TOMBSTONES
from chivetrack.components.gossip.state import (
    GossipState,
    OriginState,
    Value,
    ValueKey,
    bound_size,
    hash_key,
    hash_name,
)


class OwnValues:
    """Assigns versions to this instance's values."""

    def __init__(self, *, state: GossipState, instance_id: str, incarnation: int) -> None:
        """Create the origin of this instance."""
        self._state = state
        self._instance_id = instance_id
        self.version = 0
        self._origin_state = state.open_origin(instance_id, incarnation)

    @property
    def origin_state(self) -> OriginState:
        """Return the state of the own origin."""
        return self._origin_state

    def put(self, key: ValueKey, payload: bytes | None, urgency: int, now: float) -> Value:
        """Store a new value of a key; ``None`` retracts it."""
        self.version += 1
        old = self._origin_state.values.get(key)
        waiting_since = old.waiting_since if old is not None and not old.send_count else now
        value = Value(
            origin=self._instance_id,
            key=key,
            version=self.version,
            urgency=urgency,
            payload=payload,
            published_at=now,
            waiting_since=waiting_since,
            key_hash=hash_key(key),
            known_by={self._instance_id},
            size_bound=bound_size(key, payload),
            name_hash=hash_name(self._instance_id, self._origin_state.incarnation, key),
        )
        self._origin_state.put(value)
        return value

    def compact(self, now: float) -> list[Value]:
        """Drop retracted keys once there are too many; return the values to send again.

        A peer that was cut off still holds the keys as live and would send them to peers that have
        dropped them. So live values get versions above a floor, and all versions up to the floor
        are void everywhere.
        """
        retracted = [value for value in self._origin_state.values.values() if value.payload is None]
        if len(retracted) <= MAX_TOMBSTONES:
            return []
        live = [value for value in self._origin_state.values.values() if value.payload is not None]
        self._origin_state.drop_below_floor(self.version)
        return [self._renew(value, now) for value in live]

    def supersede(self, incarnation: int, now: float) -> list[Value]:
        """Switch to a higher incarnation than the given one; return the values to send again."""
        live = [value for value in self._origin_state.values.values() if value.payload is not None]
        for value in self._origin_state.values.values():
            value.is_current = False
        self._origin_state.values.clear()
        self._origin_state.floor = 0
        self._origin_state.incarnation = incarnation + 1
        self._state.open_origin(self._instance_id, incarnation + 1)
        return [self._renew(value, now) for value in live]

    def _renew(self, value: Value, now: float) -> Value:
        renewed = self.put(value.key, value.payload, value.urgency, now)
        renewed.published_at = value.published_at
        return renewed
