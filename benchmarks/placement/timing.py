"""Measures the time of one placement decision."""

from random import Random
from statistics import quantiles
from time import perf_counter

from benchmarks.placement.const import CAPACITY, MICROSECONDS, REGION, SERVICE
from benchmarks.placement.engines import FakeEngine
from benchmarks.placement.fleet import RouterView
from chivetrack.components.load.tracker import LoadTracker
from chivetrack.components.routing.models import Demand
from chivetrack.components.routing.placer import Placer

_DECISIONS = 4000
_LOAD_SHARE = 0.5
_PERCENTILES = 100


def measure_decisions(count: int, seed: int) -> tuple[float, float]:
    """Return p50 and p99 of the time of a placement with ``count`` endpoints, in us."""
    random = Random(seed)
    engines = [FakeEngine(engine_id=f"engine-{n}", cache_tokens=1) for n in range(count)]
    load = LoadTracker(router_id="router")
    for engine in engines:
        for _ in range(int(CAPACITY * _LOAD_SHARE * random.uniform(0.8, 1.2))):
            load.start(engine.engine_id, 0.0)
    placer = Placer(view=RouterView(engines=engines), load=load, random=random)
    times = []
    for number in range(_DECISIONS):
        demand = Demand(affinity=f"chat-{number}", workspace="w", service=SERVICE, region=REGION)
        started = perf_counter()
        placer.place(demand, now=1.0)
        times.append((perf_counter() - started) * MICROSECONDS)
    percentiles = quantiles(times, n=_PERCENTILES)
    return percentiles[49], percentiles[98]
