"""Enforces this router's share of one workspace's limits."""

from chivetrack.components.limits.bucket import TokenBucket
from chivetrack.components.limits.const import SHARE_WAIT_S
from chivetrack.components.limits.models import Cause, WaitEstimate, WorkspaceLimit
from chivetrack.components.limits.shares import ShareTracker


class WorkspaceGate:
    """Counts a workspace's requests against this router's share of its limits."""

    def __init__(
        self, *, workspace: str, limit: WorkspaceLimit, shares: ShareTracker, now: float
    ) -> None:
        """Initialize with no running request and a full bucket."""
        self.limit = limit
        self.running = 0
        self._workspace = workspace
        self._shares = shares
        self._bucket: TokenBucket | None = None
        self.configure(limit, now)

    def configure(self, limit: WorkspaceLimit, now: float) -> None:
        """Apply changed limits; running requests are not affected."""
        self.limit = limit
        if limit.rate_per_s is None:
            self._bucket = None
        elif self._bucket is None:
            rate, burst = self._share_rate(limit.rate_per_s)
            self._bucket = TokenBucket(rate_per_s=rate, burst=burst, now=now)

    def start(self, now: float) -> None:
        """Count a request as running and consume a token."""
        self.running += 1
        bucket = self._refill(now)
        if bucket is not None:
            bucket.try_consume(now)

    def estimate(self, queued: int, mean_s: float, now: float) -> WaitEstimate:
        """Return the wait of a request behind ``queued`` requests of its workspace.

        ``mean_s`` is the mean service time of a request in seconds.
        """
        bucket = self._refill(now)
        rate_wait = bucket.get_wait(now, tokens=queued + 1.0) if bucket else 0.0
        slot_wait = self._estimate_slot(queued, mean_s)
        if rate_wait >= slot_wait and rate_wait > 0.0:
            return WaitEstimate(rate_wait, Cause.RATE)
        if slot_wait > 0.0:
            return WaitEstimate(slot_wait, Cause.CONCURRENCY)
        return WaitEstimate(0.0, Cause.NOTHING)

    def is_idle(self, now: float) -> bool:
        """Return whether no request is running and the bucket is full."""
        bucket = self._refill(now)
        return self.running == 0 and (bucket is None or bucket.is_full(now))

    def _estimate_slot(self, queued: int, mean_s: float) -> float:
        if self.limit.concurrency is None:
            return 0.0
        units = self._shares.allot_units(self._workspace, self.limit.concurrency)
        if units <= 0:
            return SHARE_WAIT_S
        free = units - self.running - queued
        return 0.0 if free > 0 else (1 - free) * mean_s / units

    def _refill(self, now: float) -> TokenBucket | None:
        if self._bucket is not None and self.limit.rate_per_s is not None:
            rate, burst = self._share_rate(self.limit.rate_per_s)
            self._bucket.set_rate(rate_per_s=rate, burst=burst, now=now)
        return self._bucket

    def _share_rate(self, rate_per_s: float) -> tuple[float, float]:
        share = self._shares.get_share(self._workspace)
        return rate_per_s * share, max(1.0, self.limit.burst * share)
