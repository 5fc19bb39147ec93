"""Selects the values of a frame: most urgent first, without starving any."""

import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from chivetrack.components.gossip.const import (
    DELTA_HEADER_BYTES,
    LARGE_VALUE_BYTES,
    MIN_AGE_GAIN_S,
    ORDINARY_SENDS,
    PROMOTION_S,
    SHORT_ENTRY_BYTES,
    URGENT_SHARE,
)
from chivetrack.components.gossip.models import Delta, Entry, Urgency
from chivetrack.components.gossip.state import GossipState, Value, ValueKey


class LoadName(NamedTuple):
    """Identifies a load count among those of all origins."""

    origin: str
    key: ValueKey


@dataclass(slots=True)
class KnownLoad:
    """When the load count that a peer has was published, and its name hash."""

    published_at: float
    name_hash: int


class Rank(NamedTuple):
    """Sort key in the order of sending; the smallest is sent first."""

    urgency: int
    order: float


class Ranked(NamedTuple):
    """A value and its rank."""

    rank: Rank
    value: Value


def get_send_limit(urgency: int, peers: int) -> int:
    """Return how many copies of a value each holder forwards unless a peer lacks it."""
    if urgency > Urgency.LOAD:
        return ORDINARY_SENDS
    rounds = math.ceil(math.log2(peers + 2))
    return rounds + 2 if urgency <= Urgency.OVERLOAD else rounds


@dataclass(slots=True)
class PendingValues:
    """Values to send to a peer, by kind, each in the order of sending."""

    urgent: list[Value] = field(default_factory=list)
    loads: list[Value] = field(default_factory=list)
    ordinary: list[Value] = field(default_factory=list)

    def add(self, rank: Rank, value: Value) -> None:
        """Add a value."""
        if value.urgency == Urgency.LOAD:
            self.loads.append(value)
        elif rank.urgency < Urgency.LOAD:
            self.urgent.append(value)
        else:
            self.ordinary.append(value)


