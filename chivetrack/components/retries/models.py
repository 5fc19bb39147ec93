"""Models of the retries component."""

from dataclasses import dataclass
from enum import StrEnum

from chivetrack.exceptions import Fault


class Outcome(StrEnum):
    """What is known about the execution of one attempt.

    ``NOT_SENT``: this router sent no byte of the request, for example because it could not
    connect.
    ``REFUSED_NOT_RUN``: the endpoint stated explicitly that it did not run the request.
    ``MAYBE_RAN``: a byte may have been sent, and no complete answer was received.
    ``RAN``: the endpoint ran the request, whatever the result.
    """

    NOT_SENT = "not-sent"
    REFUSED_NOT_RUN = "refused-not-run"
    MAYBE_RAN = "maybe-ran"
    RAN = "ran"


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One attempt that ended without a complete answer.

    ``software`` is the endpoint's software version, empty if it is not known.
    """

    endpoint_id: str
    outcome: Outcome
    software: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestTraits:
    """The properties of a request that decide whether it may be sent again.

    ``caller_bytes`` is how many bytes of the answer's body were sent to the caller, in all
    attempts together. ``resumable`` means that an endpoint can resume the answer at an
    offset. ``deadline`` is a time on the clock of ``now``.
    """

    workspace: str
    deadline: float
    idempotent: bool
    caller_bytes: int = 0
    resumable: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Retry:
    """Send the request at once to an endpoint that is not in ``excluded``."""

    excluded: frozenset[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class Resume:
    """Request the answer from byte ``offset`` on and append it to the bytes already sent.

    Only endpoints of the version ``software`` may be asked: what two versions write does not fit
    together.
    """

    offset: int
    excluded: frozenset[str]
    software: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Abandon:
    """Send the caller the fault at once; make no other attempt."""

    fault: Fault


RetryDecision = Retry | Resume | Abandon
