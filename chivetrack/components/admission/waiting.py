"""The order in which requests for slots wait: weighted fair queueing by workspace and rank."""

from collections.abc import Iterator
from dataclasses import dataclass

from chivetrack.components.admission.const import RANK_WEIGHT
from chivetrack.components.admission.messages import SlotRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitingRequest:
    """A request for a slot; ``expires_at`` is when it can no longer be served in time (s)."""

    source: str
    request: SlotRequest
    queued_at: float
    expires_at: float
    tag: float

    @property
    def key(self) -> tuple[str, int]:
        """Return what identifies the request: its router and its number there."""
        return (self.source, self.request.number)


class WaitingList:
    """Waiting requests in the order of their virtual finish times.

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

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Yield the requests in the order in which they are to be served."""
        return iter(sorted(self._waiting.values(), key=lambda one: (one.tag, one.queued_at)))

    def add(self, source: str, request: SlotRequest, *, now: float, expires_at: float) -> None:
        """Add a request of the router ``source``."""
        lane = (request.workspace, request.rank)
        start = max(self._virtual_time, self._lane_tags.get(lane, 0.0))
        tag = start + RANK_WEIGHT**request.rank
        self._lane_tags[lane] = tag
        waiting = WaitingRequest(
            source=source, request=request, queued_at=now, expires_at=expires_at, tag=tag
        )
        self._waiting[waiting.key] = waiting

    def serve(self, waiting: WaitingRequest) -> None:
        """Remove a request that gets a slot; the lanes of others catch up with its tag."""
        self._virtual_time = max(self._virtual_time, waiting.tag)
        self.remove(waiting.source, waiting.request.number)

    def remove(self, source: str, number: int) -> bool:
        """Remove a request; return whether it was waiting."""
        if self._waiting.pop((source, number), None) is None:
            return False
        if not self._waiting:
            self._lane_tags.clear()
            self._virtual_time = 0.0
        return True
