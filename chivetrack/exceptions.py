"""Errors of the project: faults as values, and exceptions."""

from dataclasses import dataclass
from enum import StrEnum


class Ran(StrEnum):
    """Whether an endpoint ran a refused or failed request.

    ``NO`` is a guarantee: every endpoint has either received no byte of the request or stated
    that it did not run it.
    """

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """An error as a value, the error side of an ``expression.Result``.

    ``code`` is a stable name for programs, ``message`` a sentence for people and ``status``
    the HTTP status. ``retry_after_s`` is the time in seconds after which a retry may succeed;
    ``None`` means that the same request would fail again.
    """

    code: str
    message: str
    status: int
    ran: Ran = Ran.NO
    retry_after_s: float | None = None


class ChivetrackError(Exception):
    """Base of the exceptions of the project."""


class FaultError(ChivetrackError):
    """Raises a fault through code that reports errors by exceptions."""

    def __init__(self, fault: Fault) -> None:
        """Wrap a fault."""
        super().__init__(f"{fault.code}: {fault.message}")
        self.fault = fault
