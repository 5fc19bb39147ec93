"""A request to an endpoint, its answer, and what is known when there is none."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum


class AttemptOutcome(StrEnum):
    """How far an attempt at an endpoint got.

    ``NOT_SENT``: no byte left. ``REFUSED``: the endpoint said that it did not run the
    request. ``MAYBE_RAN``: a byte may have left and there is no whole answer.
    ``RAN``: the endpoint answered.
    """

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    MAYBE_RAN = "maybe_ran"
    RAN = "ran"


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamRequest:
    """One request as it goes to one endpoint.

    ``address`` is the endpoint's base URL, times are in seconds.
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
    """Why an attempt has no answer."""

    outcome: AttemptOutcome
    message: str
    retry_after_s: float | None = None


class BrokenAnswerError(Exception):
    """An answer ended before it was whole, or stalled for too long."""
