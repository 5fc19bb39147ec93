"""Typed errors: what went wrong, whether the request ran, when to come back."""

from dataclasses import dataclass
from enum import StrEnum


class Ran(StrEnum):
    """Whether the work of a refused or failed request was done.

    ``NO`` is a promise: no endpoint has received a byte of the request.
    """

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """An error as a value, the error side of an ``expression.Result``.

    ``code`` is a stable name for programs, ``message`` a sentence for people,
    ``status`` the HTTP status, ``retry_after_s`` seconds until a new attempt makes
    sense (``None``: a new attempt as it stands would fail again).
    """

    code: str
    message: str
    status: int
    ran: Ran = Ran.NO
    retry_after_s: float | None = None


class ChivetrackError(Exception):
    """Base of the errors that are raised rather than returned."""


class FaultError(ChivetrackError):
    """Carries a fault through code that unwinds by exception."""

    def __init__(self, fault: Fault) -> None:
        """Wrap a fault."""
        super().__init__(f"{fault.code}: {fault.message}")
        self.fault = fault
