"""A fleet without I/O whose routers retry while its processes are killed, cut, frozen and added."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from chivetrack.components.retries.const import (
    CONFIRMATION_INTERVAL_S,
    LEASE_DURATION_S,
    LEASE_TIMEOUT_S,
    MAX_ARRIVAL_DELAY_S,
)
from chivetrack.components.retries.lender import SlackLender
from chivetrack.components.retries.service_budgets import Reservation, ServiceRetryBudgets
from tests.components.retries.oracle import RATIO, SLACK, WINDOW_S

SERVICE = "llm"
REPLICAS = 5
END_S = 60.0
STEP_S = 0.05
MAX_FREEZE_S = 8.0


@dataclass(slots=True)
class _Router:
    """One life of a router."""

    budgets: ServiceRetryBudgets
    share: float
    is_cut: bool = False
    frozen_until: float = 0.0
    is_alive: bool = True


@dataclass(slots=True)
class _Replica:
    """One life of a replica."""

    lender: SlackLender


@dataclass(slots=True)
class RetryingFleet:
    """Plays one seed; ``requests`` and ``retries`` are the times of their arrivals (s).

    Requests come at a rate that changes, and each fails with a probability that changes. Between
    the check of a retry and its sending, its router may wait.
    """

    seed: int
    requests: list[float] = field(default_factory=list)
    retries: list[float] = field(default_factory=list)
    refused: int = 0
    _random: random.Random = field(init=False)
    _routers: list[_Router] = field(default_factory=list)
    _replicas: list[_Replica] = field(default_factory=list)
    _leader: int = 0
    _term: int = 1
    _due: list[tuple[float, int, Callable[[float], None]]] = field(default_factory=list)
    _count: int = 0

    def __post_init__(self) -> None:
        """Start all processes; the first leader has led for long."""
        self._random = random.Random(self.seed)
        self._replicas = [self._start_replica() for _ in range(REPLICAS)]
        self._replicas[0].lender.confirm_leadership(1, at=-100.0)
        self._routers = [self._start_router() for _ in range(self._random.randint(2, 12))]

    def _start_router(self) -> _Router:
        budgets = ServiceRetryBudgets(ratio=RATIO, window_s=WINDOW_S)
        return _Router(budgets, share=self._random.random() ** 2 + 0.01)

    def _start_replica(self) -> _Replica:
        return _Replica(SlackLender(slack=SLACK, window_s=WINDOW_S))

    def play(self) -> "RetryingFleet":
        """Play until ``END_S`` and return the fleet, its arrivals sorted."""
        rate, failing = 50.0, 0.7
        for step in range(int(END_S / STEP_S)):
            now = step * STEP_S
            if self._random.random() < 0.005:
                rate = self._random.choice((0.0, 5.0, 30.0, 100.0))
            if self._random.random() < 0.01:
                failing = self._random.choice((0.0, 0.3, 0.7, 1.0))
            self._disturb(now)
            self._confirm(now)
            for _ in range(self._draw_count(rate * STEP_S)):
                self._serve(now + self._random.random() * STEP_S, failing)
            self._run_due(now + STEP_S)
        self.requests.sort()
        self.retries.sort()
        return self

    def _draw_count(self, mean: float) -> int:
        return sum(self._random.random() < mean / 20 for _ in range(20))

    def _run_due(self, now: float) -> None:
        while self._due and self._due[0][0] <= now:
            at, _, action = heapq.heappop(self._due)
            action(at)

    def _call_at(self, at: float, action: Callable[[float], None]) -> None:
        self._count += 1
        heapq.heappush(self._due, (at, self._count, action))

    def _disturb(self, now: float) -> None:
        for index, router in enumerate(self._routers):
            if self._random.random() < 0.001:
                router.is_alive = False
                self._routers[index] = self._start_router()
            elif self._random.random() < 0.001:
                router.frozen_until = now + self._random.random() * MAX_FREEZE_S
            elif self._random.random() < 0.002:
                router.is_cut = not router.is_cut
        if self._random.random() < 0.005:
            self._routers.append(self._start_router())
        if self._random.random() < 0.002:
            for index, router in enumerate(self._routers):
                router.is_alive = False
                self._routers[index] = self._start_router()
        if self._random.random() < 0.006:
            self._elect()

    def _elect(self) -> None:
        """Replace the leader, which either was killed or does not notice it."""
        if self._random.random() < 0.5:
            self._replicas[self._leader] = self._start_replica()
        self._term += 1
        self._leader = self._random.randrange(REPLICAS)

    def _confirm(self, now: float) -> None:
        if self._random.random() < STEP_S / CONFIRMATION_INTERVAL_S:
            self._replicas[self._leader].lender.confirm_leadership(self._term, at=now)

    def _serve(self, at: float, failing: float) -> None:
        router = self._random.choices(self._routers, [one.share for one in self._routers])[0]
        router.budgets.record_request(SERVICE, at)
        self.requests.append(at)
        if self._random.random() < failing:
            self._call_at(at + self._random.random() * 3.0, lambda now: self._retry(router, now))

    def _is_held(self, router: _Router, now: float, action: Callable[[float], None]) -> bool:
        """Return whether a router does not run; a frozen one goes on later."""
        if not router.is_alive:
            return True
        if now < router.frozen_until:
            self._call_at(router.frozen_until, action)
            return True
        return False

    def _retry(self, router: _Router, now: float) -> None:
        if self._is_held(router, now, lambda later: self._retry(router, later)):
            return
        reservation = router.budgets.reserve(SERVICE, now)
        if reservation is not None:
            self._wait_and_send(router, reservation, now)
        elif not router.is_cut and router.budgets.may_lease(SERVICE, now):
            # Some routers still take a replica that was replaced for the lender.
            lender = self._leader if self._random.random() < 0.9 else self._random.randrange(5)
            self._lease(router, self._replicas[lender].lender, now)
        else:
            self.refused += 1

    def _lease(self, router: _Router, lender: SlackLender, asked_at: float) -> None:
        """Ask a lender; the request and the answer take their time, and a frozen router reads late.

        After the timeout, the answer is dropped.
        """
        decided_at = asked_at + self._random.random() * LEASE_TIMEOUT_S / 2
        wait_s = lender.lend(SERVICE, now=decided_at)
        read_at = decided_at + self._random.random() * LEASE_TIMEOUT_S / 2
        if wait_s:
            router.budgets.record_refusal(SERVICE, wait_s=wait_s, now=read_at)
            self.refused += 1
            return
        lease = Reservation(service=SERVICE, expires_at=asked_at + LEASE_DURATION_S)
        self._wait_and_send(router, lease, read_at)

    def _wait_and_send(self, router: _Router, reservation: Reservation, now: float) -> None:
        wait_s = self._random.choice((0.0, 0.0, 0.05, 0.5, 1.5))
        self._call_at(now + wait_s, lambda at: self._send(router, reservation, at))

    def _send(self, router: _Router, reservation: Reservation, now: float) -> None:
        if self._is_held(router, now, lambda later: self._send(router, reservation, later)):
            return
        if self._random.random() < 0.1:
            router.budgets.release(reservation)
        elif router.budgets.commit(reservation, now):
            self.retries.append(now + self._random.random() * MAX_ARRIVAL_DELAY_S / 3)
        else:
            self.refused += 1
