"""Policies that use the real placement components, one set per router."""

from collections.abc import Sequence
from functools import partial
from math import inf
from random import Random

from benchmarks.placement.const import (
    CAPACITY,
    COUNTS_DELAY_S,
    COUNTS_LATE_S,
    COUNTS_LATE_SHARE,
    COUNTS_LOSS,
    EVENT_BYTES,
    EVENT_DELAY_S,
    EVENT_LOSS,
    MAX_EVENT_ENGINES,
    MESSAGE_OVERHEAD_BYTES,
    REGION,
    SERVICE,
    VIEW_DELAY_S,
)
from benchmarks.placement.engines import FakeEngine
from benchmarks.placement.models import Request
from benchmarks.placement.policies import POLICIES
from benchmarks.placement.reports import subscribe_reports
from benchmarks.placement.world import Policy, World
from chivetrack.components.endpoints.models import EndpointKind, EndpointState
from chivetrack.components.load.models import LoadCounts
from chivetrack.components.load.pacer import CountsPacer
from chivetrack.components.load.tracker import LoadTracker
from chivetrack.components.routing.hints import CacheHints
from chivetrack.components.routing.models import Demand
from chivetrack.components.routing.order import hash_affinity
from chivetrack.components.routing.placer import Placer
from chivetrack.helpers.codec import pack

_LONG_AGO = -1e9


def make_endpoint(engine: FakeEngine, joined_at: float) -> EndpointState:
    """Return the endpoint state that a router holds for an engine."""
    return EndpointState(
        endpoint_id=engine.engine_id,
        incarnation=engine.incarnation,
        address="127.0.0.1:1",
        kind=EndpointKind.ENGINE,
        service=SERVICE,
        region=REGION,
        zone="zone",
        capacity=CAPACITY,
        joined_at=joined_at,
    )


def make_demand(request: Request, excluded: frozenset[str]) -> Demand:
    """Return the routing demand of a request."""
    return Demand(
        affinity=request.key, workspace="w", service=SERVICE, region=REGION, excluded=excluded
    )


class RouterView:
    """One router's list of endpoints."""

    def __init__(self, *, engines: Sequence[FakeEngine]) -> None:
        """Initialize the list with engines that joined long ago."""
        self.version = 0
        self._endpoints = {e.engine_id: make_endpoint(e, _LONG_AGO) for e in engines}
        self._listed = tuple(self._endpoints.values())

    def list_endpoints(self, service: str) -> Sequence[EndpointState]:
        """Return all endpoints; ``service`` is ignored."""
        return self._listed

    def apply(self, engine: FakeEngine, now: float) -> None:
        """Remove an engine that has failed, or add one that has restarted."""
        self._endpoints.pop(engine.engine_id, None)
        if engine.alive:
            self._endpoints[engine.engine_id] = make_endpoint(engine, now)
        self._listed = tuple(self._endpoints.values())
        self.version += 1


class FakeRouter:
    """The placement components of one router."""

    def __init__(self, *, number: int, world: World) -> None:
        """Initialize the components with the full list of engines."""
        self.router_id = f"router-{number}"
        self.view = RouterView(engines=list(world.engines.values()))
        self.load = LoadTracker(router_id=self.router_id)
        self.pacer = CountsPacer()
        self.next_send_at = inf
        self.hints = CacheHints()
        self.placer = Placer(
            view=self.view,
            load=self.load,
            random=Random(world.options.seed * 1000 + number),
            hints=self.hints,
        )


