"""The order in which requests for slots wait: weighted fair queueing by workspace and rank."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from chivetrack.components.admission.const import RANK_WEIGHT
from chivetrack.components.admission.messages import SlotRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitingRequest:
    """A request for a slot.

    ``in_time_until``: a slot that is granted by then (s) serves it within its latency target.
    ``ends_at``: how long it waits at most. ``is_late``: it will not be served within the target.
    """

    source: str
    request: SlotRequest
    queued_at: float
    in_time_until: float
    ends_at: float
    tag: float
    is_late: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Return what identifies the request: its router and its number there."""
        return (self.source, self.request.number)


class WaitingList:
    """Waiting requests in the order of their virtual finish times, late ones after all others.

    Each request advances its lane, the requests of one workspace and rank, by the inverse of the
    rank's weight. A surge of one workspace or of a less urgent rank therefore delays its own
    requests. Unlike strict priority, the least urgent rank keeps a share, so that it is not
    starved while urgent requests take all slots.
    """

    def __init__(self) -> None:
        """Initialize an empty list."""
        self._waiting: dict[tuple[str, int], WaitingRequest] = {}
        self._lane_tags: dict[tuple[str, int], float] = {}
        self._virtual_time = 0.0
        self._order: tuple[WaitingRequest, ...] | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Yield the requests in the order in which they are to be served."""
        if self._order is None:
            self._order = tuple(sorted(self._waiting.values(), key=_rank_in_order))
        return iter(self._order)

    @property
    def late_count(self) -> int:
        """Return how many requests wait that will be late."""
        return sum(one.is_late for one in self._waiting.values())

    def add(
        self,
        source: str,
        request: SlotRequest,
        *,
        now: float,
        in_time_until: float,
        ends_at: float,
    ) -> None:
        """Add a request of the router ``source``; see ``WaitingRequest`` for the times."""
        lane = (request.workspace, request.rank)
        start = max(self._virtual_time, self._lane_tags.get(lane, 0.0))
        tag = start + RANK_WEIGHT**request.rank
        self._lane_tags[lane] = tag
        waiting = WaitingRequest(
            source=source,
            request=request,
            queued_at=now,
            in_time_until=in_time_until,
            ends_at=ends_at,
            tag=tag,
        )
        self._waiting[waiting.key] = waiting
        self._order = None

    def postpone(self, waiting: WaitingRequest) -> None:
        """Let a request that will be late wait behind those that won't."""
        self._waiting[waiting.key] = replace(waiting, is_late=True)
        self._order = None

    def serve(self, waiting: WaitingRequest) -> None:
        """Remove a request that gets a slot; the lanes of others catch up with its tag."""
        self._virtual_time = max(self._virtual_time, waiting.tag)
        self.remove(waiting.source, waiting.request.number)

    def remove(self, source: str, number: int) -> bool:
        """Remove a request; return whether it was waiting."""
        if self._waiting.pop((source, number), None) is None:
            return False
        self._order = None
        if not self._waiting:
            self._lane_tags.clear()
            self._virtual_time = 0.0
        return True


def _rank_in_order(waiting: WaitingRequest) -> tuple[bool, float, float]:
    return (waiting.is_late, waiting.tag, waiting.queued_at)
