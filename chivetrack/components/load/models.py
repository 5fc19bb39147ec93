"""Models and messages of the load component."""

from dataclasses import dataclass
from enum import StrEnum

from chivetrack.helpers.codec import Message, message


@message("load.counts")
class LoadCounts(Message, frozen=True, array_like=True):
    """In-flight counts of one router, by endpoint id; an absent endpoint has no requests.

    A message is complete for all endpoints or, if ``scope`` is set, for the listed endpoints,
    which the receiver owns. A lost message therefore makes the counts older but never wrong.
    ``incarnation`` and ``sequence`` order the messages of one router. ``settled`` is a ticket:
    all granted slots up to it are included in the counts or were not used.
    """

    incarnation: int
    sequence: int
    counts: dict[str, int]
    scope: list[str] | None = None
    settled: int = 0


@message("load.summary")
class LoadSummary(Message, frozen=True, array_like=True):
    """Requests in flight of all routers, by id of the endpoints that the sender owns."""

    loads: dict[str, int]


class MergeVerdict(StrEnum):
    """Result of merging received counts or a received report."""

    TAKEN = "taken"
    STALE = "stale"
    DEAD = "dead"
    TOO_OLD = "too-old"
    OWN = "own"


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadEstimate:
    """Estimated requests in flight at one endpoint, and the age of its oldest count."""

    in_flight: float
    age_s: float
