"""Orders the logged events of one request and derives the cause of its end."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from chivetrack.components.stories.exits import (
    Event,
    explain_exit,
    find_unanswered,
    list_exits,
)
from chivetrack.components.stories.streams import StreamStep, list_steps
from chivetrack.helpers.registry import Registry

Cause = Callable[[Event], str]

# Context events of an instance are included from this long before the first event of a
# request until its last event: a change of state shortly before may explain its end.
CONTEXT_WINDOW_S = 10.0
# The exit of an instance is included until this long after the last event of a request.
EXIT_WINDOW_S = 10.0
_CONTEXT_EVENTS = frozenset(
    (
        "configuration_in_force",
        "configuration_asked_elsewhere",
        "replica_followed",
        "endpoint_changed",
        "evacuation_in_force",
        "breaker_changed",
        "path_changed",
        "started",
        "stopping",
        "lines_left_out",
        "lines_dropped",
    )
)
_REFUSALS = frozenset(("request_rejected", "stream_refused"))
_DECISIVE_REASONS = frozenset(
    ("no_endpoint_of_version", "version_unconfirmed", "no_budget", "suspected")
)
_HIDDEN = frozenset(("at", "up", "instance", "event", "request"))

CAUSES: Registry[Cause] = Registry(name="cause")


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestStory:
    """The events of a request in order, related events, and the cause of its end.

    ``context`` holds the events of the involved instances that may explain its end, such
    as changes of state. ``timeline`` holds both, in order. ``steps`` are those of the stream that
    the request belongs to, if a router or the caller continued it.
    """

    request: str
    events: tuple[Event, ...]
    context: tuple[Event, ...]
    timeline: tuple[Event, ...]
    cause: str
    steps: tuple[StreamStep, ...] = ()


def read_events(lines: Iterable[str]) -> list[Event]:
    """Return the events in log lines; prefixes and lines without an event are ignored."""
    events: list[Event] = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            event = msgspec.json.decode(line[start:].strip())
        except msgspec.MsgspecError:
            continue
        if isinstance(event, dict) and isinstance(event.get("event"), str):
            events.append(event)
    return events


def build_story(request: str, events: Iterable[Event]) -> RequestStory | None:
    """Build the story of a request; return ``None`` if no event has its id."""
    ordered = sorted(events, key=_get_position)
    own = [event for event in ordered if event.get("request") == request]
    if not own:
        return None
    # What a carrier logs of a request says nothing of its end, nor does the carrier's own exit.
    decisive = [event for event in own if event["event"] != "connection_carried"] or own
    instances = {event.get("instance") for event in decisive}
    first, last = float(own[0].get("at", 0.0)), float(own[-1].get("at", 0.0))
    context = [
        event
        for event in ordered
        if event["event"] in _CONTEXT_EVENTS
        and event.get("instance") in instances
        and first - CONTEXT_WINDOW_S <= float(event.get("at", 0.0)) <= last
    ]
    context += _list_exits_near(decisive, ordered)
    shown = {id(event) for event in (*own, *context)}
    return RequestStory(
        request=request,
        events=tuple(own),
        context=tuple(sorted(context, key=_get_position)),
        timeline=tuple(event for event in ordered if id(event) in shown),
        cause=_find_cause(decisive, explain_exit(decisive, ordered)),
        steps=list_steps(request, ordered),
    )


def _list_exits_near(own: list[Event], ordered: list[Event]) -> list[Event]:
    """Return the exit events that may concern a request: all of them if its end is unknown."""
    first, last = own[0], own[-1]
    exits = list_exits(last, ordered)
    if find_unanswered(own) is not None:
        return exits
    earliest = float(first.get("at", 0.0)) - CONTEXT_WINDOW_S
    latest = float(last.get("at", 0.0)) + EXIT_WINDOW_S
    return [event for event in exits if earliest <= float(event.get("at", 0.0)) <= latest]


def _get_position(event: Event) -> tuple[float, float]:
    # Events of one instance with equal wall-clock times are ordered by its monotonic clock.
    return (float(event.get("at", 0.0)), float(event.get("up", 0.0)))


def _find_cause(events: list[Event], exit_cause: str | None) -> str:
    cause = (exit_cause or _explain_last(events)) + _explain_way(events)
    attempts = [event for event in events if event["event"] == "try_ended"]
    if cause.startswith(("answered", "endpoint")) or not attempts:
        return cause
    return f"{cause}; {_explain_attempt(attempts[-1])}"


def _explain_way(events: list[Event]) -> str:
    """Return through which other routers a request went to its endpoints."""
    carriers = [str(one.get("carrier")) for one in events if one["event"] == "request_carried"]
    return f", carried by {', '.join(dict.fromkeys(carriers))}" if carriers else ""


def _explain_last(events: list[Event]) -> str:
    last = next((event for event in reversed(events) if event["event"] in CAUSES), None)
    if last is None:
        return "no event shows how it ended; the process may have crashed"
    rejected = [event for event in events if _is_refusal(event)]
    if rejected and last["event"] == "request_ended":
        return CAUSES[rejected[-1]["event"]](rejected[-1])
    return CAUSES[last["event"]](last)


def _is_refusal(event: Event) -> bool:
    is_given_up = event["event"] == "request_given_up" and event.get("why") in _DECISIVE_REASONS
    return is_given_up or event["event"] in _REFUSALS


def format_event(event: Event) -> str:
    """Format an event as one human-readable line."""
    fields = [f"{key}={value}" for key, value in event.items() if key not in _HIDDEN]
    at = float(event.get("at", 0.0))
    return f"{at:.3f} {event.get('instance', '?')} {event['event']} {' '.join(fields)}"


@CAUSES.register("request_rejected")
def _explain_rejected(event: Event) -> str:
    code = event.get("code")
    if code in ("unknown_route", "unknown_key"):
        return f"{code} under version {event.get('version')} of the configuration on this router"
    if code == "request_quarantined":
        return _explain_quarantined(event)
    return f"rejected by the router itself: {code}"


def _explain_quarantined(event: Event) -> str:
    crashed = event.get("crashed")
    endpoints = ", ".join(map(str, crashed)) if isinstance(crashed, list) else "endpoints"
    what = f"requests with the part {event['part']}" if event.get("part") else "it"
    return f"quarantined: {endpoints} crashed under {what}"


@CAUSES.register("stream_refused")
def _explain_stream_refused(event: Event) -> str:
    causes = {
        "no_record": "several versions may have begun it, and no replica has a record of it",
        "no_majority": "too few replicas answered in time",
        "other_service": "its route no longer leads to the service that began it",
    }
    why = causes.get(str(event.get("why")), event.get("why"))
    return f"the stream does not go on, it has not run: {why}"


@CAUSES.register("connection_carried")
def _explain_carried(event: Event) -> str:
    return f"only carried by {event.get('instance')}; its router's log tells how it ended"


@CAUSES.register("request_given_up")
def _explain_abandoned(event: Event) -> str:
    if event.get("why") == "no_candidate" and not event.get("tries"):
        return (
            f"no endpoint could be chosen; {event.get('candidates')} are known to be ready"
            f"{_explain_zones(event)}"
        )
    if event.get("why") == "no_endpoint_of_version":
        return f"no endpoint of version {event.get('began_at')} is left, at which the stream began"
    if event.get("why") == "version_unconfirmed":
        return "too few replicas have confirmed the versions at which the stream could begin"
    if event.get("why") == "no_budget":
        return f"{event.get('tries')} tries failed and the retry budget of the fleet had no room"
    if event.get("why") == "suspected":
        return "several endpoints crashed under it or under a part of it, so it was not sent again"
    return f"{event.get('tries')} tries failed and no further one was allowed"


def _explain_zones(event: Event) -> str:
    zones = event.get("evacuated")
    return f" outside the evacuated zones {', '.join(map(str, zones))}" if zones else ""


@CAUSES.register("try_ended")
def _explain_attempt(event: Event) -> str:
    return f"endpoint {event.get('endpoint')}: {event.get('outcome')} ({event.get('detail')})"


@CAUSES.register("request_ended")
def _explain_ended(event: Event) -> str:
    outcome = event.get("outcome")
    if outcome == "answered" and int(event.get("status") or 0) < 400:
        return f"answered with {event.get('status')} after {event.get('ms')} ms"
    if outcome == "answered":
        return f"ended with status {event.get('status')} after {event.get('tries')} tries"
    if outcome == "cut_by_stop":
        return _explain_cut_by_stop(event)
    causes = {
        "timeout": "the deadline of the caller or the route expired",
        "cut": "the answer broke off and could not go on elsewhere",
        "caller_left": "the caller closed its connection",
    }
    return f"{causes.get(str(outcome), outcome)} after {event.get('ms')} ms"


def _explain_cut_by_stop(event: Event) -> str:
    status = int(event.get("status") or 0)
    causes = {
        0: "without an answer",
        502: "before its answer began: 502, it may have run",
        503: "before it was sent: 503, it has not run",
    }
    cause = causes.get(status, "before the answer was complete")
    return f"its router stopped after {event.get('ms')} ms, {cause}"
