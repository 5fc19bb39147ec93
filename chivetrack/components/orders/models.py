"""Orders, the state of engines, and the events and effects of the order desk."""

from dataclasses import dataclass, field
from enum import StrEnum

from chivetrack.core import Effect, Event


class OrderKind(StrEnum):
    """What an engine is told to do."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set-role"
    EXPORT_CACHE = "export-cache"
    IMPORT_CACHE = "import-cache"
    CANCEL = "cancel"


class ArtifactKind(StrEnum):
    """What an engine loads."""

    MODEL = "model"
    ADAPTER = "adapter"


class ArtifactPhase(StrEnum):
    """How far an engine is with an artifact."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"
    FAILED = "failed"


class OrderPhase(StrEnum):
    """How far an engine is with a one-time order."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Artifact:
    """A version of a model, or of an adapter of ``model``."""

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
    """A model or an adapter, in whatever version."""

    kind: ArtifactKind
    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """An order as an engine gets it.

    An engine that checks fencing refuses a number below the highest that it has seen,
    and takes an ``order_id`` that it knows for a resend. ``subject`` is the chat of a
    cached context or the request to cancel, ``location`` where a context goes or is.
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
    """An artifact that an engine has or is busy with."""

    artifact: Artifact
    phase: ArtifactPhase
    error: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownOrder:
    """A one-time order that an engine remembers."""

    order_id: str
    phase: OrderPhase
    error: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineState:
    """What an engine says of itself when asked; 0 ``memory_bytes`` means unknown."""

    incarnation: int
    fencing: int = 0
    role: str = ""
    artifacts: tuple[HeldArtifact, ...] = ()
    orders: tuple[KnownOrder, ...] = ()
    memory_bytes: int = 0

    def find(self, artifact: Artifact) -> HeldArtifact | None:
        """Return what the engine says of an artifact, or ``None``."""
        found = [held for held in self.artifacts if held.artifact == artifact]
        return found[0] if found else None


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineGoal:
    """What an engine should hold; an empty role leaves its role alone.

    Of what it has beside, only artifacts under ``managed`` names are unloaded.
    """

    artifacts: frozenset[Artifact]
    role: str = ""
    managed: frozenset[ArtifactName] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineTarget:
    """An engine that may be given orders; without a goal only one-time ones."""

    endpoint_id: str
    incarnation: int
    address: str
    checks_fencing: bool
    goal: EngineGoal | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class SendOrder(Effect):
    """Send an order, unless ``send_by`` has passed; answered by ``OrderEnded``.

    Who carries it out reads the clock right before the first byte leaves.
    """

    endpoint_id: str
    address: str
    order: Order
    send_by: float
    answer_by: float


@dataclass(frozen=True, slots=True, kw_only=True)
class QueryEngine(Effect):
    """Ask an engine for its state; answered by ``EngineAnswered``.

    The question carries the fencing number too: an engine that checks refuses from then
    on what an earlier holder sent and the network still holds.
    """

    endpoint_id: str
    address: str
    query_id: str
    fencing: int
    answer_by: float


class OrderOutcome(StrEnum):
    """How sending an order ended. ``NOT_SENT`` is a promise; ``LOST`` tells nothing."""

    ACCEPTED = "accepted"
    STALE = "stale"
    REFUSED = "refused"
    NOT_SENT = "not-sent"
    LOST = "lost"


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderEnded(Event):
    """Sending an order ended."""

    endpoint_id: str
    order_id: str
    outcome: OrderOutcome
    error: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineAnswered(Event):
    """An engine answered, or with no state did not."""

    endpoint_id: str
    query_id: str
    state: EngineState | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderRequest(Event):
    """Ask for a one-time order; ``request_id`` names it for good, on the engine too."""

    request_id: str
    endpoint_id: str
    kind: OrderKind
    subject: str = ""
    location: str = ""
    deadline: float


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderRequestEnded(Effect):
    """A one-time order ended; no phase means that nobody knows whether it ran."""

    request_id: str
    phase: OrderPhase | None
    error: str = ""
