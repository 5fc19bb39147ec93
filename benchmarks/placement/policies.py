"""Reference policies that the placer is compared with."""

from bisect import bisect
from functools import partial
from math import ceil, inf

from xxhash import xxh3_64_intdigest

from benchmarks.placement.const import RING_POINTS, VIEW_DELAY_S
from benchmarks.placement.engines import FakeEngine
from benchmarks.placement.models import Request
from benchmarks.placement.reports import subscribe_reports
from benchmarks.placement.world import Policy, World
from chivetrack.components.routing.models import DEFAULT_LOAD_BOUND
from chivetrack.helpers.registry import Registry

POLICIES: Registry[type[Policy]] = Registry(name="policy")


class _ViewPolicy(Policy):
    """Policy whose routers have their own lists of engines, updated with a delay."""

    def __init__(self, *, world: World) -> None:
        super().__init__(world=world)
        self.views = [sorted(world.engines) for _ in range(world.options.fleet.routers)]

    def handle_engine_change(self, engine: FakeEngine) -> None:
        for router in range(len(self.views)):
            delay = self.world.random.uniform(*VIEW_DELAY_S)
            self.world.call_at(self.world.now + delay, partial(self._apply, router, engine))

    def _apply(self, router: int, engine: FakeEngine) -> None:
        names = set(self.views[router]) - {engine.engine_id}
        if engine.alive:
            names.add(engine.engine_id)
        self.views[router] = sorted(names)
        self.rebuild(router)

    def rebuild(self, router: int) -> None:
        """Recompute the state that is derived from a router's list."""


@POLICIES.register("round-robin")
class RoundRobin(_ViewPolicy):
    """Each router uses its engines in turn."""

    name = "round-robin"

    def __init__(self, *, world: World) -> None:
        """Initialize each router with a different first engine."""
        super().__init__(world=world)
        self._next = list(range(len(self.views)))

    def place(self, request: Request, excluded: frozenset[str]) -> str | None:
        """Return the next engine."""
        names = [name for name in self.views[request.router] if name not in excluded]
        self._next[request.router] += 1
        return names[self._next[request.router] % len(names)] if names else None


@POLICIES.register("least-loaded")
class LeastLoaded(_ViewPolicy):
    """Each router chooses the engine with the lowest load in its last report."""

    name = "least-loaded"

    def __init__(self, *, world: World) -> None:
        """Subscribe the routers to load reports."""
        super().__init__(world=world)
        self._reports: list[dict[str, int]] = [{} for _ in self.views]
        subscribe_reports(world, len(self.views), self._handle_report)

    def _handle_report(
        self, router: int, engine: FakeEngine, in_flight: int, sampled_at: float
    ) -> None:
        self._reports[router][engine.engine_id] = in_flight

    def place(self, request: Request, excluded: frozenset[str]) -> str | None:
        """Return the engine with the lowest reported load."""
        reports = self._reports[request.router]
        names = [name for name in self.views[request.router] if name not in excluded]
        return min(names, key=lambda name: reports.get(name, 0)) if names else None


@POLICIES.register("consistent-hash")
class ConsistentHash(_ViewPolicy):
    """Consistent hashing without a load bound."""

    name = "consistent-hash"

    def __init__(self, *, world: World) -> None:
        """Build each router's ring."""
        super().__init__(world=world)
        self._rings: list[list[tuple[int, str]]] = [[] for _ in self.views]
        for router in range(len(self.views)):
            self.rebuild(router)

    def rebuild(self, router: int) -> None:
        """Rebuild the hash ring of a router."""
        self._rings[router] = sorted(
            (xxh3_64_intdigest(f"{name}/{point}".encode()), name)
            for name in self.views[router]
            for point in range(RING_POINTS)
        )

    def place(self, request: Request, excluded: frozenset[str]) -> str | None:
        """Return the first engine on the ring, from the key's point on, that is not excluded."""
        ring = self._rings[request.router]
        start = bisect(ring, (xxh3_64_intdigest(request.key.encode()), ""))
        for offset in range(len(ring)):
            name = ring[(start + offset) % len(ring)][1]
            if name not in excluded:
                return name
        return None


@POLICIES.register("oracle")
class Oracle(Policy):
    """Policy with immediate knowledge of all caches and loads, within the load bound.

    Chooses the engine below the bound that has cached most tokens of the chat. If none has any,
    chooses the least loaded one, which leaves the others free for the chats that they cache.
    """

    name = "oracle"

    def place(self, request: Request, excluded: frozenset[str]) -> str | None:
        """Return the best engine for the current caches and loads."""
        engines = [e for e in self.world.list_alive() if e.engine_id not in excluded]
        mean = (sum(engine.in_flight for engine in engines) + 1) / len(engines)
        limit = max(DEFAULT_LOAD_BOUND * mean, ceil(mean))
        best, best_score = engines[0], (-inf, 0)
        for engine in engines:
            if engine.in_flight + 1 <= limit:
                score = (engine.count_cached(request.key), -engine.in_flight)
                if score > best_score:
                    best, best_score = engine, score
        return best.engine_id
