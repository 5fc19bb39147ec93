"""Shapes of the load component."""

from dataclasses import dataclass
from enum import StrEnum

from chivetrack.helpers.codec import Message, message


@message("load.counts")
class LoadCounts(Message, frozen=True, array_like=True):
    """All in-flight counts of one router, by endpoint id; an absent endpoint has none.

    Always complete, so that a lost message costs freshness and never correctness.
    ``incarnation`` and ``sequence`` order the messages of one router.
    """

    incarnation: int
    sequence: int
    counts: dict[str, int]


class MergeVerdict(StrEnum):
    """What became of counts or of a report that came in."""

    TAKEN = "taken"
    STALE = "stale"
    DEAD = "dead"
    TOO_OLD = "too-old"
    OWN = "own"


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadEstimate:
    """Requests in flight on one endpoint and the age of the oldest count in it."""

    in_flight: float
    age_s: float
