"""The policies that are compared, from round robin to the placer itself."""

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
    """Each router has its own list of engines and hears of changes seconds late."""

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
        """Renew what was computed from a router's list."""


@POLICIES.register("round-robin")
class RoundRobin(_ViewPolicy):
    """Each router takes its engines in turn."""

    name = "round-robin"

    def __init__(self, *, world: World) -> None:
        """Start each router at another engine."""
        super().__init__(world=world)
        self._next = list(range(len(self.views)))

    def place(self, request: Request, excluded: frozenset[str]) -> str | None:
        """Return the next engine."""
        names = [name for name in self.views[request.router] if name not in excluded]
        self._next[request.router] += 1
        return names[self._next[request.router] % len(names)] if names else None


@POLICIES.register("least-loaded")
class LeastLoaded(_ViewPolicy):
    """Each router takes the engine whose last report was least."""

    name = "least-loaded"

    def __init__(self, *, world: World) -> None:
        """Hear reports."""
        super().__init__(world=world)
        self._reports: list[dict[str, int]] = [{} for _ in self.views]
        subscribe_reports(world, len(self.views), self._handle_report)

    def _handle_report(
        self, router: int, engine: FakeEngine, in_flight: int, sampled_at: float
    ) -> None:
        self._reports[router][engine.engine_id] = in_flight

    def place(self, request: Request, excluded: frozenset[str]) -> str | None:
        """Return the engine with the least report."""
        reports = self._reports[request.router]
        names = [name for name in self.views[request.router] if name not in excluded]
        return min(names, key=lambda name: reports.get(name, 0)) if names else None


@POLICIES.register("consistent-hash")
class ConsistentHash(_ViewPolicy):
    """A ring of points and no bound."""

    name = "consistent-hash"

    def __init__(self, *, world: World) -> None:
        """Build each router's ring."""
        super().__init__(world=world)
        self._rings: list[list[tuple[int, str]]] = [[] for _ in self.views]
        for router in range(len(self.views)):
            self.rebuild(router)

    def rebuild(self, router: int) -> None:
        """Build the ring anew."""
        self._rings[router] = sorted(
            (xxh3_64_intdigest(f"{name}/{point}".encode()), name)
            for name in self.views[router]
            for point in range(RING_POINTS)
        )

    def place(self, request: Request, excluded: frozenset[str]) -> str | None:
        """Return the next engine on the ring that was not tried."""
        ring = self._rings[request.router]
        start = bisect(ring, (xxh3_64_intdigest(request.key.encode()), ""))
        for offset in range(len(ring)):
            name = ring[(start + offset) % len(ring)][1]
            if name not in excluded:
                return name
        return None


@POLICIES.register("oracle")
class Oracle(Policy):
    """Knows every cache and every count at once, and keeps the bound.

    Takes the engine below the bound that holds most of the chat; without one, the least
    loaded, which leaves the others free for the chats they hold.
    """

    name = "oracle"

    def place(self, request: Request, excluded: frozenset[str]) -> str | None:
        """Return the best engine of this moment."""
        engines = [e for e in self.world.list_alive() if e.engine_id not in excluded]
        fair = (sum(engine.in_flight for engine in engines) + 1) / len(engines)
        limit = max(DEFAULT_LOAD_BOUND * fair, ceil(fair))
        best, best_score = engines[0], (-inf, 0)
        for engine in engines:
            if engine.in_flight + 1 <= limit:
                score = (engine.count_cached(request.key), -engine.in_flight)
                if score > best_score:
                    best, best_score = engine, score
        return best.engine_id
