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
    """Gives this instance's values their versions."""

    def __init__(self, *, state: GossipState, instance_id: str, incarnation: int) -> None:
        """Open the own origin."""
        self._state = state
        self._instance_id = instance_id
        self.version = 0
        self._held = state.open_origin(instance_id, incarnation)

    @property
    def origin_state(self) -> OriginState:
        """Return the state of the own origin."""
        return self._held

    def put(self, key: ValueKey, payload: bytes | None, urgency: int, now: float) -> Value:
        """Hold a new value of a key; ``None`` retracts it."""
        self.version += 1
        old = self._held.values.get(key)
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
            known={self._instance_id},
            size_bound=bound_size(key, payload),
            name_hash=hash_name(self._instance_id, self._held.incarnation, key),
        )
        self._held.put(value)
        return value

    def compact(self, now: float) -> list[Value]:
        """Drop retracted keys once there are many; return what must be sent again.

        An instance that was cut off still holds the keys as live and would bring them
        back to those who forgot. Live values get versions above a floor, and whatever
        lies at or below the floor is void everywhere.
        """
        retracted = [value for value in self._held.values.values() if value.payload is None]
        if len(retracted) <= MAX_TOMBSTONES:
            return []
        live = [value for value in self._held.values.values() if value.payload is not None]
        self._held.drop_below_floor(self.version)
        return [self._renew(value, now) for value in live]

    def supersede(self, incarnation: int, now: float) -> list[Value]:
        """Take a higher incarnation than one that others hold; return what to send again."""
        live = [value for value in self._held.values.values() if value.payload is not None]
        for value in self._held.values.values():
            value.is_current = False
        self._held.values.clear()
        self._held.floor = 0
        self._held.incarnation = incarnation + 1
        self._state.open_origin(self._instance_id, incarnation + 1)
        return [self._renew(value, now) for value in live]

    def _renew(self, value: Value, now: float) -> Value:
        renewed = self.put(value.key, value.payload, value.urgency, now)
        renewed.published_at = value.published_at
        return renewed
