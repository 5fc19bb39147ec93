"""A fleet without I/O whose endpoints crash under one part of prompts."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from chivetrack.components.distribution.const import LOAD_REPORT_INTERVAL_S
from chivetrack.components.quarantine.const import ANSWER_PROOF_S
from chivetrack.components.quarantine.crash_reports import RecentCrashes
from chivetrack.components.quarantine.evidence import CrashEvidence
from chivetrack.components.quarantine.fingerprint import (
    make_part_fingerprint,
    make_service_fingerprint,
)
from chivetrack.components.quarantine.models import (
    AnsweredReport,
    CrashReport,
    Quarantine,
    StoredEvidence,
)

SERVICE = "llm"
BAD_PART = "bad"
REPLICAS = 3
END_S = 60.0
BAD_FROM_S = 10.0
CONTACT_S = 3.0
REQUESTS_PER_S = 23.0
LOSS_RATE = 0.05
SAVE_S = 0.1
MAX_SENDS = 2

_PARTS = {
    part: make_part_fingerprint(service=SERVICE, part=part)
    for part in (BAD_PART, *(f"hot{n}" for n in range(4)), *(f"rare{n}" for n in range(40)))
}
_SERVICE_FINGERPRINT = make_service_fingerprint(SERVICE)


@dataclass(slots=True)
class _Request:
    """A request with the shared parts of its prompt; ``sends`` counts its attempts."""

    fingerprint: bytes
    parts: tuple[str, ...]
    sends: int = 0

    def list_fingerprints(self) -> list[bytes]:
        return [self.fingerprint, *(_PARTS[part] for part in self.parts)]


@dataclass(frozen=True, slots=True)
class _BadSend:
    """When a request with the bad part was sent to an endpoint."""

    at: float
    is_in_touch: bool


@dataclass(slots=True)
class _Endpoint:
    """One address; ``life`` counts its incarnations."""

    number: int
    life: int = 0
    is_alive: bool = True
    running: list[tuple["_Router", _Request]] = field(default_factory=list)


@dataclass(slots=True)
class _Router:
    """One life of a router; it serves from its first view on."""

    replica: int
    crashes: RecentCrashes = field(default_factory=RecentCrashes)
    suspects: tuple[bytes, ...] = ()
    held: frozenset[bytes] = frozenset()
    seen_life: int = -1
    started_at: float = float("-inf")
    is_ready: bool = False
    is_alive: bool = True


@dataclass(slots=True)
class _Replica:
    """One life of a replica; ``disk`` has its evidence as of the time ``saved_at`` (s)."""

    life: int
    disk: StoredEvidence = StoredEvidence()
    saved_at: float = 0.0
    is_saving: bool = False
    evidence: CrashEvidence = field(default_factory=CrashEvidence)
    is_alive: bool = True


class CrashingFleet:
    """Plays one seed.

    ``bad_crashes`` are the times (s) of crashes under the bad part, ``bad_sends`` its arrivals at
    endpoints; ``held`` are the parts that were quarantined, and when.
    """

    def __init__(self, seed: int, *, has_kills: bool = True) -> None:
        """Start all processes."""
        self._random = random.Random(seed)
        self._has_kills = has_kills
        self.bad_crashes: list[float] = []
        self.bad_sends: list[_BadSend] = []
        self.held: dict[str, float] = {}
        self.held_requests = 0
        self.answered = 0
        self._due: list[tuple[float, int, Callable[[float], None]]] = []
        self._count = 0
        self._bad_share = self._random.choice((0.02, 0.04, 0.1, 0.3))
        self._restart_s = self._random.uniform(1.5, 5.0)
        self._other_crashes_per_s = self._random.choice((0.0, 0.05, 0.2))
        self._endpoints = [_Endpoint(number) for number in range(self._random.randint(4, 8))]
        self._replicas = [_Replica(life=number) for number in range(REPLICAS)]
        self._lives = REPLICAS
        self._leader = 0
        self._leads_from = 0.0
        self._replica_killed_at = float("-inf")
        self._quarantine = Quarantine()
        routers = range(self._random.randint(2, 9))
        self._routers = [self._start_router(0.0) for _ in routers]

    # Time

    def _call_at(self, at: float, action: Callable[[float], None]) -> None:
        self._count += 1
        heapq.heappush(self._due, (at, self._count, action))

    def play(self) -> "CrashingFleet":
        """Play until ``END_S``."""
        self._call_at(0.0, self._create)
        self._call_at(0.0, self._exchange)
        self._call_at(0.5, self._disturb)
        while self._due and self._due[0][0] < END_S:
            now, _, action = heapq.heappop(self._due)
            action(now)
        return self

    # Requests

    def _create(self, now: float) -> None:
        self._call_at(now + self._random.expovariate(REQUESTS_PER_S), self._create)
        parts = [f"hot{self._random.randrange(4)}"]
        if self._random.random() < 0.5:
            parts.append(f"rare{int(40 * self._random.random() ** 3)}")
        if now > BAD_FROM_S and self._random.random() < self._bad_share:
            parts.append(BAD_PART)
        request = _Request(self._random.randbytes(16), tuple(parts))
        ready = [router for router in self._routers if router.is_ready]
        if ready:
            self._send(self._random.choice(ready), request, now)

    def _send(self, router: _Router, request: _Request, now: float) -> None:
        alive = [endpoint for endpoint in self._endpoints if endpoint.is_alive]
        is_held = not router.held.isdisjoint(request.list_fingerprints())
        if is_held or not alive or not router.is_alive:
            return
        request.sends += 1
        endpoint = self._random.choice(alive)
        endpoint.running.append((router, request))
        if BAD_PART in request.parts:
            disturbed_at = max(router.started_at, self._replica_killed_at)
            self.bad_sends.append(_BadSend(now, is_in_touch=now - disturbed_at > CONTACT_S))
        begins_at = now + self._random.choice((0.05, 0.1, 0.3, 1.5))
        life = endpoint.life
        self._call_at(begins_at, lambda at: self._begin(endpoint, life, router, request, at))

    def _begin(
        self, endpoint: _Endpoint, life: int, router: _Router, request: _Request, now: float
    ) -> None:
        if endpoint.life != life or not endpoint.is_alive:
            return
        if BAD_PART in request.parts:
            self.bad_crashes.append(now)
            self._crash(endpoint, now)
            return
        self._call_at(
            now + ANSWER_PROOF_S, lambda at: self._prove(endpoint, life, router, request, now)
        )
        ends_at = now + self._random.uniform(0.2, 3.0)
        self._call_at(ends_at, lambda at: self._finish(endpoint, life, router, request))

    def _prove(
        self, endpoint: _Endpoint, life: int, router: _Router, request: _Request, began_at: float
    ) -> None:
        if endpoint.life == life and endpoint.is_alive:
            self.answered += 1
            fingerprints = [*request.list_fingerprints(), _SERVICE_FINGERPRINT]
            router.crashes.record_answered(fingerprints, now=began_at)

    def _finish(self, endpoint: _Endpoint, life: int, router: _Router, request: _Request) -> None:
        if endpoint.life == life and (router, request) in endpoint.running:
            endpoint.running.remove((router, request))

    def _crash(self, endpoint: _Endpoint, now: float) -> None:
        endpoint.is_alive = False
        broken, endpoint.running = endpoint.running, []
        incarnation = f"i-{endpoint.number}-{endpoint.life}"
        for router in {id(one): one for one, _ in broken}.values():
            requests = [request for one, request in broken if one is router]
            seen_at = now + self._random.uniform(0.02, 0.1)
            self._call_at(
                seen_at,
                lambda at, router=router, requests=requests: self._see_crash(
                    router, requests, incarnation, at
                ),
            )
        self._call_at(now + self._restart_s, lambda at: self._restart_endpoint(endpoint))

    def _restart_endpoint(self, endpoint: _Endpoint) -> None:
        endpoint.life += 1
        endpoint.is_alive = True

    def _see_crash(
        self, router: _Router, requests: list[_Request], incarnation: str, now: float
    ) -> None:
        if not router.is_alive:
            return
        reports = [
            CrashReport(
                fingerprint=fingerprint,
                endpoint_id=incarnation,
                born=1,
                service=SERVICE,
                path="/",
                workspace="w",
                part=part,
                request=request.fingerprint,
            )
            for request in requests
            for part, fingerprint in zip(
                ("", *request.parts), request.list_fingerprints(), strict=True
            )
        ]
        router.crashes.record_crash(reports, now=now)
        self._report(router, now)
        for request in requests:
            is_suspected = not set(router.suspects).isdisjoint(request.list_fingerprints())
            if request.sends < MAX_SENDS and not is_suspected:
                self._send(router, request, now)

    # Messages

    def _is_lost(self) -> bool:
        return self._random.random() < LOSS_RATE

    def _poll(self, router: _Router, now: float) -> None:
        if router.is_alive:
            self._call_at(now + LOAD_REPORT_INTERVAL_S, lambda at: self._poll(router, at))
            self._report(router, now)

    def _report(self, router: _Router, now: float) -> None:
        if not self._replicas[router.replica].is_alive or self._is_lost():
            router.replica = self._random.randrange(REPLICAS)
            return
        replica = self._replicas[router.replica]
        reports = router.crashes.list_current(now=now)
        answered = router.crashes.list_answered(router.suspects, now=now)
        self._call_at(
            now + 0.01, lambda at: self._handle_report(replica, router, reports, answered, at)
        )

    def _handle_report(
        self,
        replica: _Replica,
        router: _Router,
        reports: tuple[CrashReport, ...],
        answered: tuple[AnsweredReport, ...],
        now: float,
    ) -> None:
        if not replica.is_alive:
            return
        replica.evidence.record(reports, now=now)
        replica.evidence.record_answered(answered, now=now)
        self._order_due(now)
        self._schedule_save(replica, now)
        if not self._is_lost():
            asked = replica.evidence.list_asked()
            held = frozenset(one.fingerprint for one in self._quarantine.requests)
            self._call_at(
                now + 0.01, lambda at: self._handle_view(router, replica, asked, held, at)
            )

    @staticmethod
    def _handle_view(
        router: _Router,
        replica: _Replica,
        asked: tuple[bytes, ...],
        held: frozenset[bytes],
        now: float,
    ) -> None:
        if router.seen_life not in (-1, replica.life):
            router.crashes.report_again(now=now)
        router.seen_life = replica.life
        router.suspects, router.held, router.is_ready = asked, held, router.is_alive

    def _exchange(self, now: float) -> None:
        self._call_at(now + LOAD_REPORT_INTERVAL_S, self._exchange)
        alive = [replica for replica in self._replicas if replica.is_alive]
        for source in alive:
            reports = source.evidence.list_recent(now=now)
            answered = source.evidence.list_answered(now=now)
            for target in alive:
                if target is not source and not self._is_lost():
                    target.evidence.record(reports, now=now)
                    target.evidence.record_answered(answered, now=now)
                    self._schedule_save(target, now)
        self._order_due(now)

    def _schedule_save(self, replica: _Replica, now: float) -> None:
        if not replica.is_saving:
            replica.is_saving = True
            content = replica.evidence.store(now=now)
            self._call_at(now + SAVE_S, lambda _: self._save(replica, content, now))

    @staticmethod
    def _save(replica: _Replica, content: StoredEvidence, made_at: float) -> None:
        replica.is_saving = False
        if replica.is_alive:
            replica.disk, replica.saved_at = content, made_at

    def _order_due(self, now: float) -> None:
        leader = self._replicas[self._leader]
        if not leader.is_alive or now < self._leads_from:
            return
        for order in leader.evidence.list_due(self._quarantine, at=now, now=now):
            self._quarantine, _ = self._quarantine.apply(order, self._quarantine.revision + 1)
            if order.part:
                self.held[order.part] = now
            else:
                self.held_requests += 1
            held = frozenset(one.fingerprint for one in self._quarantine.requests)
            self._call_at(now + 0.1, lambda at, held=held: self._push(held))

    def _push(self, held: frozenset[bytes]) -> None:
        for router in self._routers:
            if not self._is_lost():
                router.held = held

    # Faults

    def _start_router(self, now: float) -> _Router:
        router = _Router(replica=self._random.randrange(REPLICAS), started_at=now or -CONTACT_S)
        self._call_at(now + 0.3, lambda at: self._poll(router, at))
        return router

    def _disturb(self, now: float) -> None:
        self._call_at(now + 0.5, self._disturb)
        self._crash_others(now)
        if self._has_kills:
            self._kill_some(now)

    def _crash_others(self, now: float) -> None:
        """Crash endpoints for other reasons, sometimes half of them at one moment."""
        is_common = self._other_crashes_per_s > 0 and self._random.random() < 0.01
        for endpoint in self._endpoints:
            is_own = self._random.random() < 0.5 * self._other_crashes_per_s / 6
            if endpoint.is_alive and (is_own or (is_common and endpoint.number % 2 == 0)):
                self._crash(endpoint, now)

    def _kill_some(self, now: float) -> None:
        for index in range(len(self._routers)):
            if self._random.random() < 0.02:
                self._kill_router(index, now)
        if self._random.random() < 0.02:
            self._kill_replicas([self._leader], now)
        elif self._random.random() < 0.01:
            self._kill_replicas(list(range(REPLICAS)), now)

    def _kill_router(self, index: int, now: float) -> None:
        self._routers[index].is_alive = self._routers[index].is_ready = False
        self._routers[index] = self._start_router(now)

    def _kill_replicas(self, indexes: list[int], now: float) -> None:
        self._replica_killed_at = now
        for index in indexes:
            self._replicas[index].is_alive = False
            self._call_at(now + 0.5, lambda at, index=index: self._start_replica(index, at))
        self._leader = self._random.randrange(REPLICAS)
        self._leads_from = now + self._random.uniform(1.0, 1.5)

    def _start_replica(self, index: int, now: float) -> None:
        self._lives += 1
        before = self._replicas[index]
        started = _Replica(life=self._lives, disk=before.disk, saved_at=before.saved_at)
        started.evidence.restore(before.disk, age_s=now - before.saved_at, now=now)
        self._replicas[index] = started

    # Judgement

    def count_late_sends(self) -> int:
        """Return the bad requests sent later than ``CONTACT_S`` after the fifth crash.

        As the users' bound says, only those sent in touch count: by routers that did not start,
        while no replica was killed, within ``CONTACT_S``.
        """
        if len(self.bad_crashes) < 5:
            return 0
        bound = self.bad_crashes[4] + CONTACT_S
        return sum(one.at > bound and one.is_in_touch for one in self.bad_sends)

    def list_sound_held(self) -> list[str]:
        """Return the sound parts that were quarantined."""
        return [part for part in self.held if part != BAD_PART]
