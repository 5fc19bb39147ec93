"""Models of the origins component."""

from dataclasses import dataclass
from enum import StrEnum


class SoftwareMatch(StrEnum):
    """Whether an endpoint has the software version that began a stream."""

    SAME = "same"
    OTHER = "other"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class Continuation:
    """Placement of a stream of which the caller has events; the caller or the router continues."""

    is_by_caller: bool
    match: SoftwareMatch


def match_software(began_at: str, continues_at: str) -> SoftwareMatch:
    """Compare two software versions; one that is empty is unknown."""
    if not began_at or not continues_at:
        return SoftwareMatch.UNKNOWN
    return SoftwareMatch.SAME if began_at == continues_at else SoftwareMatch.OTHER