class Outbox:
    """The values that have yet to be sent.

    Pending values are sent a limited number of times to any peer that is not known to have them.
    Missing values are sent to one peer that was found to lack them. Load counts are sent without
    limit: a peer first gets those that reduce the age of its own counts most per byte.
    """

    def __init__(self) -> None:
        """Start without values to send."""
        self._pending: dict[Value, None] = {}
        self._loads: dict[LoadName, Value] = {}
        self._missing_at: dict[str, dict[Value, None]] = {}
        self._known_loads: dict[str, dict[LoadName, KnownLoad]] = {}
        self._full_sends: dict[int, int] = {}
        self._full_limit = 1
        self._unknown_names: dict[str, set[int]] = {}

    def add(self, value: Value) -> None:
        """Queue a new value."""
        if value.urgency == Urgency.LOAD:
            self._loads[LoadName(value.origin, value.key)] = value
        else:
            self._pending[value] = None

    def add_missing(self, peer: str, value: Value) -> None:
        """Queue a value for a peer that lacks it."""
        value.known_by.discard(peer)
        self._missing_at.setdefault(peer, {})[value] = None

    def has_missing(self, peer: str) -> bool:
        """Return whether a peer was found to lack a value."""
        return any(value.is_current for value in self._missing_at.get(peer, ()))

    def drop_peer(self, peer: str) -> None:
        """Remove all state of a peer that was removed or has restarted."""
        self._missing_at.pop(peer, None)
        self._known_loads.pop(peer, None)
        self._unknown_names.pop(peer, None)

    def drop_origin(self, origin: str) -> None:
        """Stop sending the load counts of an origin that was removed."""
        for name in [name for name in self._loads if name.origin == origin]:
            self._full_sends.pop(self._loads[name].name_hash, None)
            del self._loads[name]
        for loads in self._known_loads.values():
            for name in [name for name in loads if name.origin == origin]:
                del loads[name]

    def record_known(self, peer: str, value: Value) -> None:
        """Record that a peer has a load count as recent as this."""
        if value.urgency != Urgency.LOAD:
            return
        loads = self._known_loads.setdefault(peer, {})
        name = LoadName(value.origin, value.key)
        known = loads.get(name)
        if known is None or known.name_hash != value.name_hash:
            loads[name] = KnownLoad(value.published_at, value.name_hash)
            return
        known.published_at = max(known.published_at, value.published_at)

    def list_pending(self, peer: str, topics: frozenset[str] | None, now: float) -> PendingValues:
        """Return the values to send to a peer, the most urgent first."""
        missing = self._missing_at.get(peer, {})
        for value in [value for value in missing if not value.is_current]:
            del missing[value]
        for value in [value for value in self._pending if not value.is_current]:
            del self._pending[value]
        candidates = {
            **missing,
            **dict.fromkeys(v for v in self._pending if peer not in v.known_by),
        }
        ranked = [Ranked(rank_value(value, now), value) for value in candidates]
        ranked.extend(self._rank_loads(peer))
        ranked.sort(key=lambda entry: entry.rank)
        pending = PendingValues()
        for rank, value in ranked:
            if topics is None or value.key.topic in topics:
                pending.add(rank, value)
        return pending

    def list_topics(self) -> frozenset[str]:
        """Return the topics of the pending values."""
        return frozenset(value.key.topic for value in self._pending)

    def drop_known(self, peers: frozenset[str], *, topics: frozenset[str] | None) -> None:
        """Stop forwarding values of ``topics``, or of all, that all ``peers`` are known to have."""
        known = [value for value in self._pending if peers <= value.known_by]
        for value in known:
            if topics is None or value.key.topic in topics:
                del self._pending[value]

    def count_ordinary(self) -> int:
        """Return how many values of ordinary urgency are still being forwarded."""
        return sum(1 for v in self._pending if v.is_current and v.urgency > Urgency.LOAD)

    def count_urgent(self) -> int:
        """Return how many values of the highest urgency were not sent to any peer yet."""
        return sum(
            1
            for value in self._pending
            if value.urgency == Urgency.LEAVING and value.send_count == 0
        )

    def accepts_short(self, peer: str, value: Value) -> bool:
        """Return whether a peer is expected to know the short name of a value.

        The full form is sent as often as other values, which reaches nearly every peer; a peer that
        missed it reports the name as unknown. If each holder sent the full name to each peer, it
        would take minutes.
        """
        if value.urgency != Urgency.LOAD:
            return False
        if value.name_hash in self._unknown_names.get(peer, ()):
            return False
        known = self._known_loads.get(peer, {}).get(LoadName(value.origin, value.key))
        if known is not None and known.name_hash == value.name_hash:
            return True
        return self._full_sends.get(value.name_hash, 0) >= self._full_limit

    def record_unknown_name(self, peer: str, name_hash: int) -> None:
        """Record that a peer does not know a short name."""
        self._unknown_names.setdefault(peer, set()).add(name_hash)
        for known in self._known_loads.get(peer, {}).values():
            if known.name_hash == name_hash:
                known.published_at = -math.inf

    def mark_sent(self, peer: str, values: Iterable[Value], *, peers: int, now: float) -> None:
        """Record that values were sent to a peer."""
        missing = self._missing_at.get(peer, {})
        unknown = self._unknown_names.get(peer, set())
        self._full_limit = get_send_limit(Urgency.LOAD, peers)
        for value in values:
            if value.urgency == Urgency.LOAD and not self.accepts_short(peer, value):
                unknown.discard(value.name_hash)
                send_count = self._full_sends.get(value.name_hash, 0)
                self._full_sends[value.name_hash] = send_count + 1
            missing.pop(value, None)
            value.known_by.add(peer)
            value.send_count += 1
            value.waiting_since = now
            self.record_known(peer, value)
            if value.send_count >= get_send_limit(value.urgency, peers):
                self._pending.pop(value, None)

    def _rank_loads(self, peer: str) -> Iterator[Ranked]:
        loads = self._known_loads.get(peer, {})
        for name, value in self._loads.items():
            if peer == name.origin:
                continue
            known = loads.get(name)
            gain = math.inf if known is None else value.published_at - known.published_at
            if gain >= MIN_AGE_GAIN_S:
                yield Ranked(Rank(Urgency.LOAD, -gain / value.size_bound), value)


