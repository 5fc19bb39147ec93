"""What follows after a request was sent to an endpoint and did not succeed there."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from chivetrack.components.traffic.models import Route
from chivetrack.exceptions import Fault, Ran

# An endpoint that refuses has not run the request; yet each refusal costs its queue and
# the caller time, so after this many the caller is told to come back.
MAX_REFUSALS = 2
# Connections that could not be made cost an endpoint nothing.
MAX_UNREACHABLE = 3
# Less time than this is not enough for another try.
MIN_LEFT_S = 0.05


class SendEnd(StrEnum):
    """How one try at an endpoint ended."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    MAYBE_RAN = "maybe_ran"
    FAILED = "failed"


@dataclass(frozen=True, slots=True, kw_only=True)
class SendAttempt:
    """One try."""

    endpoint_id: str
    end: SendEnd
    retry_after_s: float | None = None


def count_possible_runs(tries: Sequence[SendAttempt]) -> int:
    """Return how many of the tries may have run."""
    return sum(1 for one in tries if one.end in (SendEnd.MAYBE_RAN, SendEnd.FAILED))


def may_have_run(tries: Sequence[SendAttempt]) -> bool:
    """Return whether any endpoint may have run the request."""
    return count_possible_runs(tries) > 0


def allows_retry(route: Route, runs: int) -> bool:
    """Return whether the route allows one more try after so many that may have run."""
    return not runs or (route.is_repeatable and runs < route.max_attempts)


def may_send_again(
    route: Route, tries: Sequence[SendAttempt], *, left_s: float, has_budget: bool
) -> bool:
    """Return whether a request may go to another endpoint after these tries.

    What may have run is sent again only where the route says that it may run twice, and
    to no more endpoints than the route allows. Only a try whose bytes reached an endpoint
    draws on the budget.
    """
    ends = [one.end for one in tries]
    if left_s < MIN_LEFT_S or ends.count(SendEnd.NOT_SENT) >= MAX_UNREACHABLE:
        return False
    if ends.count(SendEnd.REFUSED) >= MAX_REFUSALS:
        return False
    if not allows_retry(route, count_possible_runs(tries)):
        return False
    reached = any(end is not SendEnd.NOT_SENT for end in ends)
    return has_budget or not reached


def make_final_fault(tries: Sequence[SendAttempt], *, retry_after_s: float) -> Fault:
    """Return the caller's answer after the last try.

    Only if every try is known not to have run, the caller is told so: it may then come
    back with what must not run twice.
    """
    if not may_have_run(tries):
        stated = [one.retry_after_s for one in tries if one.retry_after_s is not None]
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
