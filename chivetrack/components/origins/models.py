"""Models of the origins component."""

from dataclasses import dataclass
from enum import StrEnum

from chivetrack.components.origins.const import MAX_REQUEST_ID
from chivetrack.helpers.codec import Message, message


@message("origins.origin")
class Origin(Message, frozen=True, array_like=True):
    """Service and software version that began a stream; ``software`` is empty if unknown."""

    service: str
    software: str

    @property
    def is_known(self) -> bool:
        """Return whether the version is known."""
        return bool(self.software)


def is_recordable(request: str) -> bool:
    """Return whether a request id names a request; ids come from callers, who may send none."""
    return 0 < len(request) <= MAX_REQUEST_ID


class OriginBasis(StrEnum):
    """How the origin of a stream is known, or why it is not.

    ``OWN``: this router began or continued the stream. ``TOLD``: a replica has the router's record.
    ``ONLY_VERSION``: no other version can have begun it. ``NO_RECORD``: several versions may have
    begun it, and no replica has a record. ``NO_MAJORITY``: too few replicas answered in time.
    ``OTHER_SERVICE``: the route no longer leads to the service that began it.
    """

    OWN = "own"
    TOLD = "told"
    ONLY_VERSION = "only_version"
    NO_RECORD = "no_record"
    NO_MAJORITY = "no_majority"
    OTHER_SERVICE = "other_service"


@dataclass(frozen=True, slots=True, kw_only=True)
class OriginVerdict:
    """What a router has found out about the origin of a stream.

    ``origin`` is ``None`` if it is not known. ``age_s`` is the age of the record that tells it, in
    seconds.
    """

    origin: Origin | None
    basis: OriginBasis
    age_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Continuation:
    """Placement of a stream of which the caller has events; the caller or the router continues."""

    is_by_caller: bool
    basis: OriginBasis
