"""History of a router's own in-flight counts over the last seconds."""

from collections import deque

from chivetrack.components.load.const import HISTORY_S


class CountHistory:
    """Holds the counts by endpoint, with their changes of the last ``HISTORY_S`` seconds."""

    def __init__(self) -> None:
        """Initialize the history without requests in flight."""
        self._counts: dict[str, int] = {}
        self._changes: dict[str, deque[tuple[float, int]]] = {}

    def get(self, endpoint_id: str) -> int:
        """Return the current count of an endpoint."""
        return self._counts.get(endpoint_id, 0)

    def copy_counts(self) -> dict[str, int]:
        """Return a copy of the counts that are not zero."""
        return dict(self._counts)

    def change(self, endpoint_id: str, step: int, now: float) -> None:
        """Add ``step`` to the count at time ``now``."""
        count = self._counts.get(endpoint_id, 0) + step
        if count:
            self._counts[endpoint_id] = count
        else:
            self._counts.pop(endpoint_id, None)
        changes = self._changes.setdefault(endpoint_id, deque())
        changes.append((now, step))
        while changes[0][0] < now - HISTORY_S:
            changes.popleft()

    def get_at(self, endpoint_id: str, time: float) -> int:
        """Return the count at an earlier time, at most ``HISTORY_S`` ago."""
        count = self.get(endpoint_id)
        for changed_at, step in reversed(self._changes.get(endpoint_id, ())):
            if changed_at <= time:
                break
            count -= step
        return count
