"""Simulated engines that load slowly, and instances that order them over a faulty network."""

from dataclasses import dataclass, field, replace
from typing import Any

from chivetrack.components.controllers.lease import LeaseHolder
from chivetrack.components.model_placement.const import STORE_BUSY
from chivetrack.components.orders import const
from chivetrack.components.orders.handler import OrderHandler
from chivetrack.components.orders.models import (
    Artifact,
    ArtifactKind,
    ArtifactPhase,
    EngineAnswered,
    EngineGoal,
    EngineState,
    EngineTarget,
    HeldArtifact,
    KnownOrder,
    Order,
    OrderEnded,
    OrderKind,
    OrderOutcome,
    OrderPhase,
    OrderRequestEnded,
    QueryEngine,
    SendOrder,
)
from chivetrack.core import Effect, Event
from tests.components.controllers.simulation import Instance, Network, Simulation


def make_model(name: str, version: str = "1") -> Artifact:
    return Artifact(kind=ArtifactKind.MODEL, name=name, version=version)


def make_adapter(name: str, model: str, version: str = "1") -> Artifact:
    return Artifact(kind=ArtifactKind.ADAPTER, name=name, version=version, model=model)


@dataclass(slots=True)
class Engine:
    """Simulated engine.

    ``checks`` means that it checks fencing numbers. ``taken`` are the orders that it accepted,
    ``refusals`` the artifacts whose load the weight store refused. ``announced`` replaces
    its incarnation in the target.
    """

    name: str
    checks: bool = True
    goal: EngineGoal | None = None
    zone: str = "a"
    is_listed: bool = True
    is_leaving: bool = False
    memory_bytes: int = 0
    store: Any = None
    incarnation: int = 1
    announced: int | None = None
    load_s: float = 2.0
    fencing: int = 0
    role: str = ""
    held: dict[Artifact, float] = field(default_factory=dict)
    broken: set[Artifact] = field(default_factory=set)
    refusals: set[Artifact] = field(default_factory=set)
    orders: dict[str, OrderPhase] = field(default_factory=dict)
    taken: list[Order] = field(default_factory=list)
    refused: list[Order] = field(default_factory=list)

    def handle_order(self, order: Order, time: float) -> OrderOutcome:
        if self.checks and order.fencing < self.fencing:
            self.refused.append(order)
            return OrderOutcome.STALE
        self.fencing = max(self.fencing, order.fencing)
        if order.order_id in self.orders:
            return OrderOutcome.ACCEPTED
        self.taken.append(order)
        if order.kind is OrderKind.LOAD and order.artifact is not None:
            self.load(order.artifact, time)
        elif order.kind is OrderKind.UNLOAD and order.artifact is not None:
            self.held.pop(order.artifact, None)
        elif order.kind is OrderKind.SET_ROLE:
            self.role = order.role
        else:
            self.orders[order.order_id] = OrderPhase.DONE
        return OrderOutcome.ACCEPTED

    def load(self, artifact: Artifact, time: float) -> None:
        if artifact in self.held and self.get_phase(artifact, time) is not ArtifactPhase.FAILED:
            return
        self.refusals.discard(artifact)
        if self.store is not None and not self.store.take(self.name, time):
            self.refusals.add(artifact)
        self.held[artifact] = time + (0.0 if artifact in self.refusals else self.load_s)

    def describe(self, time: float) -> EngineState:
        return EngineState(
            incarnation=self.incarnation,
            fencing=self.fencing if self.checks else 0,
            role=self.role,
            artifacts=tuple(
                HeldArtifact(
                    artifact=artifact,
                    phase=self.get_phase(artifact, time),
                    error=STORE_BUSY if artifact in self.refusals else "",
                )
                for artifact in self.held
            ),
            memory_bytes=self.memory_bytes,
            orders=tuple(KnownOrder(order_id=o, phase=p) for o, p in self.orders.items()),
        )

    def get_phase(self, artifact: Artifact, time: float) -> ArtifactPhase:
        if time < self.held[artifact]:
            return ArtifactPhase.LOADING
        is_bad = artifact in self.broken or artifact in self.refusals
        return ArtifactPhase.FAILED if is_bad else ArtifactPhase.READY

    def list_ready(self, time: float) -> set[Artifact]:
        return {a for a in self.held if self.get_phase(a, time) is ArtifactPhase.READY}

    def restart(self) -> None:
        self.incarnation += 1
        self.held.clear()
        self.orders.clear()
        self.role = ""

    def make_target(self) -> EngineTarget:
        return EngineTarget(
            endpoint_id=self.name,
            incarnation=self.announced or self.incarnation,
            address=self.name,
            checks_fencing=self.checks,
            goal=self.goal,
        )


