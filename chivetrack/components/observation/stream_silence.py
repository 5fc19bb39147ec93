"""Decides, without I/O, when a stream whose endpoint is silent goes on at another endpoint.

A sound engine may make no event for seconds, while more urgent requests use its memory. How long it
may do so is bounded by its callers alone: they leave after a gap that depends on the route.
"""

from enum import StrEnum
from typing import Final

MIN_PATIENCE_S: Final = 2.0
PATIENCE_TARGETS: Final = 4
PATIENCE_PAUSES: Final = 8

MAX_START_SHARE: Final = 0.25
"""Largest part of the callers' patience that is left to another endpoint for its first event."""

PROBE_AFTER_S: Final = 1.0
"""A stream that is silent for less gives no reason to doubt its endpoint."""


class MoveReason(StrEnum):
    """Why a stream goes on at another endpoint."""

    GONE = "its endpoint is gone"
    PATIENCE = "the caller would leave"


def find_patience(*, target_s: float, longest_pause_s: float) -> float:
    """Return the gap (s) after which callers abandon a stream of a route."""
    return max(MIN_PATIENCE_S, PATIENCE_TARGETS * target_s, PATIENCE_PAUSES * longest_pause_s)


def may_move(*, silent_s: float, patience_s: float, is_gone: bool) -> bool:
    """Return whether it is time to look for another endpoint."""
    return is_gone or silent_s >= (1 - MAX_START_SHARE) * patience_s


def decide_move(
    *, silent_s: float, patience_s: float, start_s: float | None, left_s: float, is_gone: bool
) -> MoveReason | None:
    """Return why the stream goes on elsewhere now, ``None`` if its endpoint is waited for.

    ``start_s`` is how long another endpoint takes to its first event, ``None`` if there is none
    or no attempt is allowed; ``left_s`` is the time until the request or the router ends.
    """
    if start_s is None or start_s >= left_s:
        return None
    if is_gone:
        return MoveReason.GONE
    is_due = silent_s + min(start_s, MAX_START_SHARE * patience_s) >= patience_s
    return MoveReason.PATIENCE if is_due else None
