"""Models of the model placement component."""

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
    """Phase of the placement of a model or an adapter."""

    PLACING = "placing"
    STEADY = "steady"
    ROLLING = "rolling"
    HALTED = "halted"


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementEvent:
    """A change of phase or reason; ``at_ms`` is in milliseconds since the Unix epoch."""

    at_ms: int
    phase: PlacementPhase
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementReport:
    """The status of a model or an adapter.

    ``ready`` and ``wanted`` are numbers of copies. ``good_version`` and ``good_weights`` belong
    to the last version that was in place everywhere; they are stored here since the
    specification holds only the new version. ``halted_version`` is a version that failed; no
    further copies are changed to it.
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
    """A model or an adapter in its desired state.

    ``last_good`` is the version to fall back on, ``None`` until the first version is in place.
    ``floor`` is the share of the copies that must stay ready, 0 to 1.
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
        """Return whether a version is being replaced."""
        return self.last_good is not None and self.last_good != self.artifact

    @property
    def is_halted(self) -> bool:
        """Return whether the rollout of the new version was halted because it failed."""
        return self.report is not None and self.report.halted_version == self.artifact.version

    @property
    def min_ready(self) -> int:
        """Return the number of copies that must stay ready during all changes."""
        return ceil(self.floor * self.copies)

    def owns(self, artifact: Artifact) -> bool:
        """Return whether an artifact is a version of this item."""
        return artifact.name == self.artifact.name and artifact.kind is self.artifact.kind


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineView:
    """An engine as read for a plan.

    ``is_usable``: it is neither leaving nor drained. ``state`` is its last reported state,
    ``state_at`` the time of that report. ``checks_fencing``: it rejects orders with an old
    fencing number.
    """

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

    def find(self, item: DesiredItem) -> HeldArtifact | None:
        """Return the copy of an item that the engine holds, preferably in the desired version."""
        if self.state is None:
            return None
        owned = [held for held in self.state.artifacts if item.owns(held.artifact)]
        return min(owned, key=lambda held: held.artifact != item.artifact, default=None)

    def has_ready(self, item: DesiredItem) -> bool:
        """Return whether the engine serves any version of an item."""
        if self.state is None or not self.is_healthy:
            return False
        return any(
            item.owns(held.artifact) and held.phase is ArtifactPhase.READY
            for held in self.state.artifacts
        )

    def has_failed(self, item: DesiredItem) -> bool:
        """Return whether the desired version of an item fails here through its own fault."""
        held = None if self.state is None else self.state.find(item.artifact)
        if held is None:
            return False
        if held.phase is ArtifactPhase.FAILED:
            return held.error != const.STORE_BUSY
        return held.phase is ArtifactPhase.READY and not self.is_healthy


@dataclass(slots=True, kw_only=True)
class ItemPlan:
    """The version of one model or adapter that each engine is to hold.

    ``goals`` is by endpoint id. ``ready`` is the number of ready copies. ``failed_on`` is an
    engine on which the new version fails, or empty.
    """

    goals: dict[str, Artifact] = field(default_factory=dict)
    ready: int = 0
    failed_on: str = ""
    is_complete: bool = False
