"""Chooses the peer to pull from."""

import random

import xxhash

from chivetrack.components.configuration import const
from chivetrack.components.configuration.models import PeersChanged


def rank_relays(routers: list[str]) -> list[str]:
    """Return the routers of a zone in order of preference as relays.

    Every router of the zone computes the same order from the same list. While the lists
    differ, a router may pull from one that is no relay; answers without a fresh
    confirmation then make it choose another peer.
    """
    return sorted(routers, key=lambda router: (xxhash.xxh3_64_intdigest(router.encode()), router))


class UpstreamChooser:
    """Keeps the candidates in order of preference and which of them failed recently."""

    def __init__(self, *, instance: str, rng: random.Random) -> None:
        """Choose for ``instance``; ``rng`` balances the load over equal candidates."""
        self._instance = instance
        self._rng = rng
        self._candidates: list[str] = []
        self._zone_peers: list[str] = []
        self._failed_until: dict[str, float] = {}

    def set_peers(self, peers: PeersChanged) -> None:
        """Update the candidates from the live instances."""
        replicas = [name for name in peers.replicas if name != peers.leader]
        self._rng.shuffle(replicas)
        replicas_by_preference = [peers.leader, *replicas] if peers.leader else replicas
        ranked = rank_relays([self._instance, *peers.zone_peers])
        relays = list(dict.fromkeys(ranked))[: const.RELAYS_PER_ZONE]
        is_replica = self._instance in (peers.leader, *peers.replicas)
        if is_replica or self._instance in relays:
            relays = []
        self._rng.shuffle(relays)
        names = [] if peers.leader == self._instance else [*relays, *replicas_by_preference]
        names = list(dict.fromkeys(names))
        self._candidates = [name for name in names if name != self._instance]
        self._zone_peers = [name for name in peers.zone_peers if name != self._instance]
        known = {*self._candidates, *self._zone_peers}
        self._failed_until = {
            name: until for name, until in self._failed_until.items() if name in known
        }

    def choose(self, now: float) -> str | None:
        """Return the first usable candidate, else the one that is usable again soonest."""
        return self._pick(self._candidates, now)

    def choose_page_source(self, now: float) -> str | None:
        """Return a random peer for pulling pages, from the own zone if one is usable.

        Many routers that restart at the same time would otherwise all load from one relay.
        """
        usable = [name for name in self._zone_peers if not self._has_failed(name, now)]
        return self._rng.choice(usable) if usable else self.choose(now)

    def report_silent(self, peer: str, now: float) -> None:
        """Avoid a peer that did not answer for ``SILENT_PENALTY_S``."""
        self._failed_until[peer] = now + const.SILENT_PENALTY_S

    def report_stale(self, peer: str, now: float) -> None:
        """Avoid a peer without fresh enough data for ``STALE_PENALTY_S``, about one poll.

        A longer penalty would hurt after an election: a new leader has no confirmation
        yet, and if all routers avoided it for seconds, none could be confirmed although
        a leader exists.
        """
        self._failed_until[peer] = now + const.STALE_PENALTY_S

    def report_success(self, peer: str) -> None:
        """Stop avoiding a peer."""
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
