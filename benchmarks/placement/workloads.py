"""Workloads: two workspaces, a few large workspaces, and chats that return after pauses."""

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import accumulate
from math import log
from random import Random

from benchmarks.placement.models import Fleet, Request
from chivetrack.helpers.registry import Registry

WORKLOADS: Registry["Workload"] = Registry(name="workload")


@dataclass(frozen=True, slots=True, kw_only=True)
class Workload:
    """Distribution of the arrivals per engine; times are in seconds, sizes in tokens."""

    name: str
    rate_per_engine: float
    service_s: float
    service_sigma: float
    keys_per_engine: int
    zipf: float
    prompt_tokens: int
    growth_tokens: int
    hot_keys: int = 0
    hot_share: float = 0.0
    burst_share: float = 0.0
    burst_size: int = 1
    burst_s: float = 0.0
    pause_s: float = 0.0
    pause_sigma: float = 0.0
    cache_keys: int = 200


HAKATA = Workload(
    name="hakata",
    rate_per_engine=2.5,
    service_s=6.0,
    service_sigma=0.8,
    keys_per_engine=500,
    zipf=0.9,
    prompt_tokens=12_000,
    growth_tokens=900,
)
SIKKA = Workload(
    name="sikka",
    rate_per_engine=8.0,
    service_s=1.5,
    service_sigma=0.6,
    keys_per_engine=600,
    zipf=0.8,
    prompt_tokens=2_500,
    growth_tokens=200,
    burst_share=0.5,
    burst_size=12,
    burst_s=2.0,
)
LARGE = Workload(
    name="large",
    rate_per_engine=3.0,
    service_s=5.0,
    service_sigma=1.0,
    keys_per_engine=500,
    zipf=0.7,
    prompt_tokens=8_000,
    growth_tokens=500,
    hot_keys=3,
    hot_share=0.5,
)
RETURNING = Workload(
    name="returning",
    rate_per_engine=3.0,
    service_s=5.0,
    service_sigma=1.0,
    keys_per_engine=0,
    zipf=0.0,
    prompt_tokens=3_000,
    growth_tokens=900,
    pause_s=240.0,
    pause_sigma=1.2,
    cache_keys=600,
)
for _workload in (HAKATA, SIKKA, LARGE, RETURNING):
    WORKLOADS.register(_workload.name)(_workload)

_MAX_TURNS = 12
_BASE_ENGINES = 6


class _Arrivals:
    """Generates the properties of a request that are drawn alike for all workloads."""

    def __init__(self, workload: Workload, fleet: Fleet, random: Random) -> None:
        self._workload = workload
        self._random = random
        self._turns: dict[str, int] = {}
        self._number = 0
        # Callers are distributed unevenly: the busiest router gets three times the requests of
        # the least busy one.
        shares = [1.0 + 2.0 * index / max(fleet.routers - 1, 1) for index in range(fleet.routers)]
        self._routers = range(fleet.routers)
        self._router_shares = list(accumulate(shares))

    def make(self, at: float, key: str) -> Request:
        workload = self._workload
        turn = self._turns.get(key, 0)
        self._turns[key] = (turn + 1) % _MAX_TURNS
        self._number += 1
        sigma = workload.service_sigma
        service = self._random.lognormvariate(log(workload.service_s) - sigma * sigma / 2, sigma)
        router = self._random.choices(self._routers, cum_weights=self._router_shares)[0]
        prompt = workload.prompt_tokens + turn * workload.growth_tokens
        return Request(self._number, at, router, key, prompt, workload.growth_tokens // 2, service)


def generate_requests(
    workload: Workload, fleet: Fleet, seconds: float, random: Random
) -> Iterator[Request]:
    """Yield the arrivals of a run in order of time."""
    arrivals = _Arrivals(workload, fleet, random)
    draw = _draw_returning if workload.pause_s else _draw_zipf
    for at, key in draw(workload, fleet, seconds, random):
        yield arrivals.make(at, key)


def _draw_zipf(
    workload: Workload, fleet: Fleet, seconds: float, random: Random
) -> Iterator[tuple[float, str]]:
    choose = _make_chooser(workload, fleet, random)
    rate = workload.rate_per_engine * fleet.engines
    singles = rate * (1.0 - workload.burst_share)
    times: list[float] = []
    at = 0.0
    while at < seconds:
        at += random.expovariate(singles)
        times.append(at)
    at = 0.0
    burst_rate = rate * workload.burst_share / workload.burst_size
    while burst_rate and at < seconds:
        at += random.expovariate(burst_rate)
        size = random.randint(1, 2 * workload.burst_size - 1)
        times.extend(at + random.uniform(0.0, workload.burst_s) for _ in range(size))
    for at in sorted(times):
        yield at, choose()


def _make_chooser(workload: Workload, fleet: Fleet, random: Random) -> Callable[[], str]:
    count = workload.keys_per_engine * fleet.engines
    # The ranks are scaled so that the most frequent key causes the same share of the load of
    # six engines at any fleet size.
    scale = _BASE_ENGINES / max(fleet.engines, _BASE_ENGINES)
    weights = list(accumulate((rank * scale + 1) ** -workload.zipf for rank in range(count)))
    keys = [f"dossier-{rank}" for rank in range(count)]

    def choose() -> str:
        if workload.hot_keys and random.random() < workload.hot_share:
            return f"hot-{random.randrange(workload.hot_keys)}"
        return random.choices(keys, cum_weights=weights)[0]

    return choose


def _draw_returning(
    workload: Workload, fleet: Fleet, seconds: float, random: Random
) -> Iterator[tuple[float, str]]:
    """Yield the turns of chats that return after lognormal pauses, until they end."""
    rate = workload.rate_per_engine * fleet.engines / _MAX_TURNS
    turns: list[tuple[float, str, int]] = []
    at, number = -4.0 * workload.pause_s * _MAX_TURNS, 0
    while at < seconds:
        at += random.expovariate(rate)
        number += 1
        turns.append((at, f"chat-{number}", 1))
    heapq.heapify(turns)
    while turns:
        at, key, turn = heapq.heappop(turns)
        if at >= seconds:
            return
        if at >= 0.0:
            yield at, key
        if turn < _MAX_TURNS:
            pause = random.lognormvariate(log(workload.pause_s), workload.pause_sigma)
            heapq.heappush(turns, (at + pause, key, turn + 1))