class FleetPolicy(Policy):
    """Policy with the placer and load tracker; subclasses select what routers exchange."""

    exchanges_counts = True
    receives_cache_events = True
    receives_load_reports = True

    def __init__(self, *, world: World) -> None:
        """Create the routers and subscribe them to load reports."""
        super().__init__(world=world)
        count = world.options.fleet.routers
        self.routers = [FakeRouter(number=number, world=world) for number in range(count)]
        if self.receives_load_reports:
            subscribe_reports(world, count, self._handle_report)
        if self.exchanges_counts:
            for router in self.routers:
                self._schedule_send(router)

    def place(self, request: Request, excluded: frozenset[str]) -> str | None:
        """Return the engine that the placer of the request's router chooses."""
        demand = make_demand(request, excluded)
        endpoint = self.routers[request.router].placer.place(demand, now=self.world.now).endpoint
        return endpoint.endpoint_id if endpoint else None

    def start(self, request: Request, engine_id: str) -> None:
        """Count the request as started."""
        router = self.routers[request.router]
        router.load.start(engine_id, self.world.now)
        router.pacer.record_start(self.world.now)
        self._schedule_send(router)

    def finish(self, request: Request, engine_id: str) -> None:
        """Count the request as finished."""
        router = self.routers[request.router]
        router.load.finish(engine_id, self.world.now)
        router.pacer.record_finish(self.world.now)
        self._schedule_send(router)

    def _schedule_send(self, router: FakeRouter) -> None:
        """Schedule the router's next send of its counts, unless an earlier one is scheduled."""
        if not self.exchanges_counts:
            return
        now = self.world.now
        due = max(router.pacer.find_next_due(now), now)
        if due >= router.next_send_at or due >= self.world.options.seconds:
            return
        router.next_send_at = due
        self.world.call_at(due, partial(self._send_due, router, due))

    def _send_due(self, router: FakeRouter, due: float) -> None:
        if router.next_send_at != due:
            return
        router.next_send_at = inf
        router.pacer.record_sent(self.world.now)
        self._send_counts(router)
        self._schedule_send(router)

    def _handle_report(
        self, router: int, engine: FakeEngine, in_flight: int, sampled_at: float
    ) -> None:
        self.routers[router].load.report_load(
            engine.engine_id,
            in_flight,
            incarnation=engine.incarnation,
            age_s=self.world.now - sampled_at,
            now=self.world.now,
        )

    def _send_counts(self, router: FakeRouter) -> None:
        world = self.world
        counts = router.load.collect_counts(world.now)
        size = len(pack(counts)) + MESSAGE_OVERHEAD_BYTES
        sent_at = world.now
        for other in self.routers:
            if other is router:
                continue
            self._count_bytes(sent=size, received=size)
            if world.random.random() < COUNTS_LOSS:
                continue
            delay = world.random.uniform(*COUNTS_DELAY_S)
            if world.random.random() < COUNTS_LATE_SHARE:
                delay += COUNTS_LATE_S
            world.call_at(
                sent_at + delay,
                partial(self._merge, other, router.router_id, counts, sent_at),
            )

    def _merge(self, router: FakeRouter, source: str, counts: LoadCounts, sent_at: float) -> None:
        now = self.world.now
        router.load.merge_counts(source, counts, age_s=now - sent_at, now=now)

    def _count_bytes(self, *, sent: int = 0, received: int = 0) -> None:
        if self.world.now >= self.world.options.warm_up_s:
            self.world.result.sent_bytes += sent
            self.world.result.messages += sent > 0
            self.world.result.received_bytes += received

    def handle_cache_change(self, engine: FakeEngine, key: str, evicted: list[str]) -> None:
        """Deliver cache events to each router with a delay and with losses."""
        if not self.receives_cache_events or len(self.world.engines) > MAX_EVENT_ENGINES:
            return
        world = self.world
        incarnation, at = engine.incarnation, world.now
        events = [(hash_affinity(evicted_key), False) for evicted_key in evicted]
        events.append((hash_affinity(key), True))
        for router in self.routers:
            self._count_bytes(received=EVENT_BYTES * len(events))
            delivered = [event for event in events if world.random.random() >= EVENT_LOSS]
            delay = world.random.uniform(*EVENT_DELAY_S)
            world.call_at(
                at + delay,
                partial(_apply_events, router.hints, delivered, engine.engine_id, incarnation, at),
            )

    def handle_engine_change(self, engine: FakeEngine) -> None:
        """Notify each router after a random delay within ``VIEW_DELAY_S``."""
        for router in self.routers:
            delay = self.world.random.uniform(*VIEW_DELAY_S)
            self.world.call_at(self.world.now + delay, partial(self._apply, router, engine))

    def _apply(self, router: FakeRouter, engine: FakeEngine) -> None:
        router.view.apply(engine, self.world.now)
        router.hints.restart(engine.engine_id, engine.incarnation)
        if not engine.alive:
            router.load.forget_endpoint(engine.engine_id)


def _apply_events(
    hints: CacheHints,
    events: list[tuple[bytes, bool]],
    engine_id: str,
    incarnation: int,
    at: float,
) -> None:
    for key, stored in events:
        if stored:
            hints.store(key, engine_id, incarnation, stored_at=at)
        else:
            hints.evict(key, engine_id, incarnation, evicted_at=at)


@POLICIES.register("previous")
class Previous(FleetPolicy):
    """The placer with engines' load reports and own requests only, without cache events."""

    name = "previous"
    exchanges_counts = False
    receives_cache_events = False


@POLICIES.register("counts")
class Counts(FleetPolicy):
    """The placer with load counts exchanged between routers, without cache events."""

    name = "counts"
    receives_cache_events = False


@POLICIES.register("this")
class Current(FleetPolicy):
    """The placer as deployed, with load counts exchanged and cache events received."""

    name = "this"
