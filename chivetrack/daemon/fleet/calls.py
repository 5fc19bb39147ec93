"""A caller's request and the way back to the caller."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.placement.placement import Placed
from chivetrack.components.quarantine.const import MAX_PATH_LENGTH
from chivetrack.components.quarantine.models import CrashReport
from chivetrack.components.retries.sending import Tried
from chivetrack.components.traffic.models import Route, Workspace
from chivetrack.components.traffic.requests import RequestFacts
from chivetrack.exceptions import Fault

StartResponse = Callable[[str, list[tuple[str, str]]], Callable[[bytes], Any]]

# Engines know ten ranks.
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


class Reply:
    """The answer to one caller; its head goes out once."""

    def __init__(self, *, start_response: StartResponse) -> None:
        """Take the server's way to begin an answer."""
        self._start_response = start_response
        self._write: Callable[[bytes], Any] | None = None
        self.bytes_sent = 0
        self.status = 0

    @property
    def is_started(self) -> bool:
        """Return whether the head is out."""
        return self._write is not None

    def start(self, status: int, headers: Sequence[tuple[str, str]], reason: str = "") -> None:
        """Begin the answer; the head goes out with the first bytes."""
        line = f"{status} {reason or STATUS_REASONS.get(status, 'Status')}"
        self.status = status
        self._write = self._start_response(line, list(headers))

    def write(self, data: bytes) -> None:
        """Send bytes of the body on at once."""
        assert self._write is not None
        self._write(data)
        self.bytes_sent += len(data)

    def send(self, status: int, headers: Sequence[tuple[str, str]], body: bytes) -> None:
        """Send a whole answer."""
        framed = [*headers, ("Content-Length", str(len(body)))]
        self.start(status, framed)
        self.write(body)

    def refuse(self, fault: Fault) -> None:
        """Send a fault as the answer."""
        headers = [("Content-Type", "application/json")]
        if fault.retry_after_s is not None:
            headers.append(("Retry-After", f"{fault.retry_after_s:.2f}"))
        error = {"code": fault.code, "message": fault.message, "ran": fault.ran.value}
        self.send(fault.status, headers, msgspec.json.encode({"error": error}))


@dataclass(slots=True, kw_only=True)
class Call:
    """One request on its way; times are of the steady clock in seconds.

    ``passed_over`` are cold endpoints that may not be sent this request just now.
    ``fingerprint`` is equal for requests with the same method, target, workspace and body.
    ``connected_at`` is when the caller opened its connection.
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
    attempts: list[Tried] = field(default_factory=list)
    last_event_id: str = ""
    first_event_at: float | None = None
    placed: Placed | None = None
    passed_over: set[str] = field(default_factory=set)

    def make_crash_report(self, record: EndpointRecord) -> CrashReport:
        """Return a report that this request was running when the endpoint crashed."""
        return CrashReport(
            fingerprint=self.fingerprint,
            endpoint_id=record.endpoint_id,
            born=record.born,
            service=self.service,
            path=self.target[:MAX_PATH_LENGTH],
            workspace="" if self.workspace is None else self.workspace.name,
        )

    @property
    def priority(self) -> int:
        """Return the rank at the engine, 0 is first; the workspace's goes before the route's."""
        given = None if self.workspace is None else self.workspace.priority
        rank = self.route.priority if given is None else given
        return min(MAX_PRIORITY, max(0, rank))
