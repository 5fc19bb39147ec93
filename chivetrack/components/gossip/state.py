"""The values that an instance holds, by origin."""

import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

import xxhash

from chivetrack.components.gossip.const import ENTRY_HEADER_BYTES
from chivetrack.components.gossip.models import Delta, Entry, ShortEntry, Urgency

_HASH_BITS = 32
KEY_HASH_END = 1 << _HASH_BITS


class ValueKey(NamedTuple):
    """Identifies a value within its origin."""

    topic: str
    key: str


@dataclass(slots=True, eq=False)
class Value:
    """The latest value of a key.

    ``published_at`` is the local time at which the origin published it, ``waiting_since`` the local
    time since which a value of this key has waited to be sent. ``known_by`` are the peers that have
    it or to which it was sent, ``send_count`` counts the latter.
    """

    origin: str
    key: ValueKey
    version: int
    urgency: int
    payload: bytes | None
    published_at: float
    waiting_since: float
    key_hash: int
    known_by: set[str]
    size_bound: int
    send_count: int = 0
    is_current: bool = True
    name_hash: int = 0

    @property
    def is_in_digests(self) -> bool:
        """Return whether digests cover this value."""
        return self.urgency != Urgency.LOAD

    @property
    def checksum(self) -> int:
        """Return this value's share of the origin's checksum.

        The shares are combined by exclusive or. A cyclic redundancy check is linear under exclusive
        or, so different versions of two keys would often cancel out, and a value that a peer lacks
        would never be found. A non-linear hash avoids this.
        """
        return xxhash.xxh32_intdigest(self.version.to_bytes(8, "big"), self.key_hash)

    def get_short_entry(self, now: float) -> ShortEntry:
        """Return the short form for a frame that is sent at ``now``."""
        age_ms = max(0, round((now - self.published_at) * 1000))
        return ShortEntry(self.name_hash, self.version, age_ms, self.payload)

    def get_entry(self, now: float) -> Entry:
        """Return the full form for a frame that is sent at ``now``."""
        age_ms = max(0, round((now - self.published_at) * 1000))
        topic, key = self.key
        return Entry(topic, key, self.version, self.urgency, age_ms, self.payload)


def bound_size(key: ValueKey, payload: bytes | None) -> int:
    """Return an upper bound of the encoded size of an entry."""
    names = len(key.topic.encode()) + len(key.key.encode())
    return ENTRY_HEADER_BYTES + names + (0 if payload is None else len(payload))


def hash_key(key: ValueKey) -> int:
    """Return the 32-bit hash that identifies a key in summaries."""
    return zlib.crc32(f"{key.topic}\0{key.key}".encode())


def hash_name(origin: str, incarnation: int, key: ValueKey) -> int:
    """Return the 32-bit hash that identifies a load count in short entries."""
    return zlib.crc32(f"{origin}\0{incarnation}\0{key.topic}\0{key.key}".encode())


@dataclass(slots=True)
class OriginState:
    """All values of one origin; ``last_seen_at`` is when it was last certainly alive."""

    origin: str
    incarnation: int
    floor: int = 0
    last_seen_at: float = float("-inf")
    values: dict[ValueKey, Value] = field(default_factory=dict)

    def list_in_digests(self, topics: frozenset[str] | None) -> Iterator[Value]:
        """Yield the values that digests cover, of ``topics`` or of all."""
        for value in self.values.values():
            if value.is_in_digests and (topics is None or value.key.topic in topics):
                yield value

    def get_checksum(self, topics: frozenset[str] | None) -> int:
        """Return a checksum over the keys and versions that digests cover."""
        checksum = 0
        for value in self.list_in_digests(topics):
            checksum ^= value.checksum
        return checksum

    def put(self, value: Value) -> None:
        """Store a newer value in place of the previous one."""
        old = self.values.get(value.key)
        if old is not None:
            old.is_current = False
        self.values[value.key] = value

    def drop_below_floor(self, floor: int) -> list[Value]:
        """Raise the floor, and remove and return the values that it voids."""
        self.floor = max(self.floor, floor)
        void = [value for value in self.values.values() if value.version <= self.floor]
        for value in void:
            value.is_current = False
            del self.values[value.key]
        return void


@dataclass(frozen=True, slots=True, kw_only=True)
class MergeResult:
    """Values that a delta stored, repeated and dropped."""

    put: tuple[Value, ...] = ()
    repeated: tuple[Value, ...] = ()
    dropped: tuple[Value, ...] = ()