class OpenAdmission:
    def admit(self, endpoint_id: str, artifact: Artifact, *, now: float) -> bool:
        return True


class OrderHandlerLoop:
    """Loop of a lease holder and an order handler, for the simulation."""

    def __init__(self, *, lease: LeaseHolder, order_handler: OrderHandler) -> None:
        self.lease = lease
        self.order_handler = order_handler

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        return [*self.lease.handle(event, now=now), *self.order_handler.handle(event, now=now)]


class EngineSimulation:
    """Simulation of instances and engines."""

    def __init__(self, engines: list[Engine], *, seed: int = 1, admission: Any = None) -> None:
        self.engines = {engine.name: engine for engine in engines}
        self.network = Network()
        self.ended: list[OrderRequestEnded] = []
        self.arrived: dict[str, list[int]] = {engine.name: [] for engine in engines}
        self.simulation = Simulation(
            make_controller=lambda table, to_wall_ms: None, lease="orders", seed=seed
        )
        self.simulation.on_effect = self.execute

        def make_loop(*, lease: LeaseHolder, **_: Any) -> OrderHandlerLoop:
            order_handler = OrderHandler(
                lease=lease,
                list_targets=lambda: [engine.make_target() for engine in engines],
                admission=admission or OpenAdmission(),
                random=self.simulation.random,
            )
            return OrderHandlerLoop(lease=lease, order_handler=order_handler)

        self.simulation.make_loop = make_loop

    def run(self, seconds: float) -> None:
        self.simulation.run(seconds)

    def execute(self, instance: Instance, effect: Effect) -> None:
        if isinstance(effect, SendOrder):
            self.send(instance, effect)
        elif isinstance(effect, QueryEngine):
            self.query(instance, effect)
        elif isinstance(effect, OrderRequestEnded):
            self.ended.append(effect)

    def send(self, instance: Instance, effect: SendOrder) -> None:
        def arrive() -> None:
            engine = self.engines[effect.endpoint_id]
            outcome = engine.handle_order(effect.order, self.simulation.time)
            if outcome is OrderOutcome.ACCEPTED:
                self.arrived[engine.name].append(effect.order.fencing)
            self.answer(
                instance,
                OrderEnded(
                    endpoint_id=engine.name, order_id=effect.order.order_id, outcome=outcome
                ),
            )

        self.simulation.call_later(self.limit_delay_to_delivery(), arrive)

    def limit_delay_to_delivery(self) -> Network:
        """Return the network with its delay limited to ``MAX_DELIVERY_S``."""
        low, high = self.network.delay
        return replace(self.network, delay=(low, min(high, const.MAX_DELIVERY_S)))

    def query(self, instance: Instance, effect: QueryEngine) -> None:
        def arrive() -> None:
            engine = self.engines[effect.endpoint_id]
            if engine.checks:
                engine.fencing = max(engine.fencing, effect.fencing)
            state = engine.describe(self.simulation.time)
            self.answer(
                instance,
                EngineAnswered(endpoint_id=engine.name, query_id=effect.query_id, state=state),
            )

        self.simulation.call_later(self.network, arrive)

    def answer(self, instance: Instance, event: Event) -> None:
        self.simulation.call_later(self.network, lambda: instance.waiting.append(event))
