"""A model of many routers before one plain service with few slots, in simulated time."""

import heapq
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from chivetrack.components.admission.messages import (
    SlotCandidate,
    SlotRelease,
    SlotRequest,
    SlotState,
)
from chivetrack.components.admission.scheduler import AddressedAnswer
from chivetrack.components.admission.schedulers import SlotSchedulers
from chivetrack.components.announcements.models import EndpointRecord, EndpointState
from chivetrack.components.distribution.messages import EndpointLoad
from chivetrack.components.placement.choice import Candidate
from chivetrack.components.placement.placement import Placed, Placement
from chivetrack.components.traffic.models import Service
from chivetrack.components.traffic.requests import RequestFacts

EXCHANGE_S, EXCHANGE_DELAY_S = 0.3, 0.15
HOP_S = 0.002
QUEUE = 24
WAVE_S = 11.0
REFUSED_RETRY_S = 0.5
SERVICE = Service(name="portal")


@dataclass(frozen=True, slots=True, kw_only=True)
class Caller:
    """A kind of caller; ``rate`` is in requests per second, ``surge`` its begin, end and factor."""

    workspace: str = "w"
    rank: int = 0
    rate: float
    surge: tuple[float, float, float] = (0.0, 0.0, 1.0)


@dataclass(slots=True, kw_only=True)
class _Call:
    caller: Caller
    router: int
    came_at: float
    work_s: float
    number: int = 0
    sent_at: float = 0.0
    is_second: bool = False
    tried: set[str] = field(default_factory=set)
    placed: Placed | None = None


@dataclass(slots=True, kw_only=True)
class _Endpoint:
    slowness: float
    running: int = 0
    queue: list[_Call] = field(default_factory=list)


