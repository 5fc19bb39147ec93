"""Shapes of the retries component."""

from dataclasses import dataclass
from enum import StrEnum

from chivetrack.exceptions import Fault


class Outcome(StrEnum):
    """What is certain about one attempt.

    ``NOT_SENT``: no byte of the request left this router, say the connect failed.
    ``REFUSED_NOT_RUN``: the endpoint said in so many words that it did not run it.
    ``MAYBE_RAN``: a byte may have left and no whole answer came back.
    ``RAN``: the endpoint ran it, whatever the result.
    """

    NOT_SENT = "not-sent"
    REFUSED_NOT_RUN = "refused-not-run"
    MAYBE_RAN = "maybe-ran"
    RAN = "ran"


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One attempt that ended without a whole answer."""

    endpoint_id: str
    outcome: Outcome


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestTraits:
    """What decides whether a request may be sent again.

    ``caller_bytes`` is how many bytes of the answer's body the caller has been sent, in
    all attempts together; ``resumable`` says that the endpoint can go on at an offset.
    ``deadline`` is a time on the clock of ``now``.
    """

    workspace: str
    deadline: float
    idempotent: bool
    caller_bytes: int = 0
    resumable: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Retry:
    """Send the whole request to an endpoint that was not tried, without delay."""

    excluded: frozenset[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class Resume:
    """Ask for the answer from byte ``offset`` on and splice it to what was sent."""

    offset: int
    excluded: frozenset[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class Abandon:
    """Answer the caller with the fault, at once."""

    fault: Fault


RetryDecision = Retry | Resume | Abandon