class GossipState:
    """State of all origins; rejects values older than the ones held."""

    def __init__(self) -> None:
        """Start without origins."""
        self.origins: dict[str, OriginState] = {}
        self._min_incarnations: dict[str, int] = {}
        self._removed: set[str] = set()
        self._short_names: dict[int, Value] = {}

    def open_origin(self, origin: str, incarnation: int) -> OriginState:
        """Return the state of an origin, created if needed."""
        state = self.origins.get(origin)
        if state is None:
            state = OriginState(origin=origin, incarnation=incarnation)
            self.origins[origin] = state
        self._min_incarnations[origin] = state.incarnation
        self._removed.discard(origin)
        return state

    def remove_instance(self, origin: str) -> None:
        """Remove all values of an origin; its incarnation is remembered."""
        state = self.origins.pop(origin, None)
        if state is None:
            return
        self._drop_names(state)
        self._removed.add(origin)

    def expand(self, short: ShortEntry) -> Delta | None:
        """Return a short entry in full form, or ``None`` if its name is unknown."""
        named = self._short_names.get(short.name_hash)
        held = None if named is None else self.origins.get(named.origin)
        if named is None or held is None:
            return None
        if hash_name(held.origin, held.incarnation, named.key) != short.name_hash:
            return None
        topic, key = named.key
        entry = Entry(topic, key, short.version, named.urgency, short.age_ms, short.payload)
        return Delta(held.origin, held.incarnation, held.floor, (entry,))

    def is_removed(self, origin: str) -> bool:
        """Return whether the origin was removed and has not been seen alive since."""
        return origin in self._removed

    def merge(self, delta: Delta, *, source: str, extra_age_s: float, now: float) -> MergeResult:
        """Store the newer values of a delta."""
        # Peers that still hold values from before a restart would overwrite the new ones, so
        # an older incarnation is rejected from any source.
        if delta.incarnation < self._min_incarnations.get(delta.origin, 0):
            return MergeResult()
        state = self.open_origin(delta.origin, delta.incarnation)
        dropped: list[Value] = []
        if delta.incarnation > state.incarnation:
            dropped.extend(self._replace(state, delta.incarnation))
        dropped.extend(state.drop_below_floor(delta.floor) if delta.floor > state.floor else ())
        put: list[Value] = []
        repeated: list[Value] = []
        for entry in delta.entries:
            published_at = now - entry.age_ms / 1000 - extra_age_s
            state.last_seen_at = max(state.last_seen_at, published_at)
            value = self._store_newer(state, entry, published_at, now)
            if value is not None:
                put.append(value)
                continue
            held = state.values.get(ValueKey(entry.topic, entry.key))
            if held is not None and held.version == entry.version:
                repeated.append(held)
        for value in (*put, *repeated):
            value.known_by.add(source)
        return MergeResult(put=tuple(put), repeated=tuple(repeated), dropped=tuple(dropped))

    def _drop_names(self, state: OriginState) -> None:
        for value in state.values.values():
            value.is_current = False
            self._short_names.pop(value.name_hash, None)

    def _replace(self, state: OriginState, incarnation: int) -> list[Value]:
        dropped = list(state.values.values())
        self._drop_names(state)
        state.values.clear()
        state.incarnation = incarnation
        state.floor = 0
        self._min_incarnations[state.origin] = incarnation
        return dropped

    def _store_newer(
        self, state: OriginState, entry: Entry, published_at: float, now: float
    ) -> Value | None:
        key = ValueKey(entry.topic, entry.key)
        held = state.values.get(key)
        if entry.version <= state.floor or (held is not None and held.version >= entry.version):
            return None
        value = Value(
            origin=state.origin,
            key=key,
            version=entry.version,
            urgency=entry.urgency,
            payload=entry.payload,
            published_at=published_at,
            waiting_since=now if held is None or held.send_count else held.waiting_since,
            key_hash=hash_key(key) if held is None else held.key_hash,
            known_by={state.origin},
            size_bound=bound_size(key, entry.payload),
        )
        state.put(value)
        self._record_short_name(state, value, held)
        return value

    def _record_short_name(self, state: OriginState, value: Value, held: Value | None) -> None:
        if value.urgency != Urgency.LOAD:
            return
        known = held is not None and held.name_hash != 0
        value.name_hash = (
            held.name_hash
            if known and held is not None
            else hash_name(state.origin, state.incarnation, value.key)
        )
        self._short_names[value.name_hash] = value
