"""Decides what follows when a request did not succeed at an endpoint."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from chivetrack.components.traffic.models import Route
from chivetrack.exceptions import Fault, Ran

# A refusing endpoint has not run the request, but each refusal delays the endpoint's queue
# and the caller. After this many refusals the caller gets a fault with ``Retry-After``.
MAX_REFUSALS = 2
# A failed connection puts no load on an endpoint, so more of these are allowed.
MAX_UNREACHABLE = 3
# Time left until the deadline below which no further attempt is made.
MIN_LEFT_S = 0.05


class SendEnd(StrEnum):
    """How one attempt at an endpoint ended.

    ``NOT_SENT``: the endpoint could not be reached. ``REFUSED``: it refused the request
    without running it. ``MAYBE_RAN``: it may have run the request. ``FAILED``: it answered
    with an error.
    """

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    MAYBE_RAN = "maybe_ran"
    FAILED = "failed"


@dataclass(frozen=True, slots=True, kw_only=True)
class SendAttempt:
    """One attempt that did not succeed."""

    endpoint_id: str
    end: SendEnd
    retry_after_s: float | None = None


def count_possible_runs(attempts: Sequence[SendAttempt]) -> int:
    """Return in how many attempts the endpoint may have run the request."""
    return sum(1 for attempt in attempts if attempt.end in (SendEnd.MAYBE_RAN, SendEnd.FAILED))


def may_have_run(attempts: Sequence[SendAttempt]) -> bool:
    """Return whether any endpoint may have run the request."""
    return count_possible_runs(attempts) > 0


def has_reached(attempts: Sequence[SendAttempt]) -> bool:
    """Return whether any attempt has reached an endpoint, so that another one is a retry."""
    return any(attempt.end is not SendEnd.NOT_SENT for attempt in attempts)


def allows_retry(route: Route, runs: int) -> bool:
    """Return whether the route allows an attempt after ``runs`` that may have run."""
    return not runs or (route.is_repeatable and runs < route.max_attempts)


def may_send_again(route: Route, attempts: Sequence[SendAttempt], *, left_s: float) -> bool:
    """Return whether a request may be sent to another endpoint after these attempts.

    A request that may have run is sent again only if the route allows it to run twice, and
    to no more endpoints than the route allows. If an attempt has reached an endpoint, the next
    one also needs the retry budget.
    """
    ends = [attempt.end for attempt in attempts]
    if left_s < MIN_LEFT_S or ends.count(SendEnd.NOT_SENT) >= MAX_UNREACHABLE:
        return False
    if ends.count(SendEnd.REFUSED) >= MAX_REFUSALS:
        return False
    return allows_retry(route, count_possible_runs(attempts))


def make_final_fault(attempts: Sequence[SendAttempt], *, retry_after_s: float) -> Fault:
    """Return the fault for the caller after the last attempt.

    The fault states that the request did not run only if this is known of every attempt:
    the caller may then send even a non-idempotent request again.
    """
    if not may_have_run(attempts):
        stated = [
            attempt.retry_after_s for attempt in attempts if attempt.retry_after_s is not None
        ]
        return Fault(
            code="no_endpoint",
            message="No endpoint could take the request; it has not run.",
            status=503,
            ran=Ran.NO,
            retry_after_s=max([retry_after_s, *stated]),
        )
    return Fault(
        code="upstream_failed",
        message="The endpoint gave no whole answer; the request may have run.",
        status=502,
        ran=Ran.MAYBE,
    )