def rank_value(value: Value, now: float) -> Rank:
    """Return the rank of a value in the order of sending.

    A value rises by one level of urgency for each ``PROMOTION_S`` of waiting, without limit.
    Otherwise a steady stream of urgent values would starve all others.
    """
    promotion = math.floor(max(0.0, now - value.waiting_since) / PROMOTION_S)
    return Rank(value.urgency - promotion, value.waiting_since)


class Selection:
    """The values of one frame, in full and in short form."""

    def __init__(self, *, room: int, largest: int, accepts_short: Callable[[Value], bool]) -> None:
        """Start an empty frame of ``room`` bytes; no frame ever exceeds ``largest`` bytes."""
        self.full: list[Value] = []
        self.short: list[Value] = []
        self._room = room
        self._largest = largest
        self._accepts_short = accepts_short
        self._origins: set[str] = set()
        self.is_waiting = False

    @property
    def values(self) -> list[Value]:
        """Return all values."""
        return self.full + self.short

    def fill(
        self, values: Iterable[Value], *, share: float = 1.0, stops_when_full: bool = True
    ) -> bool:
        """Add values in their order, up to a share of the room.

        With ``stops_when_full``, a value that does not fit now ends the filling and ``False`` is
        returned, because others must not use up the budget that it waits for. A value that can
        never fit, because it came from an instance with a larger budget, is skipped.

        If that value is large, ``is_waiting`` is set: small values chosen before it should wait
        too, because they would use up the budget that it needs at every tick.
        """
        reserved = self._room * (1 - share)
        for value in values:
            if not self._can_ever_hold(value):
                continue
            is_short = self._accepts_short(value)
            size = self._measure(value, short=is_short)
            if size > self._room - reserved:
                if stops_when_full:
                    self.is_waiting = value.size_bound > LARGE_VALUE_BYTES
                    return False
                continue
            self._room -= size
            self._put(value, short=is_short)
        return True

    def _can_ever_hold(self, value: Value) -> bool:
        header = DELTA_HEADER_BYTES + len(value.origin.encode())
        return value.size_bound + header <= self._largest

    def _measure(self, value: Value, *, short: bool) -> int:
        if short:
            return SHORT_ENTRY_BYTES + len(value.payload or b"")
        if value.origin in self._origins:
            return value.size_bound
        return value.size_bound + DELTA_HEADER_BYTES + len(value.origin.encode())

    def _put(self, value: Value, *, short: bool) -> None:
        if short:
            self.short.append(value)
            return
        self._origins.add(value.origin)
        self.full.append(value)


def fill_frame(selection: Selection, pending: PendingValues, *, loads_first: bool) -> None:
    """Fill a frame: urgent values, then load counts and ordinary values in turns.

    Load counts never end and there may be many ordinary values, so the kind that always went first
    would starve the other.
    """
    share = URGENT_SHARE if pending.loads else 1.0
    selection.fill(pending.urgent[:1])
    selection.fill(pending.urgent[1:], share=share)
    first, second = pending.loads, pending.ordinary
    if not loads_first:
        first, second = second, first
    if selection.fill(first):
        selection.fill(second, stops_when_full=False)


def make_deltas(values: Iterable[Value], state: GossipState, now: float) -> tuple[Delta, ...]:
    """Return the values in their wire format."""
    entries: dict[str, list[Entry]] = {}
    for value in values:
        entries.setdefault(value.origin, []).append(value.get_entry(now))
    deltas: list[Delta] = []
    for origin, listed in entries.items():
        held = state.origins[origin]
        deltas.append(Delta(origin, held.incarnation, held.floor, tuple(listed)))
    return tuple(deltas)
