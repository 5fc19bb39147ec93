"""Reconstructs the way of a stream over a caller's requests, endpoints and software versions."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from chivetrack.components.stories.exits import Event


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamStep:
    """One placement of a stream, or its refusal.

    ``after_event`` is the last event that the caller had before, empty at the beginning of the
    stream. ``known_by`` tells how the router knew the version that began it, or why it did not.
    """

    request: str
    instance: str
    endpoint: str
    software: str
    after_event: str
    known_by: str

    def describe(self) -> str:
        """Return the step as a line of text."""
        where = f"{self.request} at {self.instance}"
        if not self.endpoint:
            return f"{where}: refused after event {self.after_event} ({self.known_by})"
        version = f"version {self.software or 'unknown'} on {self.endpoint}"
        if not self.after_event:
            return f"{where}: placed at {version}"
        return f"{where}: goes on after event {self.after_event} at {version} ({self.known_by})"


def list_steps(request: str, ordered: Sequence[Event]) -> tuple[StreamStep, ...]:
    """Return the steps of the stream that a request belongs to, empty if nothing continues it."""
    steps = tuple(_list_steps(_find_first_request(request, ordered), ordered))
    return steps if any(step.after_event for step in steps) else ()


def _find_first_request(request: str, ordered: Sequence[Event]) -> str:
    """Return the id of the request that brought the first event of a request's stream."""
    named = (event["resumes"] for event in ordered if _is_of(request, event) and _resumes(event))
    return str(next(named, request))


def _is_of(request: str, event: Event) -> bool:
    return event.get("request") == request


def _resumes(event: Event) -> str:
    return str(event.get("resumes") or "")


def _list_steps(first: str, ordered: Sequence[Event]) -> Iterator[StreamStep]:
    for event in ordered:
        if not (_is_of(first, event) or _resumes(event) == first):
            continue
        if event["event"] == "request_placed":
            yield _make_step(event, known_by=event.get("known_by"))
        elif event["event"] == "stream_refused":
            yield _make_step(event, known_by=event.get("why"))


def _make_step(event: Event, *, known_by: object) -> StreamStep:
    return StreamStep(
        request=str(event.get("request")),
        instance=str(event.get("instance")),
        endpoint=str(event.get("endpoint") or ""),
        software=str(event.get("software") or ""),
        after_event=str(event.get("last_event") or ""),
        known_by=str(known_by or "unknown"),
    )
