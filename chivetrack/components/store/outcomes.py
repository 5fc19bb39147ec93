"""Outcomes of commands."""

from enum import StrEnum

from chivetrack.components.store.records import Record
from chivetrack.helpers.codec import Message, message


class RefusalCode(StrEnum):
    """Reason why a command was refused."""

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
    """A resource was written, or deleted if ``record`` is ``None``.

    ``revision`` is the revision of the change, or of the existing resource if the command
    changed nothing.
    """

    kind: str
    name: str
    revision: int
    record: Record | None = None


@message("store/refused")
class Refused(Outcome, frozen=True, array_like=True):
    """The command was refused and changed nothing; ``current`` is the existing resource."""

    code: RefusalCode
    message: str
    kind: str = ""
    current: Record | None = None


class LeaseState(StrEnum):
    """State of a lease after a command, from the view of its sender."""

    HELD = "held"
    HELD_BY_OTHER = "held-by-other"
    FREE = "free"


@message("store/lease-answer")
class LeaseAnswer(Outcome, frozen=True, array_like=True):
    """The lease after a command; ``expires_ms`` is a time of the store's clock.

    A holder must not compare ``expires_ms`` with its own clock. It counts the duration on
    its monotonic clock, starting before it sent the command.
    """

    name: str
    state: LeaseState
    holder: str = ""
    fencing: int = 0
    expires_ms: int = 0


class ClaimState(StrEnum):
    """State of a claim after a command, from the view of its sender."""

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

    ``grant`` is set for ``GRANTED`` and must be part of every later report. ``body_kept`` is
    false for a finished claim whose body was too large or was dropped to free memory: the
    request has run, but its answer can't be repeated.
    """

    state: ClaimState
    grant: int = 0
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    body_kept: bool = True
