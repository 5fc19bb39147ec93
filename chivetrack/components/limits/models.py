"""Models of the limits component."""

from dataclasses import dataclass
from enum import StrEnum

from chivetrack.core import Effect
from chivetrack.exceptions import Fault
from chivetrack.helpers.codec import Message, message


@message("limits.demands")
class DemandReport(Message, frozen=True, array_like=True):
    """All demands of one router in requests per second, by workspace.

    The report is always complete: an absent workspace has no demand. ``incarnation`` and
    ``sequence`` order the reports of one router.
    """

    incarnation: int
    sequence: int
    demands: dict[str, float]


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkspaceLimit:
    """A workspace's limits over the whole fleet; ``None`` means no limit.

    ``weight`` sets its share of a router's capacity, relative to the weights of the other
    workspaces, while requests queue for capacity.
    """

    rate_per_s: float | None = None
    burst: float = 1.0
    concurrency: int | None = None
    weight: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitedRequest:
    """A request to be admitted; a higher ``priority`` is admitted first.

    ``deadline`` is the time, on the clock of ``now``, by which the answer must be complete.
    """

    request_id: str
    workspace: str
    deadline: float
    priority: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Admit(Effect):
    """Admit the request: it continues with routing."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Wait(Effect):
    """Hold the request; an ``Admit`` or a ``Shed`` will follow."""

    request_id: str
    estimate_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Shed(Effect):
    """Refuse the request with the fault at once; it did not run."""

    request_id: str
    fault: Fault


class Cause(StrEnum):
    """What a request waits for."""

    NOTHING = "nothing"
    RATE = "rate"
    CONCURRENCY = "concurrency"
    CAPACITY = "capacity"


@dataclass(frozen=True, slots=True)
class WaitEstimate:
    """How long a request would wait and what it would wait for."""

    seconds: float
    cause: Cause
