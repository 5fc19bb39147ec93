"""Values that gossip receives and publishes, and the messages that carry them."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from chivetrack.helpers.codec import Message, message


class Urgency(IntEnum):
    """The order in which values are sent; lower values are sent first.

    ``LOAD`` values are republished continuously. They are not repaired by digests, because the next
    one replaces a lost one. All others are repaired by digests.
    """

    LEAVING = 0
    OVERLOAD = 1
    CONFIGURATION = 2
    LOAD = 3
    ANNOUNCEMENT = 4
    REST = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class Peer:
    """An instance to which frames may be sent."""

    instance_id: str
    region: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ValueUpdate:
    """A value received from another origin.

    ``payload`` is ``None`` when the key was retracted or its origin restarted. ``age_s`` is the
    time since the origin published it, summed over all hops on monotonic clocks; ``now`` is the
    local time of receipt.
    """

    topic: str
    origin: str
    key: str
    payload: bytes | None
    age_s: float
    now: float


UpdateCallback = Callable[[ValueUpdate], None]


class Entry(Message, frozen=True, array_like=True):
    """One value in a frame; ``payload`` is ``None`` for a retracted key."""

    topic: str
    key: str
    version: int
    urgency: int
    age_ms: int
    payload: bytes | None


class ShortEntry(Message, frozen=True, array_like=True):
    """A load count whose origin, incarnation, topic and key are given by a hash.

    The names would take more bytes than the counts. A peer that has not seen the full entry ignores
    the short one and reports the hash back.
    """

    name_hash: int
    version: int
    age_ms: int
    payload: bytes | None


class Delta(Message, frozen=True, array_like=True):
    """Values of one origin; all of its versions up to ``floor`` are void."""

    origin: str
    incarnation: int
    floor: int
    entries: tuple[Entry, ...]


class OriginDigest(Message, frozen=True, array_like=True):
    """Checksum of the keys and versions that the sender holds of one origin."""

    origin: str
    incarnation: int
    floor: int
    checksum: int


class Digest(Message, frozen=True, array_like=True):
    """Digests of all origins that the sender holds in the name range ``[first, end)``.

    An ``end`` of ``None`` means that there are no origins after this range.
    """

    first: str
    end: str | None
    origins: tuple[OriginDigest, ...]


class KeyVersion(Message, frozen=True, array_like=True):
    """The version that the sender holds of a key; the key is given as a 32-bit hash."""

    key_hash: int
    version: int


class Summary(Message, frozen=True, array_like=True):
    """Versions of all keys of an origin that the sender holds with a hash in ``[first, end)``."""

    origin: str
    incarnation: int
    first: int
    end: int
    keys: tuple[KeyVersion, ...]


@message("gossip.frame")
class GossipFrame(Message, frozen=True, array_like=True):
    """One frame of gossip from an instance to a peer.

    ``sent_ms`` is the sender's monotonic clock; only differences of it are used.
    """

    incarnation: int
    sent_ms: int
    deltas: tuple[Delta, ...]
    digest: Digest | None = None
    summaries: tuple[Summary, ...] = ()
    shorts: tuple[ShortEntry, ...] = ()
    unknown_names: tuple[int, ...] = ()
