"""A router's part of the retry budget that all routers share."""

from collections import deque

# The budget is one of the fleet: each router takes an equal part of the fixed slack and
# its own share of the ratio, so that the parts add up without a message for a retry.
# Nine tenths, since routers may count each other a moment late.
SAFETY_FACTOR = 0.9


class RetryWindow:
    """Counts the requests and repeats of one service in a sliding window.

    It answers the load pattern in which endpoints fail many requests at once: repeats of
    all of them would double the load that made them fail.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Take the repeats a request allows, the repeats of the whole fleet, the window."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)

    def record_retry(self, now: float) -> None:
        """Count a request that was sent once more."""
        self._retries.append(now)

    def may_retry(self, now: float, *, routers: int) -> bool:
        """Return whether another repeat keeps the fleet within its budget."""
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()
        allowed = self._ratio * len(self._requests) + self._slack / max(1, routers)
        return len(self._retries) + 1 <= SAFETY_FACTOR * allowed
