"""A graceful stop: unready, settle, finish what is in flight, then end."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import gevent
from gevent.event import Event as Signal

from chivetrack.daemon.const import STOP_POLL_INTERVAL_S, STOP_QUIET_PERIOD_S
from chivetrack.helpers.log import get_logger

_LOGGER = get_logger("stop")


class Phase(StrEnum):
    """How far the stop has got."""

    RUNNING = "running"
    SETTLING = "settling"
    FINISHING = "finishing"
    ENDED = "ended"


@dataclass(frozen=True, slots=True, kw_only=True)
class StopReport:
    """What a stop cut off; nothing when it was graceful."""

    cut: int


class GracefulStop:
    """Runs the stop; a second signal or the deadline ends it at once.

    The listener stays open while the balancer may still send: closing it first would
    refuse requests that were sent in good faith to a ready instance.
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
        """Take the times in seconds and what is to be waited for."""
        self._settle_s = settle_s
        self._deadline_s = deadline_s
        self._count_open = count_open
        self._close_listeners = close_listeners
        self._read_clock = read_clock
        self._asked = Signal()
        self._forced = Signal()
        self.phase = Phase.RUNNING

    @property
    def is_stopping(self) -> bool:
        """Return whether a stop has begun."""
        return self.phase is not Phase.RUNNING

    def ask(self) -> None:
        """Take a signal: the first one begins the stop, the second one ends it."""
        if self._asked.is_set():
            self._forced.set()
        self._asked.set()

    def wait(self) -> StopReport:
        """Wait until a stop is asked for, carry it out and tell what was cut."""
        self._asked.wait()
        ends_at = self._read_clock() + self._deadline_s
        self.phase = Phase.SETTLING
        _LOGGER.info("Stopping: not ready, settling for {} s.", self._settle_s)
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
