"""Simulates a deployment: callers, routers with the real placement component, and engines."""

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

from benchmarks.fleet.deployment import Deployment, RequestKind
from benchmarks.fleet.engine import Engine, Job, Totals
from benchmarks.fleet.policies import Policy
from chivetrack.components.announcements.models import EndpointRecord, EndpointState
from chivetrack.components.distribution.const import PLACEMENTS_PER_ROUND
from chivetrack.components.distribution.messages import EndpointLoad, PlacedPart
from chivetrack.components.distribution.placements import Placements
from chivetrack.components.placement.choice import Candidate, Choice, Source
from chivetrack.components.placement.placement import Placed, Placement
from chivetrack.components.traffic.models import EngineProfile, Service
from chivetrack.components.traffic.requests import PromptPart, RequestFacts

# Routers exchange their load counts at this interval; an update arrives after this delay.
EXCHANGE_INTERVAL_MS = 300.0
EXCHANGE_DELAY_MS = 150.0
# Time for which routers still list a crashed engine.
CRASH_DETECTION_MS = 600.0
NETWORK_DELAY_MS = 0.9
# Routers are assigned evenly to the replicas; each replica relays a limited number of
# placements per round to its routers.
REPLICAS = 5
EXCHANGE_TAIL_S = 1.5


@dataclass(slots=True, kw_only=True)
class Outcome:
    """The outcome of a request.

    ``first_ms`` is the time to the first token, or ``None`` if the request was not served.
    """

    kind: RequestKind
    first_ms: float | None


@dataclass(slots=True, kw_only=True)
class Result:
    """Measurements of a run.

    ``placed`` counts placements, ``other_zone`` those in another zone, and ``over`` those above
    the load bound. ``skews`` samples the highest load of an engine relative to the mean.
    """

    outcomes: list[Outcome] = field(default_factory=list)
    totals: Totals = field(default_factory=Totals)
    other_zone: int = 0
    placed: int = 0
    over: int = 0
    skews: list[float] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class _Router:
    zone: str
    placement: Placement
    last_change: int = 0


@dataclass(slots=True, kw_only=True)
class _Request:
    kind: RequestKind
    facts: RequestFacts
    job: Job
    router: _Router
    arrived_at: float
    tried: set[str] = field(default_factory=set)
    placed: Placed | None = None
    outcome: Outcome | None = None


