"""What the stand-ins are told and what they tell."""

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True, kw_only=True)
class Faults:
    """Faults that a stand-in plays; each applies to the next ``count`` requests.

    ``mode`` is one of: ``cut`` (the connection dies in mid-answer), ``truncate``
    (a stream that ends cleanly without its end mark), ``stall`` (silent after some
    chunks), ``wrong_id`` (echoes another request's id), ``refuse`` (503, did not
    run), ``die`` (closes without an answer after reading the request), ``late``
    (waits ``delay_s`` before it answers), ``error`` (status 500), ``double`` (sends a
    whole answer a second time on the connection).
    """

    mode: str = ""
    count: int = 0
    after_chunks: int = 3
    delay_s: float = 1.0

    def pop_next(self) -> str:
        """Return the fault for one request, and count it."""
        if self.count <= 0:
            return ""
        self.count -= 1
        return self.mode


@dataclass(slots=True, kw_only=True)
class SeenRequest:
    """One request that a stand-in received, for tests to look at."""

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
    """Who a stand-in announces itself to be."""

    endpoint_id: str
    incarnation: int
    kind: str
    service: str
    region: str
    zone: str
    capacity: int
    models: list[str] = field(default_factory=list)

    def make_announcement(self, *, address: str, state: str, lease_s: float) -> dict[str, Any]:
        """Return the announcement as JSON would have it."""
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
