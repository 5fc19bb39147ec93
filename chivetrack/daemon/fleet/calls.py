"""A caller's request and the reply to it."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.origins.models import Origin, OriginBasis, OriginVerdict
from chivetrack.components.placement.placement import Placed
from chivetrack.components.quarantine.const import (
    MAX_PART_LENGTH,
    MAX_PARTS,
    MAX_PATH_LENGTH,
)
from chivetrack.components.quarantine.fingerprint import make_part_fingerprint
from chivetrack.components.quarantine.models import CrashReport
from chivetrack.components.retries.sending import SendAttempt, SendEnd
from chivetrack.components.retries.service_budgets import Reservation
from chivetrack.components.traffic.models import Route, RouteKind, Workspace
from chivetrack.components.traffic.requests import RequestFacts
from chivetrack.components.upstream.models import Framing
from chivetrack.exceptions import Fault

StartResponse = Callable[[str, list[tuple[str, str]]], Callable[[bytes], Any]]

# Engines support ten priorities, 0 to 9.
MAX_PRIORITY = 9

STATUS_REASONS: Mapping[int, str] = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    421: "Misdirected Request",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadyAnswer:
    """A whole answer of an endpoint, with the headers that callers get."""

    status: int
    headers: Sequence[tuple[str, str]]
    body: bytes


class Reply:
    """The reply to one caller; status and headers are sent once."""

    def __init__(self, *, start_response: StartResponse) -> None:
        """Store the WSGI server's ``start_response``."""
        self._start_response = start_response
        self._write: Callable[[bytes], Any] | None = None
        self.bytes_sent = 0
        self.status = 0

    @property
    def is_started(self) -> bool:
        """Return whether status and headers are decided."""
        return self._write is not None

    def start(self, status: int, headers: Sequence[tuple[str, str]], reason: str = "") -> None:
        """Set status and headers; they are sent with the first bytes of the body."""
        line = f"{status} {reason or STATUS_REASONS.get(status, 'Status')}"
        self.status = status
        self._write = self._start_response(line, list(headers))

    def write(self, data: bytes) -> None:
        """Send bytes of the body without buffering."""
        assert self._write is not None
        self._write(data)
        self.bytes_sent += len(data)

    def send(self, status: int, headers: Sequence[tuple[str, str]], body: bytes) -> None:
        """Send a complete reply with its length."""
        framed = [*headers, ("Content-Length", str(len(body)))]
        self.start(status, framed)
        self.write(body)

    def refuse(self, fault: Fault) -> None:
        """Send a fault as the reply."""
        headers = [("Content-Type", "application/json")]
        if fault.retry_after_s is not None:
            headers.append(("Retry-After", f"{fault.retry_after_s:.2f}"))
        error = {"code": fault.code, "message": fault.message, "ran": fault.ran.value}
        self.send(fault.status, headers, msgspec.json.encode({"error": error}))


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestEnd:
    """What the metrics count of a request; times are in seconds since it came.

    It holds nothing of the request itself: records wait until the metrics are first read.
    """

    kind: str
    service: str
    workspace: str
    outcome: str
    status: int
    took_s: float
    first_event_s: float | None
    framing: Framing | None


