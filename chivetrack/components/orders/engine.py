"""What the order desk remembers of one engine, within one term of the lease."""

from dataclasses import dataclass, field
from enum import StrEnum

from chivetrack.components.orders.models import (
    Artifact,
    EngineState,
    EngineTarget,
    OrderRequest,
)


class EngineQueryPhase(StrEnum):
    """What the desk waits for.

    From every end of an order the way leads to ``UNKNOWN``: what the engine has is
    asked, never concluded from an answer or its absence.
    """

    UNKNOWN = "unknown"
    QUERYING = "asking"
    KNOWN = "known"
    ORDERING = "ordering"


@dataclass(slots=True, kw_only=True)
class EngineRecord:
    """One engine; ``open_id`` names the ask or order that is open until ``open_until``.

    ``granted`` may be loaded next, once the state is fresh.
    ``is_fenced_out``: it has seen a higher number than the one that this term has.
    ``sent`` holds the ids of one-time orders that may have reached it.
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
        """Return to not knowing."""
        self.phase = EngineQueryPhase.UNKNOWN
        self.open_id = ""

    def record_sent(self, order_id: str) -> None:
        """Remember that a one-time order may have reached the engine."""
        if any(request.request_id == order_id for request in self.requests):
            self.sent.add(order_id)

    def may_have_received(self, request: OrderRequest) -> bool:
        """Tell whether a one-time order may have reached the engine."""
        return request.request_id in self.sent or request.request_id == self.open_id

    def replace_target(self, target: EngineTarget) -> None:
        """Take the newest announcement; another incarnation holds nothing that is known."""
        if target.incarnation != self.target.incarnation:
            self.invalidate_state()
            self.state = None
            self.granted = None
            self.is_fenced_out = False
        self.target = target
