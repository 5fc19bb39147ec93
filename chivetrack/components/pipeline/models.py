"""Models of the pipeline: requests, their events and effects, and the views it reads."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from chivetrack.components.resources.models import Locality
from chivetrack.components.routing.models import Placement
from chivetrack.components.upstream.models import AttemptOutcome
from chivetrack.core import Effect, Event
from chivetrack.exceptions import Fault, Ran


class RequestKind(StrEnum):
    """Which of the two caller interfaces a request came through."""

    CHAT = "chat"
    SERVICE = "service"


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A request as the caller sent it; header names are in lower case."""

    kind: RequestKind
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    service: str = ""


class PolicyView(Protocol):
    """The routing policy of a workspace, as the pipeline reads it; times in seconds."""

    @property
    def load_bound(self) -> float:
        """Return the multiple of the mean load that no endpoint may exceed."""
        ...

    @property
    def max_attempts(self) -> int:
        """Return the maximum number of attempts of a request."""
        ...

    @property
    def timeout_s(self) -> float:
        """Return the time limit of a request, including all attempts."""
        ...

    @property
    def stall_timeout_s(self) -> float:
        """Return the maximum time between two parts of a streamed answer."""
        ...

    @property
    def locality(self) -> Locality:
        """Return whether endpoints must be in the router's zone, in its region or anywhere."""
        ...

    @property
    def idempotent(self) -> bool | None:
        """Return whether requests may run twice; ``None`` decides by kind and method."""
        ...


class WorkspaceView(Protocol):
    """A workspace, as the pipeline reads it."""

    @property
    def name(self) -> str:
        """Return the workspace's name."""
        ...

    @property
    def priority(self) -> int:
        """Return the priority that is sent to engines; lower is more urgent."""
        ...

    @property
    def rate(self) -> float | None:
        """Return the limit in requests per second, ``None`` without a limit."""
        ...

    @property
    def concurrency(self) -> int | None:
        """Return the limit of concurrent requests, ``None`` without a limit."""
        ...

    def allows(self, service: str) -> bool:
        """Return whether the workspace may use a service."""
        ...


class Directory(Protocol):
    """The configuration in force, as the pipeline reads it."""

    def find_workspace(self, name: str) -> WorkspaceView | None:
        """Return a workspace by name."""
        ...

    def find_workspace_by_key(self, key: str) -> WorkspaceView | None:
        """Return the workspace that a caller's key belongs to."""
        ...

    def check_key(self, workspace: WorkspaceView, key: str) -> bool:
        """Return whether a key is one of the workspace's; takes constant time."""
        ...

    def get_policy(self, workspace: WorkspaceView) -> PolicyView:
        """Return the routing policy of a workspace."""
        ...

    def find_service(self, model: str) -> str | None:
        """Return the service that serves a model."""
        ...

    def is_confirmed(self, now: float) -> bool:
        """Return whether the configuration is confirmed to be in force at ``now``."""
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One attempt at one endpoint."""

    number: int
    endpoint_id: str
    address: str
    started_at: float


@dataclass(slots=True, kw_only=True)
class Exchange:
    """A request and the state that the filters fill in; owned by the request flow.

    Times are seconds on the clock of ``now``. ``position`` is the number of filters entered.
    ``outcomes`` holds the outcomes of the attempts that have ended. ``answered`` means that
    the head of an answer has arrived. ``bytes_sent`` is how many bytes of the answer's body
    were sent to the caller.
    """

    request_id: str
    request: CallerRequest
    arrived_at: float
    traceparent: str = ""
    workspace: WorkspaceView | None = None
    policy: PolicyView | None = None
    deadline: float = 0.0
    service: str = ""
    model: str = ""
    affinity: str = ""
    stream: bool = False
    priority: int = 0
    idempotent: bool = True
    idempotency_key: str = ""
    claimed: bool = False
    placement: Placement | None = None
    attempts: list[Attempt] = field(default_factory=list)
    outcomes: list[AttemptOutcome] = field(default_factory=list)
    excluded: set[str] = field(default_factory=set)
    bytes_sent: int = 0
    position: int = 0
    answered: bool = False

    @property
    def attempt(self) -> Attempt:
        """Return the newest attempt."""
        return self.attempts[-1]

    @property
    def ran(self) -> Ran:
        """Return whether any attempt ran or may have run."""
        if AttemptOutcome.RAN in self.outcomes:
            return Ran.YES
        is_open = len(self.attempts) > len(self.outcomes)
        if is_open or AttemptOutcome.MAYBE_RAN in self.outcomes:
            return Ran.MAYBE
        return Ran.NO


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestEvent(Event):
    """Base of the events of one request."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestArrived(RequestEvent):
    """A caller's request has been read completely."""

    request: CallerRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueLeft(RequestEvent):
    """The request was admitted from the queue, or shed with a fault."""

    fault: Fault | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimAnswered(RequestEvent):
    """The log's answer to ``AcquireClaim``, exactly one for each.

    The claim is granted if both ``fault`` and ``stored`` are ``None``.
    """

    workspace: str
    key: str
    fault: Fault | None = None
    stored: "StoredAnswer | None" = None


@dataclass(frozen=True, slots=True, kw_only=True)
class DeadlineReached(RequestEvent):
    """The request's deadline has passed before its answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ExitDecided(RequestEvent):
    """The instance exits before the request has its answer.

    ``sent_attempt`` is the number of the newest attempt of which bytes may have been sent, or 0.
    """

    sent_attempt: int


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptEvent(RequestEvent):
    """Base of the events of one attempt; those of an earlier attempt are ignored."""

    attempt: int


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFailed(AttemptEvent):
    """An attempt ended without an answer that can be relayed to the caller."""

    outcome: AttemptOutcome
    message: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptAnswered(AttemptEvent):
    """The head of an endpoint's answer has arrived."""

    status: int


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerEnded(AttemptEvent):
    """The relay of an answer ended; ``whole`` is true if the complete answer was sent."""

    whole: bool
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerGone(RequestEvent):
    """The caller closed its connection before it had its complete answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredAnswer:
    """The first answer under an idempotency key, which is replayed to a resend."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestEffect(Effect):
    """Base of the effects on one request."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StartAttempt(RequestEffect):
    """Send the request to the attempt's endpoint and ignore earlier attempts' answers."""

    exchange: Exchange
    attempt: Attempt
    timeout_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayAnswer(RequestEffect):
    """Relay the answer whose head has arrived to the caller."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Refuse(RequestEffect):
    """Send the fault to the caller as its final answer."""

    fault: Fault


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplayAnswer(RequestEffect):
    """Send the caller the stored first answer under its idempotency key."""

    answer: StoredAnswer


@dataclass(frozen=True, slots=True, kw_only=True)
class AcquireClaim(RequestEffect):
    """Request the claim on an idempotency key from the replicated log."""

    workspace: str
    key: str
    fingerprint: str
    lifetime_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class EndClaim(RequestEffect):
    """Record how a claimed request ended.

    ``answer`` is its complete answer. Without an answer, ``did_not_run`` releases the key
    for a resend; otherwise the outcome is recorded as unknown.
    """

    workspace: str
    key: str
    answer: StoredAnswer | None = None
    did_not_run: bool = False
