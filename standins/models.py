"""Data that the stand-ins receive, record and announce."""

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True, kw_only=True)
class Faults:
    """A fault that a stand-in injects into its next ``count`` requests.

    ``mode`` is one of: ``cut`` (breaks the connection within the answer), ``truncate``
    (ends a stream cleanly without its end mark), ``stall`` (pauses a stream for ``delay_s``
    after ``after_chunks`` chunks), ``wrong_id`` (echoes another request's id), ``refuse``
    (status 503, the request did not run), ``die`` (closes the connection without an answer
    after reading the request), ``late`` (waits ``delay_s`` before it answers), ``error``
    (status 500), ``double`` (sends a non-streamed answer twice on the connection).
    """

    mode: str = ""
    count: int = 0
    after_chunks: int = 3
    delay_s: float = 1.0

    def pop_next(self) -> str:
        """Return the fault for the next request, or an empty string, and decrement ``count``."""
        if self.count <= 0:
            return ""
        self.count -= 1
        return self.mode


@dataclass(slots=True, kw_only=True)
class SeenRequest:
    """One request that a stand-in received, as ``/standin/seen`` returns it."""

    request_id: str
    chat: str
    path: str
    priority: str = ""
    traceparent: str = ""
    idempotency_key: str = ""
    ran: bool = True
    finished: bool = False
    cancelled: bool = False
    cached: bool = False


@dataclass(slots=True, kw_only=True)
class EndpointIdentity:
    """The identity and properties that a stand-in endpoint announces."""

    endpoint_id: str
    incarnation: int
    kind: str
    service: str
    region: str
    zone: str
    capacity: int
    models: list[str] = field(default_factory=list)

    def make_announcement(self, *, address: str, state: str, lease_s: float) -> dict[str, Any]:
        """Return the announcement as a JSON object."""
        return {
            "id": self.endpoint_id,
            "incarnation": self.incarnation,
            "lease_s": lease_s,
            "state": state,
            "kind": self.kind,
            "service": self.service,
            "address": f"http://{address}",
            "region": self.region,
            "zone": self.zone,
            "capacity": self.capacity,
            "models": self.models,
        }
