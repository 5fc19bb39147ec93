"""Chooses the values of a frame: most urgent first, none waiting for ever."""

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
    """Names a load count among those of all origins."""

    origin: str
    key: ValueKey


@dataclass(slots=True)
class KnownLoad:
    """How young a load count a peer has, under which name."""

    published_at: float
    name_hash: int


class Rank(NamedTuple):
    """The place of a value in the order of sending; the smallest goes first."""

    urgency: int
    order: float


class Ranked(NamedTuple):
    """A value and its place."""

    rank: Rank
    value: Value


def get_send_limit(urgency: int, peers: int) -> int:
    """Return how many copies of a value each holder sends on of its own accord."""
    if urgency > Urgency.LOAD:
        return ORDINARY_SENDS
    rounds = math.ceil(math.log2(peers + 2))
    return rounds + 2 if urgency <= Urgency.OVERLOAD else rounds


@dataclass(slots=True)
class PendingValues:
    """What a peer should get, by kind and each in the order of sending."""

    urgent: list[Value] = field(default_factory=list)
    loads: list[Value] = field(default_factory=list)
    ordinary: list[Value] = field(default_factory=list)

    def add(self, rank: Rank, value: Value) -> None:
        """Enter a value."""
        if value.urgency == Urgency.LOAD:
            self.loads.append(value)
        elif rank.urgency < Urgency.LOAD:
            self.urgent.append(value)
        else:
            self.ordinary.append(value)


class Outbox:
    """The values that have still to be sent on.

    Hot values go to any peer that is not known to have them, a limited number of
    times. Owed values go to one peer that was seen to lack them. Load counts are
    never done: a peer gets those by which its own become younger the most for a byte.
    """

    def __init__(self) -> None:
        """Start with nothing to send."""
        self._pending: dict[Value, None] = {}
        self._loads: dict[LoadName, Value] = {}
        self._missing_at: dict[str, dict[Value, None]] = {}
        self._known_loads: dict[str, dict[LoadName, KnownLoad]] = {}
        self._full_sends: dict[int, int] = {}
        self._full_limit = 1
        self._unknown_names: dict[str, set[int]] = {}

    def add(self, value: Value) -> None:
        """Send a new value on."""
        if value.urgency == Urgency.LOAD:
            self._loads[LoadName(value.origin, value.key)] = value
        else:
            self._pending[value] = None

    def add_missing(self, peer: str, value: Value) -> None:
        """Send a value to a peer that lacks it."""
        value.known.discard(peer)
        self._missing_at.setdefault(peer, {})[value] = None

    def has_missing(self, peer: str) -> bool:
        """Return whether a peer was seen to lack something."""
        return any(value.is_current for value in self._missing_at.get(peer, ()))

    def drop_peer(self, peer: str) -> None:
        """Forget what was owed to a peer that is gone, and what it knows."""
        self._missing_at.pop(peer, None)
        self._known_loads.pop(peer, None)
        self._unknown_names.pop(peer, None)

    def drop_origin(self, origin: str) -> None:
        """Send nothing more of an origin that is gone."""
        for name in [name for name in self._loads if name.origin == origin]:
            self._full_sends.pop(self._loads[name].name_hash, None)
            del self._loads[name]
        for loads in self._known_loads.values():
            for name in [name for name in loads if name.origin == origin]:
                del loads[name]

    def record_known(self, peer: str, value: Value) -> None:
        """Note that a peer has a value as young as this."""
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
        """Return what a peer should get, the most urgent first."""
        owed = self._missing_at.get(peer, {})
        for value in [value for value in owed if not value.is_current]:
            del owed[value]
        for value in [value for value in self._pending if not value.is_current]:
            del self._pending[value]
        news = {**owed, **dict.fromkeys(v for v in self._pending if peer not in v.known)}
        ranked = [Ranked(rank_value(value, now), value) for value in news]
        ranked.extend(self._rank_loads(peer))
        ranked.sort(key=lambda entry: entry.rank)
        pending = PendingValues()
        for rank, value in ranked:
            if topics is None or value.key.topic in topics:
                pending.add(rank, value)
        return pending

    def list_topics(self) -> frozenset[str]:
        """Return the topics of the hot values."""
        return frozenset(value.key.topic for value in self._pending)

    def drop_known(self, peers: frozenset[str], *, topics: frozenset[str] | None) -> None:
        """Stop sending on what all ``peers``, who are told of ``topics``, are known to have."""
        known = [value for value in self._pending if peers <= value.known]
        for value in known:
            if topics is None or value.key.topic in topics:
                del self._pending[value]

    def count_ordinary(self) -> int:
        """Return how many values of ordinary urgency are still being sent on."""
        return sum(1 for v in self._pending if v.is_current and v.urgency > Urgency.LOAD)

    def count_urgent(self) -> int:
        """Return how many hot values of the highest urgency nobody was sent yet."""
        return sum(
            1
            for value in self._pending
            if value.urgency == Urgency.LEAVING and value.send_count == 0
        )

    def accepts_short(self, peer: str, value: Value) -> bool:
        """Return whether a peer should understand the short form of a value.

        The full form goes out as often as other news, which reaches nearly everyone; who
        missed it says so. Each holder naming everything to each peer would take minutes.
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
        """Note that a peer can't read a short name."""
        self._unknown_names.setdefault(peer, set()).add(name_hash)
        for known in self._known_loads.get(peer, {}).values():
            if known.name_hash == name_hash:
                known.published_at = -math.inf

    def mark_sent(self, peer: str, values: Iterable[Value], *, peers: int, now: float) -> None:
        """Note that values went to a peer."""
        owed = self._missing_at.get(peer, {})
        unknown = self._unknown_names.get(peer, set())
        self._full_limit = get_send_limit(Urgency.LOAD, peers)
        for value in values:
            if value.urgency == Urgency.LOAD and not self.accepts_short(peer, value):
                unknown.discard(value.name_hash)
                send_count = self._full_sends.get(value.name_hash, 0)
                self._full_sends[value.name_hash] = send_count + 1
            owed.pop(value, None)
            value.known.add(peer)
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
    """Return the place of a value in the order of sending.

    Without promotion a steady stream of urgent news would keep the rest from ever
    being sent; waiting raises a value by a level every few seconds, without end.
    """
    promotion = math.floor(max(0.0, now - value.waiting_since) / PROMOTION_S)
    return Rank(value.urgency - promotion, value.waiting_since)


