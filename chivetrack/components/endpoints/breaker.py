"""Circuit breaker of one endpoint, based on this router's own attempts."""

from collections import deque
from dataclasses import dataclass
from enum import StrEnum

from chivetrack.components.endpoints.const import (
    FIRST_OPEN_S,
    MAX_CONNECT_FAILURES_IN_ROW,
    MAX_FAILURES_IN_ROW,
    MAX_OPEN_S,
    PROBE_TIMEOUT_S,
    WINDOW_ATTEMPTS,
    WINDOW_FAILURE_SHARE,
    WINDOW_S,
)
from chivetrack.components.endpoints.models import OutcomeKind


class BreakerState(StrEnum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


@dataclass(frozen=True, slots=True)
class _Attempt:
    at: float
    ok: bool


class Breaker:
    """Circuit breaker that opens on consecutive failures or on a high failure share.

    After an exponentially growing delay it goes to half-open and admits one probe, whose
    outcome closes or opens it again.
    """

    def __init__(self, *, now: float) -> None:
        """Create a closed breaker."""
        self.state = BreakerState.CLOSED
        self.since = now
        self.reason = ""
        self.failures_in_row = 0
        self._window: deque[_Attempt] = deque(maxlen=4 * WINDOW_ATTEMPTS)
        self._openings = 0
        self._retry_at = 0.0
        self._probe_at: float | None = None

    @property
    def lets_through(self) -> bool:
        """Return whether a new attempt may go to the endpoint."""
        if self.state is BreakerState.HALF_OPEN:
            return self._probe_at is None
        return self.state is BreakerState.CLOSED

    def tick(self, now: float) -> None:
        """Go from open to half-open after the delay, and expire a probe without outcome."""
        if self.state is BreakerState.OPEN and now >= self._retry_at:
            self._change(BreakerState.HALF_OPEN, f"{self.reason}; one probe is admitted", now)
            self._probe_at = None
        # Without this limit a probe whose outcome is never recorded would block the
        # endpoint forever.
        if self._probe_at is not None and now >= self._probe_at + PROBE_TIMEOUT_S:
            self._probe_at = None

    def record_attempt(self, now: float) -> None:
        """Record the start of an attempt; in half-open state it becomes the probe."""
        if self.state is BreakerState.HALF_OPEN and self._probe_at is None:
            self._probe_at = now

    def record(self, *, ok: bool, kind: OutcomeKind, now: float) -> None:
        """Record the outcome of an attempt and open or close the breaker."""
        self._window.append(_Attempt(now, ok))
        if ok:
            self._record_success(now)
            return
        self.failures_in_row += 1
        if self.state is BreakerState.HALF_OPEN:
            self._open(f"the probe failed ({kind.value})", now)
            return
        if self.state is BreakerState.CLOSED:
            self._open_if_failing(kind, now)

    def _record_success(self, now: float) -> None:
        self.failures_in_row = 0
        if self.state is BreakerState.HALF_OPEN:
            self._window.clear()
            self._change(BreakerState.CLOSED, "", now)
            return
        if self.state is BreakerState.CLOSED and now - self.since > WINDOW_S:
            self._openings = 0

    def _open_if_failing(self, kind: OutcomeKind, now: float) -> None:
        limit = MAX_CONNECT_FAILURES_IN_ROW if kind is OutcomeKind.CONNECT else MAX_FAILURES_IN_ROW
        if self.failures_in_row >= limit:
            self._open(f"{self.failures_in_row} failures in a row ({kind.value})", now)
            return
        recent = [attempt for attempt in self._window if attempt.at > now - WINDOW_S]
        failed = sum(1 for attempt in recent if not attempt.ok)
        if len(recent) >= WINDOW_ATTEMPTS and failed >= WINDOW_FAILURE_SHARE * len(recent):
            self._open(f"{failed} of {len(recent)} attempts failed", now)

    def _open(self, reason: str, now: float) -> None:
        delay = min(MAX_OPEN_S, FIRST_OPEN_S * 2**self._openings)
        self._openings = min(self._openings + 1, 16)
        self._retry_at = now + delay
        self._probe_at = None
        self._change(BreakerState.OPEN, reason, now)

    def _change(self, state: BreakerState, reason: str, now: float) -> None:
        self.state = state
        self.reason = reason
        self.since = now
