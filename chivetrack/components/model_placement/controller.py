"""Controller that keeps the desired copies of models and adapters in place."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from chivetrack.components.controllers.controller import CONTROLLERS
from chivetrack.components.controllers.lease import LeaseHolder
from chivetrack.components.controllers.models import (
    Action,
    AttachFinalizer,
    DetachFinalizer,
    Plan,
)
from chivetrack.components.model_placement import const
from chivetrack.components.model_placement.desired import read_desired_items
from chivetrack.components.model_placement.memory import TermMemory
from chivetrack.components.model_placement.models import DesiredItem, EngineView, ItemPlan
from chivetrack.components.model_placement.report import write_report
from chivetrack.components.model_placement.rollout import Rollout
from chivetrack.components.orders.models import (
    Artifact,
    ArtifactKind,
    ArtifactName,
    ArtifactPhase,
    EngineGoal,
    EngineTarget,
)
from chivetrack.components.orders.takeover import compute_predecessor_expired_at
from chivetrack.components.store.table import ResourceTable


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementObservation:
    """The engines, and the time in milliseconds since the Unix epoch."""

    engines: tuple[EngineView, ...]
    wall_ms: int


@CONTROLLERS.register(const.CONTROLLER)
class PlacementController:
    """Computes a goal for each engine from the resources and the states of the engines.

    The goals are read by ``OrderHandler``, which must run under the same lease. Goals of a
    previous term are never returned.
    """

    def __init__(
        self,
        *,
        table: ResourceTable,
        lease: LeaseHolder,
        list_engines: Callable[[], Sequence[EngineView]],
        to_wall_ms: Callable[[float], int],
    ) -> None:
        """Initialize the controller.

        ``table`` holds the resources, ``list_engines`` returns the engines, and
        ``to_wall_ms`` converts the local time to milliseconds since the Unix epoch.
        """
        self._table = table
        self._lease = lease
        self._list_engines = list_engines
        self._to_wall_ms = to_wall_ms
        self._term = 0
        self._term_at = 0.0
        self._memory: TermMemory | None = None
        self._goals: dict[tuple[str, int], EngineGoal] = {}

    def read_desired(self) -> tuple[DesiredItem, ...]:
        """Return all models and adapters, including those that are being deleted."""
        return read_desired_items(self._table)

    def read_observed(self, *, now: float) -> PlacementObservation:
        """Return the engines and the wall time."""
        return PlacementObservation(
            engines=tuple(self._list_engines()), wall_ms=self._to_wall_ms(now)
        )

    def list_targets(self) -> list[EngineTarget]:
        """Return all engines with their goals, for ``OrderHandler``."""
        goals = self._goals if self._term == self._lease.fencing else {}
        return [
            EngineTarget(
                endpoint_id=engine.endpoint_id,
                incarnation=engine.incarnation,
                address=engine.address,
                checks_fencing=engine.checks_fencing,
                goal=goals.get((engine.endpoint_id, engine.incarnation)),
            )
            for engine in self._list_engines()
        ]

    def reconcile(
        self, desired: tuple[DesiredItem, ...], observed: PlacementObservation, *, now: float
    ) -> Plan:
        """Set the goals; return the status and finalizer changes to be made."""
        if self._term != self._lease.fencing:
            self._term = self._lease.fencing
            self._term_at = now
            self._memory = None
            self._goals = {}
        scan_s = len(observed.engines) / const.ENGINES_PER_S
        reconcile_again_at = now + max(const.RECONCILE_INTERVAL_S, scan_s)
        if not self._has_fresh_states(observed.engines, now):
            return Plan(reconcile_again_at=reconcile_again_at)
        if self._memory is None:
            self._memory = TermMemory(started_at=now)
        actions: list[Action] = []
        assignments = _Assignments(desired=desired, engines=observed.engines)
        for item in desired:
            if item.record.deleting_ms:
                actions.extend(_detach_finalizer_when_unloaded(item, observed.engines))
            elif const.FINALIZER not in item.record.finalizers:
                # Without the finalizer, a deletion could leave copies that are never unloaded.
                actions.append(_attach_finalizer(item))
            else:
                plan = self._plan(item, assignments, self._memory, now)
                write = write_report(item, plan, wall_ms=observed.wall_ms)
                actions.extend([] if write is None else [write])
        self._goals = assignments.make_goals()
        return Plan(actions=tuple(actions), reconcile_again_at=reconcile_again_at)

    def _has_fresh_states(self, engines: Sequence[EngineView], now: float) -> bool:
        # Engines that were not queried yet appear empty. A new lease holder would load all
        # their copies again on other engines.
        silence_s = const.SILENCE_S + len(engines) / const.ENGINES_QUERIED_PER_S
        if now >= self._term_at + silence_s:
            return True
        settled_at = compute_predecessor_expired_at(self._lease)
        return all(
            engine.state is not None and (engine.checks_fencing or engine.state_at >= settled_at)
            for engine in engines
            if engine.is_usable
        )

    def _plan(
        self, item: DesiredItem, assignments: "_Assignments", memory: TermMemory, now: float
    ) -> ItemPlan:
        engines = assignments.list_candidates(item)
        memory.record_copies(item, engines, now=now)
        holders = sum(1 for e in engines if e.is_usable and e.find(item) is not None)
        rollout = Rollout(
            item=item,
            engines=engines,
            leaving=memory.list_leaving(item),
            absent=memory.count_absent(item, holders, now=now),
            is_soaked=memory.is_soaked(item.artifact, now=now),
            has_room=lambda engine: assignments.has_room(engine, item),
        )
        plan = rollout.plan()
        memory.record_goals(item, engines, plan.goals, now=now)
        assignments.assign(item, plan.goals)
        return plan


class _Assignments:
    """Collects the goals of one reconciliation and checks the memory of the engines."""

    def __init__(self, *, desired: Sequence[DesiredItem], engines: Sequence[EngineView]) -> None:
        self._engines = engines
        self._managed = frozenset(
            item.artifact.get_name()
            for item in desired
            if const.FINALIZER in item.record.finalizers
        )
        self._memory = {item.artifact.get_name(): item.memory_bytes for item in desired}
        self._artifacts: dict[str, set[Artifact]] = defaultdict(set)
        self._roles: dict[str, str] = {}
        self._models: dict[str, set[ArtifactName]] = {
            engine.endpoint_id: _list_held_models(engine) for engine in engines
        }

    def list_candidates(self, item: DesiredItem) -> list[EngineView]:
        """Return the engines of the service; for an adapter, those that serve its model."""
        listed = [engine for engine in self._engines if engine.service == item.service]
        if item.artifact.kind is ArtifactKind.MODEL:
            return listed
        return [engine for engine in listed if self._serves(engine, item.artifact.model)]

    def has_room(self, engine: EngineView, item: DesiredItem) -> bool:
        """Return whether the engine has memory for the item.

        If a size is unknown, the engine can hold a single model.
        """
        if item.artifact.kind is ArtifactKind.ADAPTER:
            return True
        other_models = self._models[engine.endpoint_id] - {item.artifact.get_name()}
        limit = 0 if engine.state is None else engine.state.memory_bytes
        sizes = [item.memory_bytes, *(self._memory.get(other, 0) for other in other_models)]
        if not limit or not all(sizes):
            return engine.state is not None and not other_models
        return sum(sizes) <= limit

    def assign(self, item: DesiredItem, goals: dict[str, Artifact]) -> None:
        """Add the goals of one item."""
        for endpoint_id, artifact in goals.items():
            self._artifacts[endpoint_id].add(artifact)
            if artifact.kind is ArtifactKind.MODEL:
                self._models[endpoint_id].add(artifact.get_name())
            if item.role:
                self._roles[endpoint_id] = item.role

    def make_goals(self) -> dict[tuple[str, int], EngineGoal]:
        """Return the goal of each engine, by its id and incarnation.

        An engine that has not reported its state gets no goal: planned as empty, it would
        have to unload everything as soon as it answers.
        """
        return {
            (engine.endpoint_id, engine.incarnation): EngineGoal(
                artifacts=frozenset(self._artifacts.get(engine.endpoint_id, ())),
                role=self._roles.get(engine.endpoint_id, ""),
                managed=self._managed,
            )
            for engine in self._engines
            if engine.is_usable and engine.state is not None
        }

    def _serves(self, engine: EngineView, model: str) -> bool:
        if engine.state is None:
            return False
        return any(
            held.artifact.kind is ArtifactKind.MODEL
            and held.artifact.name == model
            and held.phase is ArtifactPhase.READY
            for held in engine.state.artifacts
        )


def _list_held_models(engine: EngineView) -> set[ArtifactName]:
    if engine.state is None:
        return set()
    names = (held.artifact.get_name() for held in engine.state.artifacts)
    return {name for name in names if name.kind is ArtifactKind.MODEL}


def _attach_finalizer(item: DesiredItem) -> Action:
    return AttachFinalizer(kind=item.kind, name=item.record.name, finalizer=const.FINALIZER)


def _detach_finalizer_when_unloaded(
    item: DesiredItem, engines: Iterable[EngineView]
) -> list[Action]:
    """Return the removal of the finalizer once no usable engine holds a copy."""
    if const.FINALIZER not in item.record.finalizers:
        return []
    if any(engine.find(item) is not None for engine in engines if engine.is_usable):
        return []
    return [DetachFinalizer(kind=item.kind, name=item.record.name, finalizer=const.FINALIZER)]