class Selection:
    """The values of one frame, in full and in short form."""

    def __init__(self, *, room: int, largest: int, accepts_short: Callable[[Value], bool]) -> None:
        """Start an empty frame with ``room`` bytes; no frame ever has over ``largest``."""
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

        With ``waits`` one that does not fit now stops the rest and ``False`` is returned:
        others must not use up the budget that it waits for. One that will never fit,
        since it came from an instance with a larger budget, is passed over.

        ``is_waiting`` is then set if it is large: small values that were chosen before it
        should wait too, since at every tick they use up what it needs.
        """
        kept = self._room * (1 - share)
        for value in values:
            if not self._can_ever_hold(value):
                continue
            short = self._accepts_short(value)
            need = self._measure(value, short=short)
            if need > self._room - kept:
                if stops_when_full:
                    self.is_waiting = value.size_bound > LARGE_VALUE_BYTES
                    return False
                continue
            self._room -= need
            self._put(value, short=short)
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
    """Fill a frame: urgent news, then load counts and ordinary news in turns.

    Load counts never end and ordinary news may come in bulk; whichever always went
    first would keep the other from being sent.
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
    """Return the values in their form on the wire."""
    entries: dict[str, list[Entry]] = {}
    for value in values:
        entries.setdefault(value.origin, []).append(value.get_entry(now))
    deltas: list[Delta] = []
    for origin, listed in entries.items():
        held = state.origins[origin]
        deltas.append(Delta(origin, held.incarnation, held.floor, tuple(listed)))
    return tuple(deltas)
