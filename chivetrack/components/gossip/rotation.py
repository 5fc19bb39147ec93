"""The order in which peers are visited."""

import random as random_module
from collections.abc import Iterable

from chivetrack.components.gossip.const import RING_BASE, VISITS_PER_RANDOM_VISIT


class Rotation:
    """Visits peers at fixed distances on the ring of sorted ids, and some at random.

    The distances are the multiples of the powers of a small base, so an update reaches every
    instance in as many hops as a number below the ring's size has digits, and does not depend on
    random choice. The random visits work around bad links and instances whose views of the ring
    differ.
    """

    def __init__(self, *, own_id: str, random: random_module.Random) -> None:
        """Start without members."""
        self.members: tuple[str, ...] = ()
        self._own_id = own_id
        self._random = random
        self._ring: list[str] = []
        self._distances: list[int] = []
        self._visits = 0

    def set_members(self, members: Iterable[str]) -> None:
        """Replace the members."""
        listed = tuple(sorted(members))
        if listed == self.members:
            return
        self.members = listed
        ring = sorted({*listed, self._own_id})
        start = ring.index(self._own_id)
        self._ring = ring[start:] + ring[:start]
        self._distances = list_distances(len(ring))

    def choose(self, count: int) -> list[str]:
        """Return the next ``count`` distinct members, or all if there are fewer."""
        chosen: dict[str, None] = {}
        while len(chosen) < min(count, len(self.members)):
            chosen[self._choose_member(bool(chosen))] = None
        return list(chosen)

    def _choose_member(self, at_random: bool) -> str:
        self._visits += 1
        if at_random or self._visits % VISITS_PER_RANDOM_VISIT == 0:
            return self._random.choice(self.members)
        regular = self._visits - self._visits // VISITS_PER_RANDOM_VISIT
        return self._ring[self._distances[regular % len(self._distances)]]


def list_distances(size: int) -> list[int]:
    """Return the distances to visit on a ring, the nearest first."""
    distances: list[int] = []
    power = 1
    while power < size:
        multiples = (power * digit for digit in range(1, RING_BASE))
        distances.extend(distance for distance in multiples if distance < size)
        power *= RING_BASE
    return distances
