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
    """Asks the limiter for each request, and gives the turns of those that waited.

    What the limiter decides about others while one request is looked at is kept until
    ``pop_queue_exits``: the chain is in the middle of that one request.
    """

    def __init__(self, *, limiter: Limiter, limits: LimitSource) -> None:
        """Take the limiter and the configured limits."""
        self._limiter = limiter
        self._limits = limits
        self._configured: dict[str, WorkspaceLimit | None] = {}
        self._waiting: set[str] = set()
        self._queue_exits: list[QueueLeft] = []

    def admit(self, exchange: Exchange, *, now: float) -> Fault | bool:
        """Let a request in, have it wait, or refuse it at once."""
        assert exchange.workspace is not None
        self._configure(exchange.workspace, now)
        request = LimitedRequest(
            request_id=exchange.request_id,
            workspace=exchange.workspace.name,
            deadline=exchange.deadline,
            # Engines take the lower number first, the limiter's queue the higher one.
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
        """Take in that a request is over, or has left the queue."""
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
        """Return whose turn has come, or who was given up, since the last call."""
        turns, self._queue_exits = self._queue_exits, []
        return turns

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Look at the queue; when to look next is ``find_due``'s to say."""
        if isinstance(event, TimeReached):
            self._handle_decisions(self._limiter.advance(now))
        return []

    def find_due(self, now: float) -> float | None:
        """Return when to look at the queue next."""
        return self._limiter.find_due(now)


def _get_decision(effect: Effect, request_id: str) -> Fault | bool | None:
    if isinstance(effect, Admit) and effect.request_id == request_id:
        return True
    if isinstance(effect, Shed) and effect.request_id == request_id:
        return effect.fault
    return None
