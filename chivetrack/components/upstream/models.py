"""Requests to endpoints, outcomes of attempts and their errors."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum


class AttemptOutcome(StrEnum):
    """The outcome of an attempt at an endpoint.

    ``NOT_SENT``: no byte was sent. ``REFUSED``: the endpoint reported that it did not run
    the request. ``MAYBE_RAN``: bytes may have been sent and there is no complete answer.
    ``RAN``: the endpoint answered.
    """

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    MAYBE_RAN = "maybe_ran"
    RAN = "ran"


class Framing(StrEnum):
    """What marks the end of an answer's body; ``NO_BODY``: its end is the end of the head."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"
    NO_BODY = "no_body"


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamRequest:
    """A request as it is sent to one endpoint.

    ``address`` is the base URL of the endpoint. ``stall_timeout_s`` limits the wait for
    the next bytes of the body. Times are in seconds.
    """

    request_id: str
    address: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    timeout_s: float
    stall_timeout_s: float
    idempotent: bool
    expects_stream_end: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamFault:
    """The reason why an attempt has no answer."""

    outcome: AttemptOutcome
    message: str
    retry_after_s: float | None = None


class BrokenAnswerError(Exception):
    """An answer ended before it was complete, or stalled longer than its timeout."""
