"""Engines' load reports with delays and losses."""

from collections.abc import Callable
from functools import partial

from benchmarks.placement.const import REPORT_LOSS
from benchmarks.placement.engines import FakeEngine
from benchmarks.placement.world import World

ReportReceiver = Callable[[int, FakeEngine, int, float], None]


def subscribe_reports(world: World, routers: int, receive: ReportReceiver) -> None:
    """Deliver each engine's load to each router.

    A report arrives after half to the whole of ``lag_s``; the share ``REPORT_LOSS`` is lost.
    """
    lag = world.options.lag_s

    def report(engine: FakeEngine) -> None:
        if not engine.alive:
            return
        in_flight, sampled_at = engine.in_flight, world.now
        for router in range(routers):
            if world.random.random() < REPORT_LOSS:
                continue
            at = world.now + world.random.uniform(lag / 2, lag)
            world.call_at(at, partial(receive, router, engine, in_flight, sampled_at))

    for engine in world.engines.values():
        world.call_every(lag / 2, partial(report, engine), first=world.random.uniform(0, lag / 2))
