"""State that the order handler keeps for one engine during one term of the lease."""

from dataclasses import dataclass, field
from enum import StrEnum

from chivetrack.components.orders.models import (
    Artifact,
    EngineState,
    EngineTarget,
    OrderRequest,
)


class EngineQueryPhase(StrEnum):
    """Phase of the cycle of querying an engine and sending it an order.

    After each order the phase is ``UNKNOWN`` again: the engine's state is always queried,
    never inferred from a response or from its absence.
    """

    UNKNOWN = "unknown"
    QUERYING = "asking"
    KNOWN = "known"
    ORDERING = "ordering"


@dataclass(slots=True, kw_only=True)
class EngineRecord:
    """State of one engine.

    ``open_id`` is the id of the query or order that is pending until ``open_until``.
    ``granted`` is the artifact that has been admitted for loading and may be loaded once
    the state is fresh. ``is_fenced_out`` means that the engine has seen a higher fencing
    number than that of this term. ``sent`` holds the ids of one-time orders that may have
    reached the engine.
    """

    target: EngineTarget
    phase: EngineQueryPhase = EngineQueryPhase.UNKNOWN
    state: EngineState | None = None
    state_at: float = float("-inf")
    open_id: str = ""
    open_until: float = float("-inf")
    is_fenced_out: bool = False
    granted: Artifact | None = None
    requests: list[OrderRequest] = field(default_factory=list)
    sent: set[str] = field(default_factory=set)

    def invalidate_state(self) -> None:
        """Mark the state as unknown, so that it is queried again."""
        self.phase = EngineQueryPhase.UNKNOWN
        self.open_id = ""

    def record_sent(self, order_id: str) -> None:
        """Record that a one-time order may have reached the engine."""
        if any(request.request_id == order_id for request in self.requests):
            self.sent.add(order_id)

    def may_have_received(self, request: OrderRequest) -> bool:
        """Return whether a one-time order may have reached the engine."""
        return request.request_id in self.sent or request.request_id == self.open_id

    def replace_target(self, target: EngineTarget) -> None:
        """Apply the newest announcement; a new incarnation invalidates the known state."""
        if target.incarnation != self.target.incarnation:
            self.invalidate_state()
            self.state = None
            self.granted = None
            self.is_fenced_out = False
        self.target = target
