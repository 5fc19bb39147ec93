"""Sends orders to engines while this instance holds the lease."""

from collections.abc import Callable, Iterable
from random import Random
from typing import Protocol

from chivetrack.components.controllers.backoff import Backoffs
from chivetrack.components.controllers.lease import LeaseHolder
from chivetrack.components.orders import const
from chivetrack.components.orders.engine import EngineQueryPhase, EngineRecord
from chivetrack.components.orders.models import (
    Artifact,
    ArtifactPhase,
    EngineAnswered,
    EngineState,
    EngineTarget,
    Order,
    OrderEnded,
    OrderOutcome,
    OrderRequest,
    QueryEngine,
    SendOrder,
)
from chivetrack.components.orders.planning import find_step, is_busy
from chivetrack.components.orders.requests import (
    abandon_all,
    find_next_request,
    make_failed_end,
    make_order,
    pop_ended,
)
from chivetrack.components.orders.takeover import compute_predecessor_expired_at
from chivetrack.core import Effect, Event, WakeAt


class LoadAdmission(Protocol):
    """Decides which engine may load from the weight store now."""

    def admit(self, endpoint_id: str, artifact: Artifact, *, now: float) -> bool:
        """Return whether this load may begin; called at each reconciliation until it may."""
        ...


class OrderHandler:
    """Level-triggered reconciliation of engines with their goals.

    For each engine it queries the state, sends one order and queries the state again.
    Pass events to the lease holder first and then to this handler. ``list_targets`` returns
    the engines with their current goals.
    """

    def __init__(
        self,
        *,
        lease: LeaseHolder,
        list_targets: Callable[[], Iterable[EngineTarget]],
        admission: LoadAdmission,
        random: Random,
    ) -> None:
        """Create a handler that knows no engines."""
        self._lease = lease
        self._list_targets = list_targets
        self._admission = admission
        self._query_backoffs = Backoffs(random=random)
        self._order_backoffs = Backoffs(random=random)
        self._engines: dict[str, EngineRecord] = {}
        self._term = 0
        self._sequence = 0
        self._next_reconcile_at = float("-inf")
        self._open_queries = 0

    def get_state(self, endpoint_id: str) -> EngineState | None:
        """Return the latest state of an engine in this term, ``None`` if unknown."""
        engine = self._engines.get(endpoint_id)
        return None if engine is None else engine.state

    def get_state_at(self, endpoint_id: str) -> float:
        """Return when the latest state of an engine in this term was received."""
        engine = self._engines.get(endpoint_id)
        return float("-inf") if engine is None else engine.state_at

    def read_states(self) -> dict[str, EngineState]:
        """Return the latest states of all engines in this term, by endpoint id."""
        return {
            name: engine.state for name, engine in self._engines.items() if engine.state is not None
        }

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Handle engine responses, order requests and the passage of time."""
        if not self._lease.is_held(now):
            return self._end_term(event)
        if self._lease.fencing != self._term:
            self._engines.clear()
            self._query_backoffs.clear()
            self._order_backoffs.clear()
            self._term = self._lease.fencing
            self._next_reconcile_at = now
        effects = self._handle_event(event, now)
        if now >= self._next_reconcile_at:
            self._update_targets()
            interval_s = len(self._engines) / const.RECONCILED_ENGINES_PER_S
            self._next_reconcile_at = now + max(const.MIN_RECONCILE_INTERVAL_S, interval_s)
            self._open_queries = self._count_open_queries()
            for engine in self._engines.values():
                effects.extend(self._advance(engine, now))
        effects.append(WakeAt(at=self._next_reconcile_at))
        return effects

    def _end_term(self, event: Event) -> list[Effect]:
        effects: list[Effect] = []
        for engine in self._engines.values():
            effects.extend(abandon_all(engine, "the lease was lost"))
        self._engines.clear()
        self._term = 0
        if isinstance(event, OrderRequest):
            effects.append(make_failed_end(event, "this instance does not hold the lease"))
        return effects

    def _update_targets(self) -> None:
        targets = {target.endpoint_id: target for target in self._list_targets()}
        for endpoint_id, target in targets.items():
            engine = self._engines.get(endpoint_id)
            if engine is None:
                self._engines[endpoint_id] = EngineRecord(target=target)
            elif engine.target != target:
                engine.replace_target(target)
        for endpoint_id in [name for name in self._engines if name not in targets]:
            if not self._engines[endpoint_id].requests:
                del self._engines[endpoint_id]

    def _handle_event(self, event: Event, now: float) -> list[Effect]:
        if isinstance(event, OrderRequest):
            return self._handle_request(event, now)
        if not isinstance(event, OrderEnded | EngineAnswered):
            return []
        engine = self._engines.get(event.endpoint_id)
        if engine is None:
            return []
        if isinstance(event, EngineAnswered) and event.query_id == engine.open_id:
            self._handle_state(engine, event.state, now)
        if isinstance(event, OrderEnded) and event.order_id == engine.open_id:
            self._handle_order_end(engine, event, now)
        return self._advance(engine, now)

    def _handle_request(self, request: OrderRequest, now: float) -> list[Effect]:
        engine = self._engines.get(request.endpoint_id)
        if engine is None:
            return [make_failed_end(request, f"no engine {request.endpoint_id} is known")]
        if any(known.request_id == request.request_id for known in engine.requests):
            return []
        if len(engine.requests) >= const.MAX_PENDING_REQUESTS:
            return [make_failed_end(request, "too many orders wait for this engine")]
        engine.requests.append(request)
        return self._advance(engine, now)

    def _handle_state(self, engine: EngineRecord, state: EngineState | None, now: float) -> None:
        engine.invalidate_state()
        if state is None or state.incarnation != engine.target.incarnation:
            self._query_backoffs.fail(engine.target.endpoint_id, now)
            return
        self._query_backoffs.succeed(engine.target.endpoint_id)
        engine.phase = EngineQueryPhase.KNOWN
        engine.state = state
        engine.state_at = now
        engine.is_fenced_out = state.fencing > self._term
        has_failed = any(held.phase is ArtifactPhase.FAILED for held in state.artifacts)
        if not has_failed and not is_busy(state):
            self._order_backoffs.succeed(engine.target.endpoint_id)

    def _handle_order_end(self, engine: EngineRecord, ended: OrderEnded, now: float) -> None:
        engine.invalidate_state()
        if ended.outcome is not OrderOutcome.NOT_SENT:
            engine.record_sent(ended.order_id)
        if ended.outcome is not OrderOutcome.ACCEPTED:
            self._order_backoffs.fail(engine.target.endpoint_id, now)

    def _advance(self, engine: EngineRecord, now: float) -> list[Effect]:
        effects: list[Effect] = list(pop_ended(engine, now))
        if engine.open_id and now >= engine.open_until:
            # No result within the time limit: the outcome is queried, not guessed.
            engine.record_sent(engine.open_id)
            engine.granted = None
            engine.invalidate_state()
            self._query_backoffs.fail(engine.target.endpoint_id, now)
        if engine.phase is EngineQueryPhase.KNOWN:
            effects.extend(self._send_next_order(engine, now))
        if engine.phase is EngineQueryPhase.UNKNOWN:
            effects.extend(self._query(engine, now))
        return effects

    def _send_next_order(self, engine: EngineRecord, now: float) -> list[Effect]:
        order = self._choose_order(engine, now) if self._may_order(engine, now) else None
        if order is None:
            self._expire_state(engine, now)
            return []
        if now >= engine.state_at + const.STATE_MAX_AGE_S:
            engine.invalidate_state()
            return []
        self._record_order_sent(engine, order, now)
        return [
            SendOrder(
                endpoint_id=engine.target.endpoint_id,
                address=engine.target.address,
                order=order,
                send_by=min(now + const.SEND_DEADLINE_S, self._lease.valid_until),
                answer_by=engine.open_until,
            )
        ]

    def _record_order_sent(self, engine: EngineRecord, order: Order, now: float) -> None:
        engine.phase = EngineQueryPhase.ORDERING
        engine.granted = None
        engine.open_id = order.order_id
        engine.open_until = now + const.ORDER_TIMEOUT_S
        assert engine.state is not None
        held = None if order.artifact is None else engine.state.find(order.artifact)
        if held is not None and held.phase is ArtifactPhase.FAILED:
            # Without backoff, a load that always fails at once would use up the rate limit of
            # the weight store.
            self._order_backoffs.fail(engine.target.endpoint_id, now)

    def _may_order(self, engine: EngineRecord, now: float) -> bool:
        if engine.is_fenced_out or not self._order_backoffs.allows(engine.target.endpoint_id, now):
            return False
        if engine.target.checks_fencing:
            return True
        return now >= compute_predecessor_expired_at(self._lease)

    def _choose_order(self, engine: EngineRecord, now: float) -> Order | None:
        assert engine.state is not None
        request = find_next_request(engine)
        if request is not None:
            return make_order(request, fencing=self._term)
        if engine.target.goal is None:
            return None
        step = find_step(
            engine.target.goal,
            engine.state,
            may_load=lambda artifact: self._may_load(engine, artifact, now),
        )
        if step is None:
            return None
        return Order(
            order_id=self._make_id("order"),
            fencing=self._term,
            kind=step.kind,
            artifact=step.artifact,
            role=step.role,
        )

    def _may_load(self, engine: EngineRecord, artifact: Artifact, now: float) -> bool:
        if engine.granted == artifact:
            return True
        if not self._admission.admit(engine.target.endpoint_id, artifact, now=now):
            return False
        engine.granted = artifact
        return True

    def _expire_state(self, engine: EngineRecord, now: float) -> None:
        assert engine.state is not None
        has_pending_work = is_busy(engine.state) or bool(engine.requests)
        poll_s = const.BUSY_POLL_INTERVAL_S if has_pending_work else const.IDLE_POLL_INTERVAL_S
        is_from_before_takeover = not engine.target.checks_fencing and (
            engine.state_at < compute_predecessor_expired_at(self._lease) <= now
        )
        if now >= engine.state_at + poll_s or is_from_before_takeover:
            engine.phase = EngineQueryPhase.UNKNOWN

    def _query(self, engine: EngineRecord, now: float) -> list[Effect]:
        if not self._query_backoffs.allows(engine.target.endpoint_id, now):
            return []
        if self._open_queries >= max(
            const.MIN_OPEN_QUERY_LIMIT, len(self._engines) // const.ENGINES_PER_OPEN_QUERY
        ):
            return []
        self._open_queries += 1
        engine.phase = EngineQueryPhase.QUERYING
        engine.open_id = self._make_id("ask")
        engine.open_until = now + const.QUERY_TIMEOUT_S
        return [
            QueryEngine(
                endpoint_id=engine.target.endpoint_id,
                address=engine.target.address,
                query_id=engine.open_id,
                fencing=self._term,
                answer_by=engine.open_until,
            )
        ]

    def _count_open_queries(self) -> int:
        return sum(
            1 for engine in self._engines.values() if engine.phase is EngineQueryPhase.QUERYING
        )

    def _make_id(self, what: str) -> str:
        self._sequence += 1
        return f"{self._lease.name}/{self._term}/{what}/{self._sequence}"
