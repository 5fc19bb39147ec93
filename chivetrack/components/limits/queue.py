"""The bounded queue: ordered by priority, then by weighted fair queueing."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from chivetrack.components.limits.models import LimitedRequest


@dataclass(frozen=True, slots=True)
class _Lane:
    priority: int
    workspace: str


@dataclass(frozen=True, slots=True)
class _Waiting:
    tag: float
    request: LimitedRequest


class FairQueue:
    """Queued requests; at equal priority, workspaces are served in proportion to weight.

    Each request advances its workspace's virtual finish time (its tag) by ``1 / weight``,
    and the lowest tag is served first. A surge of one workspace therefore delays its own
    requests and not those of other workspaces.
    """

    def __init__(self, *, capacity: int) -> None:
        """Initialize an empty queue for at most ``capacity`` requests."""
        self._capacity = capacity
        self._lanes: dict[_Lane, deque[_Waiting]] = {}
        self._last_tags: dict[_Lane, float] = {}
        self._virtual_time = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    @property
    def is_full(self) -> bool:
        """Return whether the queue holds ``capacity`` requests."""
        return self._length >= self._capacity

    def push(self, request: LimitedRequest, *, weight: float) -> None:
        """Add a request."""
        lane = _Lane(request.priority, request.workspace)
        start = max(self._virtual_time, self._last_tags.get(lane, 0.0))
        tag = start + 1.0 / weight
        self._last_tags[lane] = tag
        self._lanes.setdefault(lane, deque()).append(_Waiting(tag, request))
        self._length += 1

    def pop(self, is_eligible: Callable[[str], bool]) -> LimitedRequest | None:
        """Remove and return the next request whose workspace is eligible."""
        lanes = [lane for lane in self._lanes if is_eligible(lane.workspace)]
        if not lanes:
            return None
        lane = min(lanes, key=lambda each: (-each.priority, self._lanes[each][0].tag))
        waiting = self._lanes[lane].popleft()
        self._virtual_time = max(self._virtual_time, waiting.tag)
        self._after_removal(lane)
        return waiting.request

    def pop_surplus(self, newcomer: LimitedRequest) -> LimitedRequest | None:
        """Remove and return the request to drop so that ``newcomer`` can be queued.

        It is the newest of the longest lane of the lowest priority; lanes of a higher
        priority than the newcomer's are never chosen. Return ``None`` if the newcomer's own
        lane would be the longest: the newcomer itself is then the one to drop.
        """
        own = _Lane(newcomer.priority, newcomer.workspace)
        lanes = [lane for lane in self._lanes if lane.priority <= newcomer.priority]
        if not lanes:
            return None
        lane = max(lanes, key=lambda each: (-each.priority, len(self._lanes[each])))
        same = lane.priority == own.priority
        if same and len(self._lanes[lane]) <= len(self._lanes.get(own, ())) + 1:
            return None
        waiting = self._lanes[lane].pop()
        self._after_removal(lane)
        return waiting.request

    def pop_where(self, must_leave: Callable[[LimitedRequest], bool]) -> list[LimitedRequest]:
        """Remove and return all requests for which ``must_leave`` is true."""
        removed = []
        for lane, waiting in list(self._lanes.items()):
            leaving = [each.request for each in waiting if must_leave(each.request)]
            if not leaving:
                continue
            removed.extend(leaving)
            ids = {request.request_id for request in leaving}
            self._lanes[lane] = deque(w for w in waiting if w.request.request_id not in ids)
            self._length -= len(leaving) - 1
            self._after_removal(lane)
        return removed

    def count_ahead(self, request: LimitedRequest, *, share: float) -> float:
        """Return an estimate of how many requests would be admitted before this one.

        ``share`` is the workspace's fraction of the total weight.
        """
        own = len(self._lanes.get(_Lane(request.priority, request.workspace), ()))
        higher = sum(len(w) for lane, w in self._lanes.items() if lane.priority > request.priority)
        equal = sum(len(w) for lane, w in self._lanes.items() if lane.priority == request.priority)
        return higher + min(float(equal), own / share)

    def list_workspaces(self) -> set[str]:
        """Return the workspaces that have queued requests."""
        return {lane.workspace for lane in self._lanes}

    def count(self, workspace: str) -> int:
        """Return how many requests of a workspace are queued."""
        return sum(len(w) for lane, w in self._lanes.items() if lane.workspace == workspace)

    def _after_removal(self, lane: _Lane) -> None:
        self._length -= 1
        if self._lanes[lane]:
            return
        del self._lanes[lane]
        del self._last_tags[lane]