class World:
    """Discrete-event simulation of one policy on one deployment."""

    def __init__(self, *, deployment: Deployment, policy: Policy, seed: int) -> None:
        """Build routers and engines; ``simulate`` starts the run."""
        self._deployment = deployment
        self._random = Random(seed)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = count()
        self.result = Result()
        self._engines: dict[str, Engine] = {}
        self._records: dict[str, EndpointRecord] = {}
        self._gone_at: dict[str, float] = {}
        self._jobs: dict[str, list[_Request]] = {}
        profile = EngineProfile(
            slots=deployment.engine.batch,
            memory_tokens=deployment.engine.memory_tokens,
            can_fetch=True,
        )
        self._placements = Placements()
        routers_per_replica = max(1, deployment.routers // REPLICAS)
        self._max_placements_per_exchange = max(1, PLACEMENTS_PER_ROUND // routers_per_replica)
        self._service = Service(name="llm", engine=profile)
        self._is_oracle = policy.is_oracle
        self._routers = [
            _Router(
                zone=f"z{number % deployment.zones}",
                placement=policy.make(zone=f"z{number % deployment.zones}"),
            )
            for number in range(deployment.routers)
        ]
        for number, speed in enumerate(deployment.speeds):
            self._add_engine(number, speed)

    def _add_engine(self, number: int, speed: float) -> None:
        name = f"e{number}"
        self._engines[name] = Engine(
            kind=self._deployment.engine, speed=speed, totals=self.result.totals
        )
        self._records[name] = EndpointRecord(
            endpoint_id=name,
            service="llm",
            address=name,
            zone=f"z{number % self._deployment.zones}",
            slots=self._deployment.engine.batch,
            software="v1",
            state=EndpointState.READY,
            sequence=1,
            born=1,
        )
        self._jobs[name] = []

    def _join(self, number: int, now: float) -> None:
        self._add_engine(number, 1.0)

    def _schedule(self, when: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def simulate(self) -> Result:
        """Run the simulation to its end and return the measurements."""
        deployment = self._deployment
        for fault in deployment.engine_faults:
            name = f"e{fault.engine}"
            self._schedule(fault.at_s * 1000, partial(self._start_fault, name, fault.factor))
            self._schedule((fault.at_s + fault.duration_s) * 1000, partial(self._end_fault, name))
        for index, at_s in enumerate(deployment.joins_at_s):
            number = len(deployment.speeds) + index
            self._schedule(at_s * 1000, partial(self._join, number))
        self._schedule(EXCHANGE_INTERVAL_MS, self._exchange)
        self._schedule(0.0, self._arrive)
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return self.result

    # Callers

    def _arrive(self, now: float) -> None:
        deployment = self._deployment
        if now >= deployment.seconds * 1000:
            return
        third = deployment.seconds * 1000 / 3
        rate = deployment.requests_per_s * (deployment.burst if third < now < 1.6 * third else 1.0)
        self._schedule(now + self._random.expovariate(rate) * 1000, self._arrive)
        kind = self._random.choices(
            deployment.kinds, weights=[kind.share for kind in deployment.kinds]
        )[0]
        self._start(self._make_request(kind, now), now)

    def _make_request(self, kind: RequestKind, now: float) -> _Request:
        random = self._random
        number = next(self._numbers)
        subject = random.randrange(kind.subjects)
        parts = (
            PromptPart(f"{kind.name}-c{subject % kind.common_parts}", kind.common_tokens),
            PromptPart(f"{kind.name}-s{subject}", kind.subject_tokens),
            PromptPart(f"o{number}", max(1, round(kind.own_tokens * random.uniform(0.5, 1.5)))),
        )
        tokens = sum(part.tokens for part in parts)
        answer = max(1, round(kind.answer_tokens * random.lognormvariate(-0.3, 0.8)))
        facts = RequestFacts(request_id=str(number), parts=parts, prompt_tokens=tokens)
        job = Job(
            parts=parts,
            prompt_tokens=tokens,
            answer_tokens=answer,
            priority=kind.priority,
            number=number,
        )
        router = random.choice(self._routers)
        return _Request(kind=kind, facts=facts, job=job, router=router, arrived_at=now)

    def _start(self, request: _Request, now: float) -> None:
        choice = self._choose(request, now)
        if choice is None:
            self._end(request, None)
            return
        record = choice.record
        self.result.placed += 1
        self.result.other_zone += record.zone != request.router.zone
        request.tried.add(record.endpoint_id)
        request.placed = request.router.placement.start(
            choice, request.facts, now=now / 1000, capacity=self._deployment.engine.memory_tokens
        )
        engine = self._engines[record.endpoint_id]
        if not engine.is_up:
            self._schedule(now + 2 * NETWORK_DELAY_MS, lambda at: self._retry(request, at))
            return
        known = max(
            other.count_cached(request.facts.shared_parts)
            for other in self._engines.values()
            if other.is_up
        )
        self._record_over_bound(engine)
        source = self._engines.get(choice.fetch_from)
        delay = engine.admit(request.job, known_elsewhere=known, fetch_from=source)
        self._jobs[record.endpoint_id].append(request)
        name = record.endpoint_id
        self._schedule(now + NETWORK_DELAY_MS + delay, lambda at: self._enqueue(name, request, at))
        if not request.tried - {name}:
            self._schedule(
                request.arrived_at + request.kind.timeout_ms, lambda at: self._time_out(request)
            )

    def _record_over_bound(self, engine: Engine) -> None:
        """Count a request that raises the load of an engine above twice the mean plus three."""
        loads = [other.in_flight for other in self._engines.values() if other.is_up]
        self.result.over += engine.in_flight + 1 > 2 * (sum(loads) + 1) / len(loads) + 3

    def _choose(self, request: _Request, now: float) -> Choice | None:
        candidates, sources = [], []
        for name, record in self._records.items():
            gone_at = self._gone_at.get(name)
            if gone_at is not None and now - gone_at > CRASH_DETECTION_MS:
                continue
            sources.append(Source(record=record))
            if name not in request.tried:
                candidates.append(Candidate(record=record))
        return request.router.placement.choose(
            candidates,
            service=self._service,
            facts=request.facts,
            now=now / 1000,
            sources=sources,
            routers=len(self._routers),
        )

    def _time_out(self, request: _Request) -> None:
        if request.outcome is None:
            request.job.abandoned = True
            self._end(request, None)

    def _retry(self, request: _Request, now: float) -> None:
        if request.placed is not None:
            request.router.placement.finish(request.placed, now=now / 1000)
            request.placed = None
        if request.outcome is not None:
            return
        if len(request.tried) >= 2:
            self._end(request, None)
            return
        previous = request.job
        request.job = Job(
            parts=previous.parts,
            prompt_tokens=previous.prompt_tokens,
            answer_tokens=previous.answer_tokens,
            priority=previous.priority,
            number=previous.number,
        )
        self._start(request, now)

    def _end(self, request: _Request, first_ms: float | None) -> None:
        request.outcome = Outcome(kind=request.kind, first_ms=first_ms)
        self.result.outcomes.append(request.outcome)

    # Engines

    def _enqueue(self, name: str, request: _Request, now: float) -> None:
        engine = self._engines[name]
        if not engine.is_up:
            return
        engine.enqueue(request.job)
        if engine.free_at <= now:
            self._step(name, now)

    def _step(self, name: str, now: float) -> None:
        engine = self._engines[name]
        if not engine.is_up or engine.free_at > now:
            return
        end = now + engine.step(now)
        engine.free_at = end
        self._schedule(end, lambda at: self._after_step(name, at))

    def _after_step(self, name: str, now: float) -> None:
        remaining = []
        for request in self._jobs[name]:
            placement = request.router.placement
            if request.placed is not None and request.job.first_at is not None:
                placement.record_first_event(request.placed, now=now / 1000)
            is_over = request.job.ended_at is not None or request.job.abandoned
            if is_over and request.placed is not None:
                is_complete = request.job.ended_at is not None
                request.placed.is_complete = is_complete
                placement.finish(request.placed, now=now / 1000)
                request.placed = None
                if is_complete and request.outcome is None:
                    assert request.job.first_at is not None
                    self._end(request, request.job.first_at - request.arrived_at + NETWORK_DELAY_MS)
            if not is_over:
                remaining.append(request)
        self._jobs[name] = remaining
        if self._engines[name].in_flight:
            self._step(name, now)

    def _start_fault(self, name: str, factor: float, now: float) -> None:
        if factor:
            self._engines[name].slowness = factor
            return
        self._engines[name].crash()
        self._gone_at[name] = now
        lost, self._jobs[name] = self._jobs[name], []
        for request in lost:
            self._retry(request, now)

    def _end_fault(self, name: str, now: float) -> None:
        engine = self._engines[name]
        engine.slowness = 1.0
        if engine.is_up:
            return
        engine.is_up = True
        engine.free_at = 0.0
        self._gone_at.pop(name, None)
        for router in self._routers:
            router.placement.forget(name)

    # Exchange between routers

    def _exchange(self, now: float) -> None:
        if now > (self._deployment.seconds + EXCHANGE_TAIL_S) * 1000:
            return
        self._schedule(now + EXCHANGE_INTERVAL_MS, self._exchange)
        in_flight = [engine.in_flight for engine in self._engines.values() if engine.is_up]
        mean = sum(in_flight) / len(in_flight)
        if mean >= 1:
            self.result.skews.append(max(in_flight) / mean)
        reported_loads = [list(router.placement.list_own()) for router in self._routers]
        for router in self._routers:
            self._placements.record(router.placement.pop_placements(now / 1000), now=now / 1000)
        sums = _sum_loads(reported_loads)
        delay = 0.0 if self._is_oracle else EXCHANGE_DELAY_MS
        for number, router in enumerate(self._routers):
            others = _subtract_own_load(sums, reported_loads[number])
            placements, router.last_change = self._placements.list_after(
                router.last_change, now=now / 1000, limit=self._max_placements_per_exchange
            )
            self._schedule(now + delay, partial(self._handle_updates, router, others, placements))

    def _handle_updates(
        self,
        router: _Router,
        loads: list[EndpointLoad],
        placements: Sequence[PlacedPart],
        now: float,
    ) -> None:
        capacity = self._deployment.engine.memory_tokens
        router.placement.handle_other_loads(loads, now=now / 1000)
        router.placement.handle_placements(placements, now=now / 1000, capacity=capacity)


def _sum_loads(reported_loads: list[list[EndpointLoad]]) -> dict[str, tuple[int, int]]:
    sums: dict[str, tuple[int, int]] = {}
    for loads in reported_loads:
        for load in loads:
            running, tokens = sums.get(load.endpoint_id, (0, 0))
            sums[load.endpoint_id] = (running + load.running, tokens + load.tokens)
    return sums


def _subtract_own_load(
    sums: dict[str, tuple[int, int]], own: list[EndpointLoad]
) -> list[EndpointLoad]:
    own_loads = {load.endpoint_id: load for load in own}
    others = []
    for name, (running, tokens) in sums.items():
        load = own_loads.get(name)
        others.append(
            EndpointLoad(
                endpoint_id=name,
                running=running - (load.running if load else 0),
                tokens=tokens - (load.tokens if load else 0),
            )
        )
    return others
