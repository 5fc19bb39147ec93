"""Order in which a chat prefers the endpoints of a pool.

Weighted rendezvous hashing in two levels: endpoints are hashed into a fixed number of
groups; a chat ranks the groups by their summed capacity and the endpoints of a group by
their own. Homes are distributed as evenly as with plain rendezvous hashing, and a chat
costs one hash per group and per member of a group instead of one per endpoint of the
region. With few endpoints nearly every group has one member, and the order is that of
plain rendezvous hashing. The drawback is that a join or leave moves up to twice the least
possible number of chats.
"""

import heapq
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from math import log
from typing import TypeVar

from xxhash import xxh3_64_intdigest

from chivetrack.components.endpoints.models import EndpointState
from chivetrack.components.routing.const import GROUP_COUNT

_HALF_STEP = 0.5
_FRACTION_BITS = 53
_DROPPED_BITS = 64 - _FRACTION_BITS
_SCALE = 2.0**-_FRACTION_BITS


@dataclass(frozen=True, slots=True)
class _Member:
    seed: int
    weight: float
    endpoint: EndpointState


@dataclass(frozen=True, slots=True)
class _Group:
    seed: int
    weight: float
    members: tuple[_Member, ...]


ItemT = TypeVar("ItemT", _Group, _Member)


def hash_affinity(affinity: str) -> bytes:
    """Return the 8-byte key by which a chat ranks groups and endpoints."""
    return xxh3_64_intdigest(affinity.encode()).to_bytes(8, "little")


def find_group(endpoint_id: str) -> int:
    """Return the number of the group of an endpoint."""
    return xxh3_64_intdigest(endpoint_id.encode()) % GROUP_COUNT


class RendezvousOrder:
    """Ranks a fixed set of endpoints for any chat."""

    def __init__(self, *, endpoints: Iterable[EndpointState]) -> None:
        """Group the endpoints, in about a microsecond per endpoint."""
        members: dict[int, list[_Member]] = {}
        for endpoint in endpoints:
            seed = xxh3_64_intdigest(endpoint.endpoint_id.encode())
            member = _Member(seed, float(max(endpoint.capacity, 1)), endpoint)
            members.setdefault(seed % GROUP_COUNT, []).append(member)
        self._groups = tuple(
            _Group(number + 1, sum(member.weight for member in group), tuple(group))
            for number, group in sorted(members.items())
        )

    def iterate(self, key: bytes) -> Iterator[EndpointState]:
        """Yield all endpoints, most preferred first.

        Only the groups that are reached are ranked, so the first endpoints are cheap.
        """
        for group in _rank(self._groups, key):
            for member in _rank(group.members, key):
                yield member.endpoint


def _rank(items: tuple[ItemT, ...], key: bytes) -> Iterator[ItemT]:
    if len(items) == 1:
        yield items[0]
        return
    heap = [(_score(key, item.seed, item.weight), index) for index, item in enumerate(items)]
    heapq.heapify(heap)
    while heap:
        yield items[heapq.heappop(heap)[1]]


def _score(key: bytes, seed: int, weight: float) -> float:
    """Return an exponential variate of rate ``weight``; the item of the least one ranks first.

    Each of several independent exponential variates is the least with a probability in
    proportion to its rate, so the homes are distributed by weight.
    """
    fraction = ((xxh3_64_intdigest(key, seed) >> _DROPPED_BITS) + _HALF_STEP) * _SCALE
    return -log(fraction) / weight
