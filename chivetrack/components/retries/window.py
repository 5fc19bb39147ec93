"""A router's share of the retry budget of the fleet."""

from collections import deque
from dataclasses import dataclass

# The budget belongs to the fleet. Each router uses an equal part of the fixed slack and the
# ratio of its own requests, so that the parts add up to the budget without messages between
# routers. The factor leaves a margin, since a router may learn late how many routers there are.
SAFETY_FACTOR = 0.9


@dataclass(frozen=True, slots=True, kw_only=True)
class WindowCounts:
    """What a window holds, and how many retries it allows."""

    requests: int
    retries: int
    allowed: float


class RetryWindow:
    """Counts the requests and retries of one service in a sliding window.

    This protects endpoints that fail many requests because of overload: retries of all of
    them would double the load.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Initialize an empty window.

        ``ratio`` is how many retries each request allows, ``slack`` how many the whole fleet
        may make beyond that in ``window_s`` seconds.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self._reserved = 0

    def record_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)

    def record_retry(self, now: float) -> None:
        """Count a retry."""
        self._retries.append(now)

    def reserve(self, now: float, *, routers: int) -> bool:
        """Reserve a retry until it is sent or released; return whether there was room."""
        if not self.may_retry(now, routers=routers):
            return False
        self._reserved += 1
        return True

    def release(self) -> None:
        """Give back a reserved retry that was not sent."""
        self._reserved -= 1

    def commit(self, now: float) -> None:
        """Count a reserved retry that is sent now."""
        self._reserved -= 1
        self.record_retry(now)

    def may_retry(self, now: float, *, routers: int) -> bool:
        """Return whether the fleet, of ``routers`` routers, stays in budget with a retry."""
        counts = self.count(now, routers=routers)
        return counts.retries + 1 <= counts.allowed

    def count(self, now: float, *, routers: int) -> WindowCounts:
        """Return what the window holds at ``now`` (s)."""
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()
        allowed = self._ratio * len(self._requests) + self._slack / max(1, routers)
        return WindowCounts(
            requests=len(self._requests),
            retries=len(self._retries) + self._reserved,
            allowed=SAFETY_FACTOR * allowed,
        )
