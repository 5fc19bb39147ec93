"""Chooses the values of a frame: most urgent first, none waiting for ever."""

import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from chivetrack.components.gossip.const import (
    DELTA_HEADER_BYTES,
    FULL_NAME_EVERY,
    MIN_GAIN_S,
    PROMOTION_S,
    SHORT_ENTRY_BYTES,
)
from chivetrack.components.gossip.models import Delta, Entry, Urgency
from chivetrack.components.gossip.state import GossipState, Value, ValueKey


class LoadName(NamedTuple):
    """Names a load count among those of all origins."""

    origin: str
    key: ValueKey


@dataclass(slots=True)
class KnownLoad:
    """How young a load count a peer has, and how often it was named to it."""

    born: float
    name_hash: int
    sends: int = 1


class Rank(NamedTuple):
    """The place of a value in the order of sending; the smallest goes first."""

    urgency: int
    order: float


class Ranked(NamedTuple):
    """A value and its place."""

    rank: Rank
    value: Value


def limit_sends(urgency: int, peers: int) -> int:
    """Return how many copies of a value each holder sends on of its own accord."""
    rounds = math.ceil(math.log2(peers + 2))
    return rounds + 2 if urgency <= Urgency.OVERLOAD else rounds


class Outbox:
    """The values that have still to be sent on.

    Hot values go to any peer that is not known to have them, a limited number of
    times. Owed values go to one peer that was seen to lack them. Load counts are
    never done: a peer gets those by which its own would become younger the most.
    """

    def __init__(self) -> None:
        """Start with nothing to send."""
        self._hot: dict[Value, None] = {}
        self._loads: dict[LoadName, Value] = {}
        self._owed: dict[str, dict[Value, None]] = {}
        self._known_loads: dict[str, dict[LoadName, KnownLoad]] = {}

    def add(self, value: Value) -> None:
        """Send a new value on."""
        if value.urgency == Urgency.LOAD:
            self._loads[LoadName(value.origin, value.key)] = value
        else:
            self._hot[value] = None

    def owe(self, peer: str, value: Value) -> None:
        """Send a value to a peer that lacks it."""
        value.known.discard(peer)
        self._owed.setdefault(peer, {})[value] = None

    def owes(self, peer: str) -> bool:
        """Return whether a peer was seen to lack something."""
        return any(value.current for value in self._owed.get(peer, ()))

    def drop_peer(self, peer: str) -> None:
        """Forget what was owed to a peer that is gone, and what it knows."""
        self._owed.pop(peer, None)
        self._known_loads.pop(peer, None)

    def drop_origin(self, origin: str) -> None:
        """Send nothing more of an origin that is gone."""
        for name in [name for name in self._loads if name.origin == origin]:
            del self._loads[name]
        for loads in self._known_loads.values():
            for name in [name for name in loads if name.origin == origin]:
                del loads[name]

    def note_known(self, peer: str, value: Value) -> None:
        """Note that a peer has a value as young as this."""
        if value.urgency != Urgency.LOAD:
            return
        loads = self._known_loads.setdefault(peer, {})
        name = LoadName(value.origin, value.key)
        known = loads.get(name)
        if known is None or known.name_hash != value.name_hash:
            loads[name] = KnownLoad(value.born, value.name_hash)
            return
        known.born = max(known.born, value.born)

    def list_wanted(self, peer: str, topics: frozenset[str] | None, now: float) -> list[Value]:
        """Return what a peer should get, the most urgent first."""
        owed = self._owed.get(peer, {})
        for value in [value for value in owed if not value.current]:
            del owed[value]
        for value in [value for value in self._hot if not value.current]:
            del self._hot[value]
        wanted = {**owed, **dict.fromkeys(v for v in self._hot if peer not in v.known)}
        ranked = [Ranked(rank_value(value, now), value) for value in wanted]
        ranked.extend(self._rank_loads(peer))
        ranked.sort(key=lambda entry: entry.rank)
        return [e.value for e in ranked if topics is None or e.value.key.topic in topics]

    def count_urgent(self) -> int:
        """Return how many hot values of the highest urgency nobody was sent yet."""
        return sum(
            1 for value in self._hot if value.urgency == Urgency.LEAVING and value.sends == 0
        )

    def takes_short(self, peer: str, value: Value) -> bool:
        """Return whether a peer should understand the short form of a value."""
        if value.urgency != Urgency.LOAD:
            return False
        known = self._known_loads.get(peer, {}).get(LoadName(value.origin, value.key))
        if known is None or known.name_hash != value.name_hash:
            return False
        return known.sends % FULL_NAME_EVERY != 0

    def mark_sent(self, peer: str, values: Iterable[Value], *, peers: int, now: float) -> None:
        """Note that values went to a peer."""
        owed = self._owed.get(peer, {})
        for value in values:
            owed.pop(value, None)
            value.known.add(peer)
            value.sends += 1
            value.waiting_since = now
            self._count_load(peer, value)
            if value.sends >= limit_sends(value.urgency, peers):
                self._hot.pop(value, None)

    def _count_load(self, peer: str, value: Value) -> None:
        self.note_known(peer, value)
        known = self._known_loads.get(peer, {}).get(LoadName(value.origin, value.key))
        if known is not None and value.urgency == Urgency.LOAD:
            known.sends += 1

    def _rank_loads(self, peer: str) -> Iterator[Ranked]:
        loads = self._known_loads.get(peer, {})
        for name, value in self._loads.items():
            if peer == name.origin:
                continue
            known = loads.get(name)
            gain = math.inf if known is None else value.born - known.born
            if gain >= MIN_GAIN_S:
                yield Ranked(Rank(Urgency.LOAD, -gain), value)


def rank_value(value: Value, now: float) -> Rank:
    """Return the place of a value in the order of sending.

    Without promotion a steady stream of urgent news would keep the rest from ever
    being sent; waiting raises a value by a level every few seconds, without end.
    """
    promotion = math.floor(max(0.0, now - value.waiting_since) / PROMOTION_S)
    return Rank(value.urgency - promotion, value.waiting_since)


@dataclass(slots=True)
class Selection:
    """The values of one frame, in full and in short form."""

    full: list[Value] = field(default_factory=list)
    short: list[Value] = field(default_factory=list)

    @property
    def values(self) -> list[Value]:
        """Return all values."""
        return self.full + self.short


def choose_values(
    wanted: Iterable[Value], *, room: int, largest: int, takes_short: Callable[[Value], bool]
) -> Selection:
    """Return as many of ``wanted`` as fit into ``room`` bytes, in their order.

    A value that does not fit now stops the rest: smaller and less urgent ones must
    not use up the budget that it waits for. One that will never fit, since it came
    from an instance with a larger budget, is passed over.
    """
    chosen = Selection()
    origins: set[str] = set()
    for value in wanted:
        header = DELTA_HEADER_BYTES + len(value.origin.encode())
        if value.size_bound + header > largest:
            continue
        short = takes_short(value)
        need = value.size_bound + (0 if value.origin in origins else header)
        if short:
            need = SHORT_ENTRY_BYTES + len(value.payload or b"")
        if need > room:
            break
        room -= need
        if short:
            chosen.short.append(value)
            continue
        origins.add(value.origin)
        chosen.full.append(value)
    return chosen


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
