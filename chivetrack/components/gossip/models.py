"""What gossip is told, what it tells and what it sends."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from chivetrack.helpers.codec import Message, message


class Urgency(IntEnum):
    """The order in which news is sent; lower goes first.

    ``LOAD`` values are republished all the time: they are never repaired, a lost
    one is made good by the next. All others are repaired by digests.
    """

    LEAVING = 0
    OVERLOAD = 1
    CONFIGURATION = 2
    LOAD = 3
    ANNOUNCEMENT = 4
    REST = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class Peer:
    """An instance that frames may be sent to."""

    instance_id: str
    region: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ValueUpdate:
    """A value that came in.

    ``payload`` is ``None`` when the key was retracted or its origin restarted.
    ``age_s`` is the time since the origin published it, summed over all hops on
    monotonic clocks; ``now`` is the local time of receipt.
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
    """A load count whose origin, incarnation, topic and key are named by a hash.

    The names would take more bytes than the counts. A peer that has not seen the full
    entry ignores it and reports the hash back.
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
    """What the sender holds of one origin, as a checksum of keys and versions."""

    origin: str
    incarnation: int
    floor: int
    checksum: int


class Digest(Message, frozen=True, array_like=True):
    """All origins that the sender holds from ``first`` up to, not with, ``end``.

    An ``end`` of ``None`` means that there is no origin beyond.
    """

    first: str
    end: str | None
    origins: tuple[OriginDigest, ...]


class KeyVersion(Message, frozen=True, array_like=True):
    """The version that the sender holds of a key, the key as a 32-bit hash."""

    key_hash: int
    version: int


class Summary(Message, frozen=True, array_like=True):
    """All keys of an origin that the sender holds with a hash in ``[first, end)``."""

    origin: str
    incarnation: int
    first: int
    end: int
    keys: tuple[KeyVersion, ...]


@message("gossip.frame")
class GossipFrame(Message, frozen=True, array_like=True):
    """Everything that one instance tells another at a time.

    ``sent_ms`` is the sender's monotonic clock: only differences of it are used.
    """

    incarnation: int
    sent_ms: int
    deltas: tuple[Delta, ...]
    digest: Digest | None = None
    summaries: tuple[Summary, ...] = ()
    shorts: tuple[ShortEntry, ...] = ()
    unknown_names: tuple[int, ...] = ()
