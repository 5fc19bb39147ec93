"""What the model placement reads, decides and writes."""

from dataclasses import dataclass, field
from enum import StrEnum
from math import ceil

from chivetrack.components.model_placement import const
from chivetrack.components.orders.models import (
    Artifact,
    ArtifactPhase,
    EngineState,
    HeldArtifact,
)
from chivetrack.components.store.records import Record


class PlacementPhase(StrEnum):
    """How far a model or an adapter is."""

    PLACING = "placing"
    STEADY = "steady"
    ROLLING = "rolling"
    HALTED = "halted"


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementEvent:
    """One step: what the controller did and why; ``at_ms`` since 1970."""

    at_ms: int
    phase: PlacementPhase
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementReport:
    """The status of a model or an adapter.

    ``good_version`` with its weights is the last one that was in place everywhere; it
    is kept here since the specification names only the new one. ``halted_version`` is
    one that failed: nothing more is moved to it.
    """

    phase: PlacementPhase = PlacementPhase.PLACING
    reason: str = ""
    ready: int = 0
    wanted: int = 0
    good_version: str = ""
    good_weights: str = ""
    halted_version: str = ""
    events: tuple[PlacementEvent, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class DesiredItem:
    """A model or an adapter that is to be in place.

    ``good`` is the version to fall back on, ``None`` before the first is in place.
    """

    record: Record
    kind: str
    artifact: Artifact
    last_good: Artifact | None
    copies: int
    floor: float
    service: str
    memory_bytes: int = 0
    role: str = ""
    report: PlacementReport | None = None

    @property
    def is_rolling(self) -> bool:
        """Tell whether a version is being replaced."""
        return self.last_good is not None and self.last_good != self.artifact

    @property
    def is_halted(self) -> bool:
        """Tell whether the new version was found to fail."""
        return self.report is not None and self.report.halted_version == self.artifact.version

    @property
    def min_ready(self) -> int:
        """Return how many copies must stay ready whatever the controller does."""
        return ceil(self.floor * self.copies)

    def owns(self, artifact: Artifact) -> bool:
        """Tell whether an artifact is this one, in whatever version."""
        return artifact.name == self.artifact.name and artifact.kind is self.artifact.kind


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineView:
    """An engine as the plan sees it; ``is_usable``: not leaving and not drained."""

    endpoint_id: str
    incarnation: int
    address: str
    service: str
    zone: str
    checks_fencing: bool
    is_usable: bool
    is_healthy: bool
    state: EngineState | None
    state_at: float

    def find(self, wanted: DesiredItem) -> HeldArtifact | None:
        """Return the copy of a model or adapter that it has, the wanted version first."""
        if self.state is None:
            return None
        owned = [held for held in self.state.artifacts if wanted.owns(held.artifact)]
        return min(owned, key=lambda held: held.artifact != wanted.artifact, default=None)

    def has_ready(self, wanted: DesiredItem) -> bool:
        """Tell whether some version serves here."""
        if self.state is None or not self.is_healthy:
            return False
        return any(
            wanted.owns(held.artifact) and held.phase is ArtifactPhase.READY
            for held in self.state.artifacts
        )

    def has_failed(self, wanted: DesiredItem) -> bool:
        """Tell whether the wanted version fails here through its own fault."""
        held = None if self.state is None else self.state.find(wanted.artifact)
        if held is None:
            return False
        if held.phase is ArtifactPhase.FAILED:
            return held.error != const.STORE_BUSY
        return held.phase is ArtifactPhase.READY and not self.is_healthy


@dataclass(slots=True, kw_only=True)
class ItemPlan:
    """Which engine is to hold which version of one model or adapter."""

    goals: dict[str, Artifact] = field(default_factory=dict)
    ready: int = 0
    failed_on: str = ""
    is_complete: bool = False
