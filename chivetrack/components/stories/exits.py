"""Relates the requests of a router to its exit."""

from collections.abc import Iterable, Sequence
from typing import Any

Event = dict[str, Any]

EXIT_EVENTS = frozenset(("exit_decided", "stopped"))

_STOPPING_CODE = "instance_stopping"
_STATUS_NOT_RUN = 503
_FINAL_EVENTS = frozenset(("request_ended", "request_rejected", "request_given_up"))


def find_unanswered(own: Sequence[Event]) -> Event | None:
    """Return the last placement of a request if no event shows how the request ended."""
    if any(event["event"] in _FINAL_EVENTS for event in own):
        return None
    return next((event for event in reversed(own) if event["event"] == "request_placed"), None)


def list_exits(event: Event, ordered: Iterable[Event]) -> list[Event]:
    """Return the exit events of the process that wrote ``event``, in order.

    A restarted process has the name of the one before, and begins with ``started``.
    """
    exits: list[Event] = []
    is_reached = False
    for other in ordered:
        if other is event:
            is_reached = True
        if other.get("instance") != event.get("instance"):
            continue
        if other["event"] == "started" and is_reached:
            break
        if other["event"] == "started":
            exits.clear()
        if other["event"] in EXIT_EVENTS:
            exits.append(other)
    return exits


def explain_exit(own: Sequence[Event], ordered: Sequence[Event]) -> str | None:
    """Return how the exit of its router ended a request; ``None`` if it did not."""
    unanswered = find_unanswered(own)
    if unanswered is not None:
        return _explain_unanswered(unanswered, ordered)
    rejected = next((event for event in own if event.get("code") == _STOPPING_CODE), None)
    return None if rejected is None else _explain_refused(rejected, ordered)


def _explain_unanswered(placed: Event, ordered: Sequence[Event]) -> str | None:
    exits = list_exits(placed, ordered)
    if not exits:
        return None
    first = exits[0]
    if _is_before(first, placed, ordered):
        late_ms = _measure_ms(first, placed)
        return f"its router passed it on {late_ms} ms after it had decided to exit; the exit cut it"
    return f"its router exited {_measure_ms(placed, first)} ms after it was placed, while it ran"


def _explain_refused(rejected: Event, ordered: Sequence[Event]) -> str | None:
    exits = list_exits(rejected, ordered)
    if not exits or not _is_before(exits[0], rejected, ordered):
        return None
    late_ms = _measure_ms(exits[0], rejected)
    status = rejected.get("status")
    has_run = "has not run" if status == _STATUS_NOT_RUN else "may have run"
    return f"refused with {status} {late_ms} ms after its router had decided to exit; it {has_run}"


def _is_before(event: Event, other: Event, ordered: Sequence[Event]) -> bool:
    return next(one for one in ordered if one is event or one is other) is event


def _measure_ms(event: Event, later: Event) -> int:
    return round((_read_clock(later) - _read_clock(event)) * 1000)


def _read_clock(event: Event) -> float:
    return float(event.get("up") or event.get("at") or 0.0)
