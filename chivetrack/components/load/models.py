"""Shapes of the load component."""

from dataclasses import dataclass
from enum import StrEnum

from chivetrack.helpers.codec import Message, message


@message("load.counts")
class LoadCounts(Message, frozen=True, array_like=True):
    """In-flight counts of one router, by endpoint id; an absent endpoint has none.

    Always complete, so that a lost message costs freshness and never correctness: for
    all endpoints, or, where ``scope`` names some, for those that the receiver owns.
    ``incarnation`` and ``sequence`` order the messages of one router. All slots up to
    the ticket ``settled`` that it was granted are in the counts or were not used.
    """

    incarnation: int
    sequence: int
    counts: dict[str, int]
    scope: list[str] | None = None
    settled: int = 0


@message("load.summary")
class LoadSummary(Message, frozen=True, array_like=True):
    """Requests of all routers in flight on the endpoints that one router owns."""

    loads: dict[str, int]


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
