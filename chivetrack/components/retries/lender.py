"""Lends the fixed slack of the retry budget to routers, one retry at a time, without I/O."""

from collections import deque
from dataclasses import dataclass, field
from typing import Final

from chivetrack.components.retries.const import (
    LEASE_DURATION_S,
    MAX_ARRIVAL_DELAY_S,
    MAX_CONFIRMATION_AGE_S,
)

NOT_LENDING_S: Final = 1.0
"""Wait that a router is told while this replica does not lend."""


@dataclass(slots=True)
class _ServiceLeases:
    """When retries of a service were lent, and how many refused routers wait for one to expire."""

    lent: deque[float] = field(default_factory=deque)
    waiting: int = 0


class SlackLender:
    """Lends retries so that all leases used within any window stay within the slack.

    The slack belongs to the fleet, and no memory of a router may divide it: a router that starts
    again has forgotten what it has used, and one that is cut off can't know how many there are.
    So the leader of the replicated log counts each retry that it lends, and forgets it only when
    no window can hold both that retry and a new one.

    The leader of a new term does not know what was lent before, so it waits until all of that has
    expired, unless it is the first leader of a new deployment. A replaced leader lends nothing
    once its last confirmation is too old, which is before the next one begins.
    """

    def __init__(self, *, slack: float, window_s: float) -> None:
        """Initialize without leases; ``slack`` retries may be used per service and window."""
        self._slack = slack
        self._retention_s = window_s + LEASE_DURATION_S + MAX_ARRIVAL_DELAY_S
        self._term: int | None = None
        self._confirmed_at = float("-inf")
        self._lends_from = float("inf")
        self._services: dict[str, _ServiceLeases] = {}

    def confirm_leadership(self, term: int, *, at: float, is_first: bool = False) -> None:
        """Record that a majority confirmed, after ``at`` (s), that this replica leads ``term``.

        ``is_first``: no replica has led before.
        """
        if term != self._term:
            self._term = term
            wait_s = 0.0 if is_first else self._retention_s + MAX_CONFIRMATION_AGE_S
            self._lends_from = at + wait_s
        self._confirmed_at = at

    def lend(self, service: str, *, now: float) -> float:
        """Return 0 if a retry of ``service`` is lent, else the seconds until one may be.

        ``now`` is a time of the boot clock (s).
        """
        if now - self._confirmed_at > MAX_CONFIRMATION_AGE_S:
            return NOT_LENDING_S
        if now < self._lends_from:
            return self._lends_from - now
        self._drop_expired(now)
        leases = self._services.get(service)
        if leases is None:
            leases = self._services[service] = _ServiceLeases()
        if len(leases.lent) + 1 > self._slack:
            return self._find_wait(leases, now)
        leases.lent.append(now)
        return 0.0

    def _find_wait(self, leases: _ServiceLeases, now: float) -> float:
        """Return the wait (s) of one more refused router.

        Each waits for another lease to expire, so that they don't all ask again together.
        """
        if not leases.lent:
            return self._retention_s
        awaited = leases.lent[min(leases.waiting, len(leases.lent) - 1)]
        leases.waiting += 1
        return self._retention_s - (now - awaited)

    def count_lent(self, service: str, *, now: float) -> int:
        """Return how many retries of ``service`` were lent and are not forgotten yet."""
        self._drop_expired(now)
        leases = self._services.get(service)
        return 0 if leases is None else len(leases.lent)

    def _drop_expired(self, now: float) -> None:
        for service, leases in list(self._services.items()):
            while leases.lent and now - leases.lent[0] > self._retention_s:
                leases.lent.popleft()
                leases.waiting = max(0, leases.waiting - 1)
            if not leases.lent:
                del self._services[service]
