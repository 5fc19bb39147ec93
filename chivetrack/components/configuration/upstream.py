"""Chooses from whom to pull."""

import random

import xxhash

from chivetrack.components.configuration import const
from chivetrack.components.configuration.models import PeersChanged


def rank_relays(routers: list[str]) -> list[str]:
    """Return routers in the order in which they are relays of their zone.

    Every router of the zone computes the same order from the same list; where lists
    differ for a while, answers without a fresh confirmation make a router move on.
    """
    return sorted(routers, key=lambda router: (xxhash.xxh3_64_intdigest(router.encode()), router))


class UpstreamChooser:
    """Keeps the candidates in order of preference, and which of them failed lately."""

    def __init__(self, *, instance: str, rng: random.Random) -> None:
        """Choose for ``instance``; ``rng`` spreads the load over equal candidates."""
        self._instance = instance
        self._rng = rng
        self._candidates: list[str] = []
        self._zone_peers: list[str] = []
        self._failed_until: dict[str, float] = {}

    def set_peers(self, peers: PeersChanged) -> None:
        """Take the list of who is alive."""
        replicas = [name for name in peers.replicas if name != peers.leader]
        self._rng.shuffle(replicas)
        control = [peers.leader, *replicas] if peers.leader else replicas
        ranked = rank_relays([self._instance, *peers.zone_peers])
        relays = list(dict.fromkeys(ranked))[: const.RELAYS_PER_ZONE]
        is_controller = self._instance in (peers.leader, *peers.replicas)
        if is_controller or self._instance in relays:
            relays = []
        self._rng.shuffle(relays)
        names = [] if peers.leader == self._instance else [*relays, *control]
        names = list(dict.fromkeys(names))
        self._candidates = [name for name in names if name != self._instance]
        self._zone_peers = [name for name in peers.zone_peers if name != self._instance]
        known = {*self._candidates, *self._zone_peers}
        self._failed_until = {
            name: until for name, until in self._failed_until.items() if name in known
        }

    def choose(self, now: float) -> str | None:
        """Return the first candidate that has not failed lately, else the least recent."""
        return self._pick(self._candidates, now)

    def choose_holder(self, now: float) -> str | None:
        """Return a random peer for bulk data, of the own zone if any will do.

        Many routers that restart at once would otherwise all load from one relay.
        """
        usable = [name for name in self._zone_peers if not self._has_failed(name, now)]
        return self._rng.choice(usable) if usable else self.choose(now)

    def report_silent(self, peer: str, now: float) -> None:
        """Leave out a peer that did not answer."""
        self._failed_until[peer] = now + const.SILENT_PENALTY_S

    def report_stale(self, peer: str, now: float) -> None:
        """Leave out, for one round, a peer that had nothing fresh enough.

        Not for longer: a new leader has no confirmation yet, and if all left it out
        for seconds, nobody could be confirmed although it leads.
        """
        self._failed_until[peer] = now + const.STALE_PENALTY_S

    def report_success(self, peer: str) -> None:
        """Take a peer back in."""
        self._failed_until.pop(peer, None)

    def _pick(self, names: list[str], now: float) -> str | None:
        if not names:
            return None
        for name in names:
            if not self._has_failed(name, now):
                return name
        return min(names, key=lambda name: self._failed_until[name])

    def _has_failed(self, name: str, now: float) -> bool:
        return self._failed_until.get(name, now) > now
