"""Plans the next order that brings an engine closer to its goal."""

from collections.abc import Callable
from dataclasses import dataclass

from chivetrack.components.orders.models import (
    Artifact,
    ArtifactKind,
    ArtifactPhase,
    EngineGoal,
    EngineState,
    HeldArtifact,
    OrderKind,
)

_BUSY = (ArtifactPhase.LOADING, ArtifactPhase.UNLOADING)


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """Content of an order that has no order id and fencing number yet."""

    kind: OrderKind
    artifact: Artifact | None = None
    role: str = ""


def is_busy(state: EngineState) -> bool:
    """Return whether an engine is loading or unloading an artifact."""
    return any(held.phase in _BUSY for held in state.artifacts)


def find_step(
    goal: EngineGoal, state: EngineState, *, may_load: Callable[[Artifact], bool]
) -> Step | None:
    """Return the next step, ``None`` if the goal is reached or the engine must finish first.

    Unwanted artifacts are unloaded first, because memory is limited. Adapters are unloaded
    before their model and loaded after it.
    """
    if goal.role and state.role != goal.role:
        return Step(kind=OrderKind.SET_ROLE, role=goal.role)
    unwanted = _find_unwanted(goal, state)
    if unwanted is not None:
        return Step(kind=OrderKind.UNLOAD, artifact=unwanted.artifact)
    if is_busy(state):
        return None
    for artifact in _list_missing(goal, state):
        if may_load(artifact):
            return Step(kind=OrderKind.LOAD, artifact=artifact)
    return None


def _find_unwanted(goal: EngineGoal, state: EngineState) -> HeldArtifact | None:
    unwanted = [
        held
        for held in state.artifacts
        if held.artifact not in goal.artifacts
        and held.artifact.get_name() in goal.managed
        and held.phase is not ArtifactPhase.UNLOADING
    ]
    unwanted.sort(key=lambda held: (held.artifact.kind is ArtifactKind.MODEL, held.artifact))
    return unwanted[0] if unwanted else None


def _list_missing(goal: EngineGoal, state: EngineState) -> list[Artifact]:
    ready = {held.artifact for held in state.artifacts if held.phase is ArtifactPhase.READY}
    models = {artifact.name for artifact in ready if artifact.kind is ArtifactKind.MODEL}
    missing = [
        artifact
        for artifact in goal.artifacts - ready
        if artifact.kind is ArtifactKind.MODEL or artifact.model in models
    ]
    return sorted(missing, key=lambda item: (item.kind is ArtifactKind.ADAPTER, item))
