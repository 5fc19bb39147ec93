"""Decides whether a router that is behind takes a new connection, without I/O."""

from typing import Final

MAX_LAG_S: Final = 0.02
MAX_BUSY_SHARE: Final = 0.9
"""Mean delay of the event loop, and mean share of the time for which it works, above which new
connections are closed unread. On a share of a core, the delay shows first."""

SAMPLE_WEIGHT: Final = 0.2
"""Weight of the newest sample in the means; samples come 50 times a second."""

KEPT_CONNECTIONS: Final = 10
"""While a router is behind, one in this many connections is taken all the same."""


class ConnectionShedder:
    """Closes new connections unread while a router is behind with its work.

    The load balancer may hand most connections of a zone or region to one router. If it read all
    requests, none would be answered in time. A caller whose connection is closed unread knows that
    its request has not run, and its next attempt meets another router. If all are behind, each
    still takes some, and answers these in time.
    """

    def __init__(self) -> None:
        """Initialize a router that is not behind."""
        self._mean_lag_s = 0.0
        self._mean_share = 0.0
        self._closed_in_a_row = 0
        self.closed_count = 0

    @property
    def mean_lag_s(self) -> float:
        """Return the mean delay of the event loop in seconds."""
        return self._mean_lag_s

    @property
    def mean_share(self) -> float:
        """Return the mean share of the time for which the event loop works."""
        return self._mean_share

    def record_sample(self, *, lag_s: float, busy_share: float) -> None:
        """Record by how much a timer was late, and for which share of the time the loop worked."""
        self._mean_lag_s += SAMPLE_WEIGHT * (lag_s - self._mean_lag_s)
        self._mean_share += SAMPLE_WEIGHT * (busy_share - self._mean_share)

    def may_accept(self) -> bool:
        """Return whether the next connection is taken."""
        is_behind = self._mean_lag_s > MAX_LAG_S or self._mean_share > MAX_BUSY_SHARE
        if not is_behind or self._closed_in_a_row + 1 >= KEPT_CONNECTIONS:
            self._closed_in_a_row = 0
            return True
        self._closed_in_a_row += 1
        self.closed_count += 1
        return False
