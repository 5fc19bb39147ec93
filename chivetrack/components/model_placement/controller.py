"""Keeps the wanted copies of models and adapters in place."""

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
from chivetrack.components.model_placement.desired import read_wanted
from chivetrack.components.model_placement.memory import TermMemory
from chivetrack.components.model_placement.models import EngineView, ItemPlan, Wanted
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
    """The engines, and the time in milliseconds since 1970."""

    engines: tuple[EngineView, ...]
    wall_ms: int


@CONTROLLERS.register(const.CONTROLLER)
class PlacementController:
    """Turns resources and what engines say into a goal for each engine.

    The goals are for the order desk, which must run under the same lease; those of a
    former term are never given out.
    """

    def __init__(
        self,
        *,
        table: ResourceTable,
        lease: LeaseHolder,
        list_engines: Callable[[], Sequence[EngineView]],
        to_wall_ms: Callable[[float], int],
    ) -> None:
        """Read resources from ``table`` and engines from ``list_engines``."""
        self._table = table
        self._lease = lease
        self._list_engines = list_engines
        self._to_wall_ms = to_wall_ms
        self._term = 0
        self._term_at = 0.0
        self._memory: TermMemory | None = None
        self._goals: dict[tuple[str, int], EngineGoal] = {}

    def read_desired(self) -> tuple[Wanted, ...]:
        """Return models and adapters, those that are being deleted too."""
        return read_wanted(self._table)

    def read_observed(self, *, now: float) -> PlacementObservation:
        """Return the engines."""
        return PlacementObservation(
            engines=tuple(self._list_engines()), wall_ms=self._to_wall_ms(now)
        )

    def list_targets(self) -> list[EngineTarget]:
        """Return all engines with their goals, for the order desk."""
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
        self, desired: tuple[Wanted, ...], observed: PlacementObservation, *, now: float
    ) -> Plan:
        """Set the goals and return the statuses and finalizers that should change."""
        if self._term != self._lease.fencing:
            self._term = self._lease.fencing
            self._term_at = now
            self._memory = None
            self._goals = {}
        rest_s = len(observed.engines) / const.ENGINES_PER_S
        look_again_at = now + max(const.LOOK_AGAIN_S, rest_s)
        if not self._knows_enough(observed.engines, now):
            return Plan(look_again_at=look_again_at)
        if self._memory is None:
            self._memory = TermMemory(started_at=now)
        actions: list[Action] = []
        assignments = _Assignments(desired=desired, engines=observed.engines)
        for wanted in desired:
            if wanted.record.deleting_ms:
                actions.extend(_clean_up(wanted, observed.engines))
            elif const.FINALIZER not in wanted.record.finalizers:
                # Without it a deletion could leave copies that nobody takes away.
                actions.append(_attach(wanted))
            else:
                plan = self._plan(wanted, assignments, self._memory, now)
                write = write_report(wanted, plan, wall_ms=observed.wall_ms)
                actions.extend([] if write is None else [write])
        self._goals = assignments.make_goals()
        return Plan(actions=tuple(actions), look_again_at=look_again_at)

    def _knows_enough(self, engines: Sequence[EngineView], now: float) -> bool:
        # Engines that were not asked yet look empty: the next holder would load all
        # their copies a second time elsewhere.
        silence_s = const.SILENCE_S + len(engines) / const.ASKED_PER_S
        if now >= self._term_at + silence_s:
            return True
        settled_at = compute_predecessor_expired_at(self._lease)
        return all(
            engine.state is not None and (engine.checks_fencing or engine.state_at >= settled_at)
            for engine in engines
            if engine.is_usable
        )

    def _plan(
        self, wanted: Wanted, assignments: "_Assignments", memory: TermMemory, now: float
    ) -> ItemPlan:
        engines = assignments.list_candidates(wanted)
        memory.note_copies(wanted, engines, now=now)
        holders = sum(1 for e in engines if e.is_usable and e.find(wanted) is not None)
        rollout = Rollout(
            wanted=wanted,
            engines=engines,
            leaving=memory.list_leaving(wanted),
            absent=memory.count_absent(wanted, holders, now=now),
            is_soaked=memory.is_soaked(wanted.artifact, now=now),
            has_room=lambda engine: assignments.has_room(engine, wanted),
        )
        plan = rollout.plan()
        memory.note_goals(wanted, engines, plan.goals, now=now)
        assignments.assign(wanted, plan.goals)
        return plan


class _Assignments:
    """Collects the goals of one comparison and watches the engines' memory."""

    def __init__(self, *, desired: Sequence[Wanted], engines: Sequence[EngineView]) -> None:
        self._engines = engines
        self._managed = frozenset(
            wanted.artifact.get_name()
            for wanted in desired
            if const.FINALIZER in wanted.record.finalizers
        )
        self._memory = {wanted.artifact.get_name(): wanted.memory_bytes for wanted in desired}
        self._artifacts: dict[str, set[Artifact]] = defaultdict(set)
        self._roles: dict[str, str] = {}
        self._models: dict[str, set[ArtifactName]] = {
            engine.endpoint_id: _list_models(engine) for engine in engines
        }

    def list_candidates(self, wanted: Wanted) -> list[EngineView]:
        """Return the engines of the service; for an adapter those that serve its model."""
        listed = [engine for engine in self._engines if engine.service == wanted.service]
        if wanted.artifact.kind is ArtifactKind.MODEL:
            return listed
        return [engine for engine in listed if self._serves(engine, wanted.artifact.model)]

    def has_room(self, engine: EngineView, wanted: Wanted) -> bool:
        """Tell whether the engine can hold one more; without known sizes, one model."""
        if wanted.artifact.kind is ArtifactKind.ADAPTER:
            return True
        others = self._models[engine.endpoint_id] - {wanted.artifact.get_name()}
        limit = 0 if engine.state is None else engine.state.memory_bytes
        sizes = [wanted.memory_bytes, *(self._memory.get(other, 0) for other in others)]
        if not limit or not all(sizes):
            return engine.state is not None and not others
        return sum(sizes) <= limit

    def assign(self, wanted: Wanted, goals: dict[str, Artifact]) -> None:
        """Take the goals of one item."""
        for endpoint_id, artifact in goals.items():
            self._artifacts[endpoint_id].add(artifact)
            if artifact.kind is ArtifactKind.MODEL:
                self._models[endpoint_id].add(artifact.get_name())
            if wanted.role:
                self._roles[endpoint_id] = wanted.role

    def make_goals(self) -> dict[tuple[str, int], EngineGoal]:
        """Return the goal of each engine, by its id and incarnation.

        None for an engine that has not said what it holds: planned as empty, it would
        be told to unload all of it as soon as it answers.
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


def _list_models(engine: EngineView) -> set[ArtifactName]:
    if engine.state is None:
        return set()
    names = (held.artifact.get_name() for held in engine.state.artifacts)
    return {name for name in names if name.kind is ArtifactKind.MODEL}


def _attach(wanted: Wanted) -> Action:
    return AttachFinalizer(kind=wanted.kind, name=wanted.record.name, finalizer=const.FINALIZER)


def _clean_up(wanted: Wanted, engines: Iterable[EngineView]) -> list[Action]:
    """Return the end of the clean-up once no engine holds a copy."""
    if const.FINALIZER not in wanted.record.finalizers:
        return []
    if any(engine.find(wanted) is not None for engine in engines if engine.is_usable):
        return []
    return [DetachFinalizer(kind=wanted.kind, name=wanted.record.name, finalizer=const.FINALIZER)]
