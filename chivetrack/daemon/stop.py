"""Graceful stop: report not ready, settle, finish the requests in flight, then drain."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

import gevent
from gevent.event import Event as Signal

from chivetrack.daemon.const import (
    STOP_DRAIN_TIMEOUT_S,
    STOP_POLL_INTERVAL_S,
    STOP_QUIET_PERIOD_S,
)
from chivetrack.helpers.log import get_logger

_LOGGER = get_logger("stop")


class Phase(StrEnum):
    """Phase of the stop.

    During ``SETTLING`` the instance is reported as not ready but accepts requests, during
    ``FINISHING`` it finishes the requests in flight and refuses those on new connections, and
    during ``DRAINING`` it refuses every request that it reads.
    """

    RUNNING = "running"
    SETTLING = "settling"
    FINISHING = "finishing"
    DRAINING = "draining"
    ENDED = "ended"


@dataclass(frozen=True, slots=True, kw_only=True)
class StopReport:
    """Result of a stop; ``cut`` is the number of requests that were cut off."""

    cut: int


class OpenRequests(Protocol):
    """The requests of the listeners that a stop finishes."""

    def count(self) -> int:
        """Return the number of requests that are read or served."""
        ...

    def refuse_connections(self, *, opened_after: float) -> None:
        """Refuse callers' requests on connections opened after a time (s, monotonic)."""
        ...

    def refuse_new(self) -> None:
        """Refuse every request that is read from now on; does not switch greenlets."""
        ...

    def end_open(self) -> None:
        """End the open requests: they get a typed error, or their answer is left incomplete."""
        ...

    def drain(self, *, ends_at: float) -> int:
        """Answer what callers have sent, then close their listener and connections.

        Return the number of connections that are still open at ``ends_at`` (s, monotonic).
        """
        ...

    def count_connections(self) -> int:
        """Return the number of open connections of callers."""
        ...


class GracefulStop:
    """Runs the stop; a second signal or the deadline ends it immediately.

    Requests are accepted while the load balancer may still send some. Refusing them earlier
    would refuse requests that were sent before the load balancer saw that the instance is not
    ready. Connections are accepted until the end: callers in the accept queue of a listener
    that nobody reads would be reset at the exit.
    """

    def __init__(
        self,
        *,
        settle_s: float,
        deadline_s: float,
        requests: OpenRequests,
        read_clock: Callable[[], float],
    ) -> None:
        """Create a stop of the listeners that ``requests`` arrive at.

        ``settle_s`` is the time between not ready and finishing, and ``deadline_s`` the
        longest time until the decision to exit, both in seconds.
        """
        self._settle_s = settle_s
        self._deadline_s = deadline_s
        self._requests = requests
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
        self._requests.refuse_connections(opened_after=self._read_clock())
        cut = self._finish(ends_at)
        if cut:
            self._requests.end_open()
        _LOGGER.info("The exit is decided with {} requests open.", cut)
        cut += self._drain(ends_at)
        self.phase = Phase.ENDED
        if cut:
            _LOGGER.error("Stopped with {} requests cut off.", cut)
        else:
            _LOGGER.info("Stopped, nothing cut off.")
        return StopReport(cut=cut)

    def _finish(self, ends_at: float) -> int:
        """Wait until no request is open, refuse new ones and return the number of open ones.

        No greenlet runs between the last count and the refusal. A request that was read in
        between would be served by nobody's count and cut by the exit.
        """
        quiet_since = self._read_clock()
        while True:
            count = self._requests.count()
            now = self._read_clock()
            if count:
                quiet_since = now
            is_quiet = now - quiet_since >= STOP_QUIET_PERIOD_S
            if is_quiet or now >= ends_at or self._forced.is_set():
                self._requests.refuse_new()
                self.phase = Phase.DRAINING
                return count
            gevent.sleep(STOP_POLL_INTERVAL_S)

    def _drain(self, ends_at: float) -> int:
        """Drain until ``ends_at`` or a second signal, but at least for the drain timeout."""
        earliest = self._read_clock() + STOP_DRAIN_TIMEOUT_S
        if self._forced.is_set():
            return self._requests.drain(ends_at=earliest)
        draining = gevent.spawn(self._requests.drain, ends_at=max(ends_at, earliest))
        gevent.wait([draining, self._forced], count=1)
        if draining.ready():
            return int(draining.get())
        draining.kill()
        return self._requests.count_connections()
