"""A router's part of the fleet's retry budgets, by service."""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field

from chivetrack.components.retries.const import (
    MAX_LEASE_BACKOFF_S,
    MIN_LEASE_BACKOFF_S,
    SPARE_SHARE,
)
from chivetrack.components.retries.window import RetryWindow


@dataclass(frozen=True, slots=True, kw_only=True)
class Reservation:
    """A retry that may be sent; one that was leased expires at ``expires_at`` (s)."""

    service: str
    expires_at: float | None = None


@dataclass(slots=True, kw_only=True)
class _ServiceBudget:
    """What a router may use of one service's budget."""

    window: RetryWindow
    leases: deque[float] = field(default_factory=deque)
    refused_until: float = float("-inf")


class ServiceRetryBudgets:
    """Holds the retries that a router may send: paid by its own requests, or leased.

    Each retry is reserved before its router waits for anything, and committed when it is sent.
    If retries were only counted when they are sent, all that wait would pass the same check.
    Times are of the boot clock (s), which goes on while a machine is suspended.
    """

    def __init__(self, *, ratio: float, window_s: float) -> None:
        """Initialize without services; ``ratio`` is how many retries each request allows."""
        self._ratio = ratio
        self._window_s = window_s
        self._services: dict[str, _ServiceBudget] = {}

    def __len__(self) -> int:
        """Return the number of services with a budget in use."""
        return len(self._services)

    def _find(self, service: str) -> _ServiceBudget:
        budget = self._services.get(service)
        if budget is None:
            window = RetryWindow(ratio=self._ratio, window_s=self._window_s)
            budget = self._services[service] = _ServiceBudget(window=window)
        return budget

    def record_request(self, service: str, now: float) -> None:
        """Count a request of a caller."""
        self._find(service).window.record_request(now)

    def reserve(self, service: str, now: float) -> Reservation | None:
        """Reserve a retry without a new lease; return ``None`` if there is none."""
        budget = self._find(service)
        if budget.window.reserve(now):
            return Reservation(service=service)
        while budget.leases:
            expires_at = budget.leases.popleft()
            if now < expires_at:
                return Reservation(service=service, expires_at=expires_at)
        return None

    def reserve_spare(self, service: str, now: float) -> Reservation | None:
        """Reserve a retry that leaves ``1 - SPARE_SHARE`` of the ratio to other retries."""
        if self._find(service).window.reserve(now, share=SPARE_SHARE):
            return Reservation(service=service)
        return None

    def commit(self, reservation: Reservation, now: float) -> bool:
        """Use a reserved retry that is sent now; return whether it may still be sent."""
        if reservation.expires_at is not None:
            return now < reservation.expires_at
        return self._find(reservation.service).window.commit(now)

    def release(self, reservation: Reservation) -> None:
        """Give back a reserved retry that was not sent."""
        budget = self._find(reservation.service)
        if reservation.expires_at is None:
            budget.window.release()
        else:
            budget.leases.appendleft(reservation.expires_at)

    def record_refusal(self, service: str, *, wait_s: float, now: float) -> None:
        """Record that the lender has nothing to lend for ``wait_s`` seconds."""
        backoff_s = min(MAX_LEASE_BACKOFF_S, max(MIN_LEASE_BACKOFF_S, wait_s))
        self._find(service).refused_until = now + backoff_s

    def may_lease(self, service: str, now: float) -> bool:
        """Return whether the lender may be asked for a retry."""
        return now >= self._find(service).refused_until

    def has_retry(self, service: str, now: float) -> bool:
        """Return whether a retry of the service could be reserved now without a new lease."""
        budget = self._find(service)
        has_lease = any(now < expires_at for expires_at in budget.leases)
        return has_lease or budget.window.has_room(now)

    def describe(self, service: str, now: float) -> dict[str, float]:
        """Return what the window of a service holds, for a log line."""
        budget = self._find(service)
        counts = budget.window.count(now)
        return {
            "window_requests": counts.requests,
            "window_retries": counts.retries,
            "leases": len(budget.leases),
            "refused_s": round(max(0.0, budget.refused_until - now), 2),
        }

    def forget_idle(self, services: Collection[str], now: float) -> None:
        """Forget the budgets that hold nothing, but for those of ``services``."""
        for name, budget in list(self._services.items()):
            budget.window.count(now)
            if name not in services and budget.window.is_idle:
                del self._services[name]