@dataclass(slots=True, kw_only=True)
class Call:
    """One request in flight; times are monotonic, in seconds.

    ``passed_over`` are cold endpoints without a permit for this request at the moment.
    ``fingerprint`` is equal for requests with the same method, target, workspace and body.
    ``connected_at`` is the time when the caller opened its connection. ``origin`` is where the
    stream began, ``None`` before its first event; from then on only endpoints of that version may
    continue it. ``origin_basis`` and ``origin_age_s`` tell how it is known. ``failure`` is the
    newest answer with an error that was held back for a retry, ``reservation`` the retry that may
    be sent next, ``answer_began_at`` when the endpoint of the newest attempt began its answer.
    ``is_sound``: such an answer went on. ``framing``: what marks the end of the newest answer of
    an endpoint, ``None`` without one.
    """

    facts: RequestFacts
    route: Route
    workspace: Workspace | None
    method: str
    target: str
    headers: Sequence[tuple[str, str]]
    body: bytes
    reply: Reply
    came_at: float
    ends_at: float
    service: str
    connected_at: float = 0.0
    fingerprint: bytes = b""
    attempts: list[SendAttempt] = field(default_factory=list)
    last_event_id: str = ""
    first_event_at: float | None = None
    origin: Origin | None = None
    origin_basis: OriginBasis | None = None
    origin_age_s: float = 0.0
    placed: Placed | None = None
    passed_over: set[str] = field(default_factory=set)
    failure: ReadyAnswer | None = None
    reservation: Reservation | None = None
    answer_began_at: float | None = None
    is_sound: bool = False
    framing: Framing | None = None

    @property
    def is_taken_up(self) -> bool:
        """Return whether the caller takes up a stream of which it has events."""
        return self.route.kind is RouteKind.STREAM and bool(self.facts.last_event_id)

    def deliver_failure(self) -> bool:
        """Send the answer that was held back, if there is one; return whether it was sent."""
        if self.failure is None or self.reply.is_started:
            return False
        self.reply.send(self.failure.status, self.failure.headers, self.failure.body)
        return True

    def begin_stream(self, record: EndpointRecord) -> bool:
        """Set the origin when an endpoint makes the first event; return whether it was not set."""
        if self.origin is not None:
            return False
        self.origin = Origin(record.service, record.software)
        self.origin_basis = OriginBasis.OWN
        return True

    def take_up(self, verdict: OriginVerdict) -> None:
        """Set the origin of a stream that the caller takes up."""
        assert verdict.origin is not None
        self.origin, self.service = verdict.origin, verdict.origin.service
        self.origin_basis, self.origin_age_s = verdict.basis, verdict.age_s

    def list_fingerprints(self) -> list[bytes]:
        """Return the fingerprints of the request and of the shared parts of its prompt."""
        return [self.fingerprint, *self._fingerprint_parts().values()]

    def _fingerprint_parts(self) -> dict[str, bytes]:
        return {
            part.part_id: make_part_fingerprint(service=self.service, part=part.part_id)
            for part in self.facts.shared_parts[:MAX_PARTS]
        }

    def make_crash_reports(self, record: EndpointRecord) -> list[CrashReport]:
        """Return reports that this request and its parts were running when the endpoint crashed."""
        whole = CrashReport(
            fingerprint=self.fingerprint,
            endpoint_id=record.endpoint_id,
            born=record.born,
            service=self.service,
            path=self.target[:MAX_PATH_LENGTH],
            workspace="" if self.workspace is None else self.workspace.name,
            request=self.fingerprint,
        )
        parts = [
            msgspec.structs.replace(whole, fingerprint=fingerprint, part=part[:MAX_PART_LENGTH])
            for part, fingerprint in self._fingerprint_parts().items()
        ]
        return [whole, *parts]

    def mark_not_sent(self) -> None:
        """Record that the newest attempt ends before a byte of it was sent."""
        if self.attempts:
            endpoint_id = self.attempts.pop().endpoint_id
            self.attempts.append(SendAttempt(endpoint_id=endpoint_id, end=SendEnd.NOT_SENT))

    def make_end(self, outcome: str, *, now: float) -> RequestEnd:
        """Return what is counted of this request, which has ended at ``now`` (s, monotonic)."""
        began_at = self.first_event_at
        return RequestEnd(
            kind=self.route.kind.value,
            service=self.service,
            workspace="" if self.workspace is None else self.workspace.name,
            outcome=outcome,
            status=self.reply.status,
            took_s=now - self.came_at,
            first_event_s=None if began_at is None else began_at - self.came_at,
            framing=self.framing,
        )

    @property
    def priority(self) -> int:
        """Return the priority at the engine, 0 is first; the workspace overrides the route."""
        of_workspace = None if self.workspace is None else self.workspace.priority
        priority = self.route.priority if of_workspace is None else of_workspace
        return min(MAX_PRIORITY, max(0, priority))
