"""The limiter admits requests, holds them in a bounded queue or sheds them at once."""

from dataclasses import dataclass
from random import Random

from chivetrack.components.limits.const import MAX_QUEUED, MIN_GATES_TO_PRUNE, TICK_S
from chivetrack.components.limits.faults import make_fault
from chivetrack.components.limits.gate import Cause, WaitEstimate, WorkspaceGate
from chivetrack.components.limits.models import (
    Admit,
    LimitedRequest,
    Shed,
    Wait,
    WorkspaceLimit,
)
from chivetrack.components.limits.queue import FairQueue
from chivetrack.components.limits.service import ServiceTimes
from chivetrack.components.limits.shares import ShareTracker
from chivetrack.core import Effect

_NO_LIMIT = WorkspaceLimit()


@dataclass(frozen=True, slots=True)
class _Running:
    workspace: str
    started_at: float


class Limiter:
    """Admission control of one router.

    Every request gets exactly one ``Admit`` or ``Shed``, with at most one ``Wait`` before
    it. An infeasible request (it cannot finish before its deadline) is shed as soon as
    that is known, not when the deadline has passed.
    """

    def __init__(
        self,
        *,
        shares: ShareTracker,
        random: Random,
        capacity: int,
        queue_capacity: int = MAX_QUEUED,
    ) -> None:
        """Allow ``capacity`` requests at once; ``random`` is used for ``Retry-After`` jitter."""
        self._shares = shares
        self._random = random
        self._capacity = capacity
        self._queue = FairQueue(capacity=queue_capacity)
        self._service = ServiceTimes()
        self._gates: dict[str, WorkspaceGate] = {}
        self._prune_above = MIN_GATES_TO_PRUNE
        self._limits: dict[str, WorkspaceLimit] = {}
        self._running: dict[str, _Running] = {}

    @property
    def queued(self) -> int:
        """Return how many requests are queued."""
        return len(self._queue)

    def configure(self, workspace: str, limit: WorkspaceLimit | None, now: float) -> None:
        """Set or remove a workspace's limits."""
        if limit is None:
            self._limits.pop(workspace, None)
        else:
            self._limits[workspace] = limit
        gate = self._gates.get(workspace)
        if gate is not None:
            gate.configure(limit or _NO_LIMIT, now)

    def set_capacity(self, capacity: int) -> None:
        """Change how many requests may run at once."""
        self._capacity = max(capacity, 1)

    def submit(self, request: LimitedRequest, now: float) -> list[Effect]:
        """Decide on a new request."""
        # Demands are broadcast to all routers, so only workspaces with limits are counted.
        if request.workspace in self._limits:
            self._shares.record_request(request.workspace, now)
        effects = self.advance(now)
        estimate = self._estimate(request, now)
        if estimate.cause is Cause.NOTHING:
            return [*effects, self._admit(request, now)]
        # Shed now, while the caller still has time to send the request elsewhere.
        if now + estimate.seconds + self._service.mean_s > request.deadline:
            return [*effects, self._shed(request, estimate)]
        if self._queue.is_full:
            surplus = self._queue.pop_surplus(request)
            if surplus is None:
                return [*effects, self._shed(request, estimate)]
            effects.append(self._shed(surplus, estimate))
        self._queue.push(request, weight=self._find_gate(request.workspace, now).limit.weight)
        return [*effects, Wait(request_id=request.request_id, estimate_s=estimate.seconds)]

    def finish(self, request_id: str, now: float) -> list[Effect]:
        """Count an admitted request as ended, whatever its outcome."""
        running = self._running.pop(request_id, None)
        if running is None:
            return []
        self._gates[running.workspace].running -= 1
        self._service.record(now - running.started_at)
        return self.advance(now)

    def cancel(self, request_id: str) -> None:
        """Remove a queued request whose caller has disconnected."""
        self._queue.pop_where(lambda request: request.request_id == request_id)

    def advance(self, now: float) -> list[Effect]:
        """Shed queued requests that have become infeasible and admit those that may run."""
        if not len(self._queue):
            return []
        late = self._queue.pop_where(lambda request: now + self._service.mean_s > request.deadline)
        estimate = WaitEstimate(self._service.mean_s, Cause.CAPACITY)
        effects: list[Effect] = [self._shed(request, estimate) for request in late]
        while len(self._running) < self._capacity:
            request = self._queue.pop(lambda workspace: self._is_eligible(workspace, now))
            if request is None:
                break
            effects.append(self._admit(request, now))
        return effects

    def find_due(self, now: float) -> float | None:
        """Return when to call ``advance`` next, or ``None`` if the queue is empty."""
        return now + TICK_S if len(self._queue) else None

    def _is_eligible(self, workspace: str, now: float) -> bool:
        gate = self._find_gate(workspace, now)
        return gate.estimate(0, self._service.mean_s, now).cause is Cause.NOTHING

    def _estimate(self, request: LimitedRequest, now: float) -> WaitEstimate:
        mean_s = self._service.mean_s
        queued = self._queue.count(request.workspace)
        own = self._find_gate(request.workspace, now).estimate(queued, mean_s, now)
        if len(self._running) < self._capacity:
            return own
        ahead = self._queue.count_ahead(request, share=self._get_turn_share(request.workspace, now))
        wait = (ahead + 1.0) * mean_s / self._capacity
        return own if own.seconds >= wait else WaitEstimate(wait, Cause.CAPACITY)

    def _get_turn_share(self, workspace: str, now: float) -> float:
        """Return a workspace's weight as a fraction of the weights of all that wait."""
        waiting = self._queue.list_workspaces() | {workspace}
        weights = {name: self._find_gate(name, now).limit.weight for name in waiting}
        return weights[workspace] / sum(weights.values())

    def _find_gate(self, workspace: str, now: float) -> WorkspaceGate:
        gate = self._gates.get(workspace)
        if gate is None:
            self._prune(now)
            limit = self._limits.get(workspace, _NO_LIMIT)
            gate = WorkspaceGate(workspace=workspace, limit=limit, shares=self._shares, now=now)
            self._gates[workspace] = gate
        return gate

    def _prune(self, now: float) -> None:
        """Drop the gates of idle workspaces, which equal new ones, to bound memory."""
        if len(self._gates) < self._prune_above:
            return
        self._gates = {name: g for name, g in self._gates.items() if not g.is_idle(now)}
        self._prune_above = max(MIN_GATES_TO_PRUNE, 2 * len(self._gates))

    def _admit(self, request: LimitedRequest, now: float) -> Admit:
        self._find_gate(request.workspace, now).start(now)
        self._running[request.request_id] = _Running(request.workspace, now)
        return Admit(request_id=request.request_id)

    def _shed(self, request: LimitedRequest, estimate: WaitEstimate) -> Shed:
        return Shed(request_id=request.request_id, fault=make_fault(estimate, self._random))
