"""Outcomes of commands."""

from enum import StrEnum

from chivetrack.components.store.records import Record
from chivetrack.helpers.codec import Message, message


class RefusalCode(StrEnum):
    """Why a command changed nothing."""

    ALREADY_EXISTS = "already_exists"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    DELETING = "deleting"
    REQUEST_ID_REUSED = "request_id_reused"
    FENCED = "fenced"
    INVALID_PATCH = "invalid_patch"
    TOO_LARGE = "too_large"
    LEASES_EXHAUSTED = "leases_exhausted"
    CLAIMS_EXHAUSTED = "claims_exhausted"


class Outcome(Message, frozen=True, array_like=True):
    """Base of all outcomes."""


@message("store/written")
class Written(Outcome, frozen=True, array_like=True):
    """A resource was written; no record means that it is gone.

    ``revision`` is that of the change, or that of the resource when the command
    asked for what was already there.
    """

    kind: str
    name: str
    revision: int
    record: Record | None = None


@message("store/refused")
class Refused(Outcome, frozen=True, array_like=True):
    """The command changed nothing; ``current`` is the resource as it stands."""

    code: RefusalCode
    message: str
    kind: str = ""
    current: Record | None = None


class LeaseState(StrEnum):
    """Who holds a lease after a command."""

    HELD = "held"
    HELD_BY_OTHER = "held-by-other"
    FREE = "free"


@message("store/lease-answer")
class LeaseAnswer(Outcome, frozen=True, array_like=True):
    """The lease after a command, seen from its sender; times are the store's clock.

    A holder counts the duration from before it sent the command, on its own
    monotonic clock, and never from ``expires_ms``.
    """

    name: str
    state: LeaseState
    holder: str = ""
    fencing: int = 0
    expires_ms: int = 0


class ClaimState(StrEnum):
    """What a claim says to the one who asks."""

    GRANTED = "granted"
    IN_PROGRESS = "in-progress"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    FINGERPRINT_MISMATCH = "fingerprint-mismatch"
    ABANDONED = "abandoned"
    NOT_HELD = "not-held"


@message("store/claim-answer")
class ClaimAnswer(Outcome, frozen=True, array_like=True):
    """The claim after a command.

    ``grant`` is set for ``GRANTED`` and must come back with every report. A finished
    claim whose body was too large, or was dropped for room, has ``body_kept`` false:
    the request ran, but its answer can't be given again.
    """

    state: ClaimState
    grant: int = 0
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    body_kept: bool = True