class PlainService:
    """Plays callers, routers and endpoints; each endpoint queues and rejects as they do.

    ``has_scheduler``: slots are granted by one scheduler; otherwise routers choose by the counts
    that they exchange.
    """

    def __init__(
        self,
        *,
        callers: list[Caller],
        has_scheduler: bool,
        seed: int,
        routers: int = 67,
        slowness: tuple[float, ...] = (1.0, 1.0, 1.0),
        work_s: float = 0.09,
        slots: int = 6,
        target_s: float = 0.418,
        hold_s: float = 4.0,
        seconds: float = 20.0,
        swing: float = 0.27,
        restart_at: float | None = None,
    ) -> None:
        """Build the model; ``restart_at`` is when the scheduler forgets all (s)."""
        self._random = Random(seed)
        self._has_scheduler = has_scheduler
        self._callers, self._work_s, self._slots = callers, work_s, slots
        self._target_s, self._hold_s, self._seconds = target_s, hold_s, seconds
        self._swing = swing
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = count()
        self._endpoints = {f"e{i}": _Endpoint(slowness=one) for i, one in enumerate(slowness)}
        self._candidates = [Candidate(record=_make_record(name, slots)) for name in self._endpoints]
        self._placements = [Placement(zone="z") for _ in range(routers)]
        self._schedulers = SlotSchedulers(random=Random(seed))
        self._calls: dict[int, _Call] = {}
        self.counts: Counter[str] = Counter()
        self.sent: Counter[tuple[str, int]] = Counter()
        self.in_time: Counter[tuple[str, int]] = Counter()
        self.served: Counter[tuple[str, int]] = Counter()
        if restart_at is not None:
            self._at(restart_at, lambda now: self._schedulers.clear())

    def play(self) -> "PlainService":
        """Run to the end and return the model with its counts."""
        for caller in self._callers:
            self._at(0.0, lambda now, caller=caller: self._arrive(caller, now))
        self._at(EXCHANGE_S, self._exchange)
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return self

    def share(
        self, counts: Counter[tuple[str, int]], *, workspace: str = "", rank: int = -1
    ) -> float:
        """Return the share of the requests of a workspace or a rank that ``counts`` holds."""
        keys = [key for key in self.sent if workspace in ("", key[0]) and rank in (-1, key[1])]
        return sum(counts[key] for key in keys) / sum(self.sent[key] for key in keys)

    def _at(self, when: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def _arrive(self, caller: Caller, now: float) -> None:
        if now >= self._seconds:
            return
        begins, ends, times = caller.surge
        rate = caller.rate * (1 + self._swing * math.sin(2 * math.pi * now / WAVE_S))
        rate *= times if begins <= now < ends else 1.0
        self._at(now + self._random.expovariate(rate), lambda at: self._arrive(caller, at))
        work_s = self._work_s * self._random.lognormvariate(-0.125, 0.5)
        router = self._random.randrange(len(self._placements))
        self.sent[caller.workspace, caller.rank] += 1
        self._start(_Call(caller=caller, router=router, came_at=now, work_s=work_s), now)

    def _start(self, call: _Call, now: float) -> None:
        if self._has_scheduler:
            self._at(now + HOP_S, lambda at: self._request_slot(call, at))
            return
        placement = self._placements[call.router]
        left = [one for one in self._candidates if one.record.endpoint_id not in call.tried]
        choice = placement.choose(
            left,
            service=SERVICE,
            facts=RequestFacts(request_id=""),
            now=now,
            routers=len(self._placements),
        )
        assert choice is not None
        call.placed = placement.start(
            choice, RequestFacts(request_id=""), now=now, capacity=1, routers=1
        )
        call.tried.add(choice.record.endpoint_id)
        self._at(now + HOP_S, lambda at: self._reach(choice.record.endpoint_id, call, at))

    # With a scheduler

    def _request_slot(self, call: _Call, now: float) -> None:
        call.number = next(self._numbers)
        self._calls[call.number] = call
        request = SlotRequest(
            number=call.number,
            service="portal",
            workspace=call.caller.workspace,
            rank=call.caller.rank,
            target_s=call.came_at + self._target_s - now,
            hold_s=call.came_at + self._hold_s - now,
            candidates=tuple(SlotCandidate(name, self._slots) for name in self._endpoints),
        )
        self._deliver(self._schedulers.request("r", request, now=now), now)

    def _deliver(self, answers: list[AddressedAnswer], now: float) -> None:
        for addressed in answers:
            answer = addressed.answer
            call = self._calls[answer.number]
            if answer.state is SlotState.GRANTED:
                name = answer.endpoint_id
                call.sent_at = now + HOP_S
                self._at(now + 2 * HOP_S, lambda at, n=name, c=call: self._reach(n, c, at))
            elif answer.state is SlotState.REFUSED:
                self._refuse(call, answer.wait_s, now)

    def _release(self, call: _Call, now: float, *, took_s: float = 0.0, full: bool = False) -> None:
        release = SlotRelease(number=call.number, service="portal", took_s=took_s, is_rejected=full)
        self._at(
            now + HOP_S,
            lambda at: self._deliver(self._schedulers.release("r", release, now=at), at),
        )

    # Endpoints

    def _reach(self, name: str, call: _Call, now: float) -> None:
        endpoint = self._endpoints[name]
        self.counts["arrivals"] += 1
        if endpoint.running < self._slots:
            self._run(name, call, now)
        elif len(endpoint.queue) < QUEUE:
            endpoint.queue.append(call)
        else:
            self.counts["rejected"] += 1
            self._at(now + HOP_S, lambda at: self._handle_rejection(call, at))

    def _run(self, name: str, call: _Call, now: float) -> None:
        endpoint = self._endpoints[name]
        endpoint.running += 1
        self._at(now + call.work_s * endpoint.slowness, lambda at: self._end(name, call, at))

    def _end(self, name: str, call: _Call, now: float) -> None:
        endpoint = self._endpoints[name]
        endpoint.running -= 1
        if endpoint.queue:
            self._run(name, endpoint.queue.pop(0), now)
        key = (call.caller.workspace, call.caller.rank)
        self.served[key] += 1
        self.in_time[key] += now - call.came_at <= self._target_s
        if self._has_scheduler:
            self._release(call, now, took_s=now + HOP_S - call.sent_at)
        elif call.placed is not None:
            call.placed.is_complete = True
            self._placements[call.router].finish(call.placed, now=now)

    def _handle_rejection(self, call: _Call, now: float) -> None:
        if self._has_scheduler:
            self._release(call, now, full=True)
            self._refuse(call, REFUSED_RETRY_S, now)
            return
        assert call.placed is not None
        self._placements[call.router].finish(call.placed, now=now)
        if len(call.tried) < 2:
            self._start(call, now)
        else:
            self._refuse(call, REFUSED_RETRY_S, now)

    def _refuse(self, call: _Call, retry_after_s: float, now: float) -> None:
        self.counts["refused"] += 1
        if call.is_second:
            return
        again = _Call(
            caller=call.caller,
            router=self._random.randrange(len(self._placements)),
            came_at=call.came_at,
            work_s=call.work_s,
            is_second=True,
        )
        self._at(now + retry_after_s, lambda at: self._start(again, at))

    # Counts between routers

    def _exchange(self, now: float) -> None:
        own = [{one.endpoint_id: one.running for one in p.list_own()} for p in self._placements]
        totals: Counter[str] = Counter()
        for counts in own:
            totals.update(counts)

        def deliver(at: float) -> None:
            for placement, counts in zip(self._placements, own, strict=True):
                loads = [
                    EndpointLoad(endpoint_id=name, running=total - counts.get(name, 0))
                    for name, total in totals.items()
                ]
                placement.handle_other_loads(loads, now=at)

        self._at(now + EXCHANGE_DELAY_S, deliver)
        if now < self._seconds:
            self._at(now + EXCHANGE_S, self._exchange)


def _make_record(name: str, slots: int) -> EndpointRecord:
    return EndpointRecord(
        endpoint_id=name,
        service="portal",
        address=name,
        zone="z",
        slots=slots,
        software="v1",
        state=EndpointState.READY,
        sequence=1,
        born=1,
    )
