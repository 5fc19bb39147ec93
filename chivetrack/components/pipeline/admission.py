"""Connects the filter chain with the limiter."""

from collections.abc import Sequence
from typing import Protocol

from chivetrack.components.limits.limiter import Limiter
from chivetrack.components.limits.models import Admit, LimitedRequest, Shed, WorkspaceLimit
from chivetrack.components.pipeline.models import Exchange, QueueLeft, WorkspaceView
from chivetrack.core import Effect, Event, TimeReached
from chivetrack.exceptions import Fault


class LimitSource(Protocol):
    """Where the limits of a workspace come from."""

    def find_limit(self, workspace: WorkspaceView) -> WorkspaceLimit | None:
        """Return the limits in force for a workspace."""
        ...


class AdmissionControl:
    """Submits requests to the limiter and reports when queued requests leave its queue.

    A call to the limiter for one request may also decide on queued ones. Those decisions are
    kept until ``pop_queue_exits``, because the filter chain is still processing the first
    request.
    """

    def __init__(self, *, limiter: Limiter, limits: LimitSource) -> None:
        """Initialize with the limiter and the configured limits."""
        self._limiter = limiter
        self._limits = limits
        self._configured: dict[str, WorkspaceLimit | None] = {}
        self._waiting: set[str] = set()
        self._queue_exits: list[QueueLeft] = []

    def admit(self, exchange: Exchange, *, now: float) -> Fault | bool:
        """Return ``True`` if a request is admitted, ``False`` if queued, or the refusal."""
        assert exchange.workspace is not None
        self._configure(exchange.workspace, now)
        request = LimitedRequest(
            request_id=exchange.request_id,
            workspace=exchange.workspace.name,
            deadline=exchange.deadline,
            # Engines serve the lowest number first, the limiter's queue the highest.
            priority=-exchange.priority,
        )
        decision: Fault | bool = False
        for effect in self._limiter.submit(request, now):
            own = _get_decision(effect, exchange.request_id)
            if own is None:
                self._handle_decision(effect)
            else:
                decision = own
        if decision is False:
            self._waiting.add(exchange.request_id)
        return decision

    def _configure(self, workspace: WorkspaceView, now: float) -> None:
        limit = self._limits.find_limit(workspace)
        if self._configured.get(workspace.name) != limit:
            self._configured[workspace.name] = limit
            self._limiter.configure(workspace.name, limit, now)

    def _handle_decision(self, effect: Effect) -> None:
        if not isinstance(effect, Admit | Shed) or effect.request_id not in self._waiting:
            return
        self._waiting.remove(effect.request_id)
        fault = effect.fault if isinstance(effect, Shed) else None
        self._queue_exits.append(QueueLeft(request_id=effect.request_id, fault=fault))

    def release(self, exchange: Exchange, *, now: float) -> None:
        """Release the slot of a request that has ended, or remove it from the queue."""
        request_id = exchange.request_id
        if request_id in self._waiting:
            self._waiting.remove(request_id)
            self._limiter.cancel(request_id)
            return
        self._handle_decisions(self._limiter.finish(request_id, now))

    def _handle_decisions(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            self._handle_decision(effect)

    def pop_queue_exits(self) -> list[QueueLeft]:
        """Return the requests that were admitted from the queue or shed since the last call."""
        exits, self._queue_exits = self._queue_exits, []
        return exits

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Process the queue on ``TimeReached``; ``find_due`` returns when that is next due."""
        if isinstance(event, TimeReached):
            self._handle_decisions(self._limiter.advance(now))
        return []

    def find_due(self, now: float) -> float | None:
        """Return when to process the queue next, or ``None`` if it is empty."""
        return self._limiter.find_due(now)


def _get_decision(effect: Effect, request_id: str) -> Fault | bool | None:
    if isinstance(effect, Admit) and effect.request_id == request_id:
        return True
    if isinstance(effect, Shed) and effect.request_id == request_id:
        return effect.fault
    return None
