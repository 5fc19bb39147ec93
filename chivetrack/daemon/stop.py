"""Graceful stop: report not ready, settle, finish the requests in flight, then end."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import gevent
from gevent.event import Event as Signal

from chivetrack.daemon.const import STOP_POLL_INTERVAL_S, STOP_QUIET_PERIOD_S
from chivetrack.helpers.log import get_logger

_LOGGER = get_logger("stop")


class Phase(StrEnum):
    """Phase of the stop.

    During ``SETTLING`` the instance is reported as not ready but accepts connections, and
    during ``FINISHING`` it finishes the requests in flight.
    """

    RUNNING = "running"
    SETTLING = "settling"
    FINISHING = "finishing"
    ENDED = "ended"


@dataclass(frozen=True, slots=True, kw_only=True)
class StopReport:
    """Result of a stop; ``cut`` is the number of requests that were cut off."""

    cut: int


class GracefulStop:
    """Runs the stop; a second signal or the deadline ends it immediately.

    The listener stays open while the load balancer may still send requests. Closing it
    earlier would refuse requests that were sent before the load balancer saw that the
    instance is not ready.
    """

    def __init__(
        self,
        *,
        settle_s: float,
        deadline_s: float,
        count_open: Callable[[], int],
        close_listeners: Callable[[], None],
        read_clock: Callable[[], float],
    ) -> None:
        """Create a stop; ``count_open`` returns the number of open requests.

        ``settle_s`` is the time between not ready and the close of the listeners, and
        ``deadline_s`` the longest duration of the stop, both in seconds.
        """
        self._settle_s = settle_s
        self._deadline_s = deadline_s
        self._count_open = count_open
        self._close_listeners = close_listeners
        self._read_clock = read_clock
        self._requested = Signal()
        self._forced = Signal()
        self.phase = Phase.RUNNING

    @property
    def is_stopping(self) -> bool:
        """Return whether a stop has begun."""
        return self.phase is not Phase.RUNNING

    def request(self) -> None:
        """Request a stop; the first call begins the stop, the second call ends it."""
        if self._requested.is_set():
            self._forced.set()
        self._requested.set()

    def wait(self) -> StopReport:
        """Wait until a stop is requested, run it and return its report."""
        self._requested.wait()
        ends_at = self._read_clock() + self._deadline_s
        self.phase = Phase.SETTLING
        _LOGGER.info("Stopping: reported as not ready, settling for {} s.", self._settle_s)
        self._forced.wait(min(self._settle_s, self._deadline_s))
        self.phase = Phase.FINISHING
        self._close_listeners()
        self._finish(ends_at)
        cut = self._count_open()
        self.phase = Phase.ENDED
        if cut:
            _LOGGER.error("Stopped with {} requests cut off.", cut)
        else:
            _LOGGER.info("Stopped, nothing cut off.")
        return StopReport(cut=cut)

    def _finish(self, ends_at: float) -> None:
        quiet_since = self._read_clock()
        while not self._forced.is_set() and self._read_clock() < ends_at:
            if self._count_open():
                quiet_since = self._read_clock()
            elif self._read_clock() - quiet_since >= STOP_QUIET_PERIOD_S:
                return
            gevent.sleep(STOP_POLL_INTERVAL_S)
