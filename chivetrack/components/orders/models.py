"""Models of orders and engine states, and events and effects of the order handler."""

from dataclasses import dataclass, field
from enum import StrEnum

from chivetrack.core import Effect, Event


class OrderKind(StrEnum):
    """Operation that an engine is ordered to perform."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set-role"
    EXPORT_CACHE = "export-cache"
    IMPORT_CACHE = "import-cache"
    CANCEL = "cancel"


class ArtifactKind(StrEnum):
    """Kind of artifact that an engine can load."""

    MODEL = "model"
    ADAPTER = "adapter"


class ArtifactPhase(StrEnum):
    """Progress of an artifact on an engine."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"
    FAILED = "failed"


class OrderPhase(StrEnum):
    """Progress of a one-time order on an engine."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Artifact:
    """One version of a model, or of an adapter of ``model``."""

    kind: ArtifactKind
    name: str
    version: str
    model: str = field(default="", compare=False)
    weights: str = field(default="", compare=False)

    def get_name(self) -> "ArtifactName":
        """Return the name without the version."""
        return ArtifactName(kind=self.kind, name=self.name)


@dataclass(frozen=True, slots=True, kw_only=True)
class ArtifactName:
    """Name of a model or an adapter, for any version."""

    kind: ArtifactKind
    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """Order in the form that is sent to an engine.

    An engine that checks fencing refuses a number below the highest that it has seen. An
    engine treats an order with a known ``order_id`` as a resend. ``subject`` is the chat of
    a cached context, or the request to cancel; ``location`` is where a context is exported
    to or imported from.
    """

    order_id: str
    fencing: int
    kind: OrderKind
    artifact: Artifact | None = None
    role: str = ""
    subject: str = ""
    location: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldArtifact:
    """Artifact that an engine holds, loads or unloads."""

    artifact: Artifact
    phase: ArtifactPhase
    error: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownOrder:
    """One-time order that an engine reports."""

    order_id: str
    phase: OrderPhase
    error: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineState:
    """State that an engine reports; ``memory_bytes`` is 0 if unknown."""

    incarnation: int
    fencing: int = 0
    role: str = ""
    artifacts: tuple[HeldArtifact, ...] = ()
    orders: tuple[KnownOrder, ...] = ()
    memory_bytes: int = 0

    def find(self, artifact: Artifact) -> HeldArtifact | None:
        """Return the reported state of an artifact, ``None`` if the engine does not hold it."""
        found = [held for held in self.artifacts if held.artifact == artifact]
        return found[0] if found else None


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineGoal:
    """Desired artifacts and role of an engine; with an empty role its role is not changed.

    Of the other artifacts that it holds, only those with ``managed`` names are unloaded.
    """

    artifacts: frozenset[Artifact]
    role: str = ""
    managed: frozenset[ArtifactName] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineTarget:
    """Engine that may get orders; without a goal only one-time orders."""

    endpoint_id: str
    incarnation: int
    address: str
    checks_fencing: bool
    goal: EngineGoal | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class SendOrder(Effect):
    """Send an order unless ``send_by`` has passed; its result is ``OrderEnded``.

    The executor must read the clock immediately before it sends the first byte.
    """

    endpoint_id: str
    address: str
    order: Order
    send_by: float
    answer_by: float


@dataclass(frozen=True, slots=True, kw_only=True)
class QueryEngine(Effect):
    """Request the state of an engine; its result is ``EngineAnswered``.

    The query carries the fencing number too. From then on, an engine that checks fencing
    refuses orders of an earlier holder that are still in transit.
    """

    endpoint_id: str
    address: str
    query_id: str
    fencing: int
    answer_by: float


class OrderOutcome(StrEnum):
    """Outcome of sending an order.

    ``NOT_SENT`` guarantees that the order has not been sent. ``LOST`` means that it is
    unknown whether the engine received it.
    """

    ACCEPTED = "accepted"
    STALE = "stale"
    REFUSED = "refused"
    NOT_SENT = "not-sent"
    LOST = "lost"


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderEnded(Event):
    """Result of sending an order."""

    endpoint_id: str
    order_id: str
    outcome: OrderOutcome
    error: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineAnswered(Event):
    """Result of a state query; ``state`` is ``None`` without a valid response."""

    endpoint_id: str
    query_id: str
    state: EngineState | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderRequest(Event):
    """Request for a one-time order; ``request_id`` is also its permanent id on the engine."""

    request_id: str
    endpoint_id: str
    kind: OrderKind
    subject: str = ""
    location: str = ""
    deadline: float


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderRequestEnded(Effect):
    """End of a one-time order; without a phase it is unknown whether it ran."""

    request_id: str
    phase: OrderPhase | None
    error: str = ""
