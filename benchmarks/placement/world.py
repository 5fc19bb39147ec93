"""Discrete-event simulation of one policy: arrivals, answers, reports and churn."""

import heapq
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from math import ceil
from random import Random

from benchmarks.placement.const import (
    CHURN_INTERVAL_S,
    SAMPLE_INTERVAL_S,
    WARM_UP_S,
    WARM_UP_SHARE,
)
from benchmarks.placement.engines import FakeEngine
from benchmarks.placement.models import Fleet, Request, Result
from chivetrack.components.routing.models import DEFAULT_LOAD_BOUND

Action = Callable[[], None]
OnChosen = Callable[[str | None], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class RunOptions:
    """Parameters of a run other than its arrivals; ``lag_s`` is the delay of load reports."""

    fleet: Fleet
    seconds: float
    lag_s: float
    churn: bool
    seed: int

    @property
    def warm_up_s(self) -> float:
        """Return the time in seconds after which the run is measured."""
        return min(WARM_UP_S, self.seconds * WARM_UP_SHARE)


class World:
    """The engines, the simulated clock and the queue of scheduled actions."""

    def __init__(self, *, options: RunOptions, policy: str) -> None:
        """Initialize the clock to 0 and all engines as idle."""
        self.options = options
        self.now = 0.0
        self.random = Random(options.seed)
        fleet = options.fleet
        self.engines = {
            f"engine-{number}": FakeEngine(
                engine_id=f"engine-{number}", cache_tokens=fleet.cache_tokens
            )
            for number in range(fleet.engines)
        }
        self.result = Result(policy=policy, routers=fleet.routers)
        self._queue: list[tuple[float, int, Action]] = []
        self._order = itertools.count()

    def call_at(self, at: float, action: Action) -> None:
        """Schedule an action for the time ``at``."""
        heapq.heappush(self._queue, (at, next(self._order), action))

    def call_every(self, interval: float, action: Action, *, first: float) -> None:
        """Run an action at ``first`` and every ``interval`` seconds until the run ends."""

        def run() -> None:
            action()
            if self.now + interval < self.options.seconds:
                self.call_at(self.now + interval, run)

        self.call_at(first, run)

    def list_alive(self) -> list[FakeEngine]:
        """Return the running engines."""
        return [engine for engine in self.engines.values() if engine.alive]

    def run_until(self, time: float) -> None:
        """Run all actions that are due at or before ``time``."""
        queue = self._queue
        while queue and queue[0][0] <= time:
            at, _, action = heapq.heappop(queue)
            self.now = at
            action()
        self.now = time


class Policy:
    """Chooses engines for requests; subclasses implement the callbacks that they need."""

    name = ""

    def __init__(self, *, world: World) -> None:
        """Initialize the policy for a simulation."""
        self.world = world

    def place(self, request: Request, excluded: frozenset[str]) -> str | None:
        """Return the id of the engine for a request, or ``None`` to refuse it."""
        raise NotImplementedError

    def choose(self, request: Request, excluded: frozenset[str], done: OnChosen) -> None:
        """Call ``done`` with the chosen engine, immediately or at a later simulated time."""
        done(self.place(request, excluded))

    def start(self, request: Request, engine_id: str) -> None:
        """Handle that a request was sent."""

    def abandon(self, request: Request, engine_id: str) -> None:
        """Handle that a request could not be sent to the chosen engine."""

    def finish(self, request: Request, engine_id: str) -> None:
        """Handle that a request has finished."""

    def handle_cache_change(self, engine: FakeEngine, key: str, evicted: list[str]) -> None:
        """Handle which key an engine has cached and which keys it has evicted."""

    def handle_engine_change(self, engine: FakeEngine) -> None:
        """Handle that an engine has failed or restarted."""


def run_policy(
    options: RunOptions, make_policy: type[Policy], requests: Iterable[Request]
) -> Result:
    """Simulate the arrivals under a policy and return the measurements."""
    world = World(options=options, policy=make_policy.name)
    run = _Run(world, make_policy(world=world))
    for request in requests:
        world.run_until(request.at)
        run.send(request, frozenset())
    world.run_until(options.seconds)
    result = world.result
    result.seconds = options.seconds - options.warm_up_s
    return result


class _Run:
    def __init__(self, world: World, policy: Policy) -> None:
        self._world = world
        self._policy = policy
        self._mean_sum = 0.0
        self._running: dict[str, dict[int, Request]] = {name: {} for name in world.engines}
        self._over_bound_samples = 0
        world.call_every(SAMPLE_INTERVAL_S, self._sample, first=world.options.warm_up_s)
        if world.options.churn:
            world.call_every(CHURN_INTERVAL_S, self._churn, first=CHURN_INTERVAL_S)

    def send(self, request: Request, excluded: frozenset[str]) -> None:
        """Place and run a request; if the engine is down, place it at another one."""
        done = partial(self._send_to, request, excluded)
        self._policy.choose(request, excluded, done)

    def _send_to(self, request: Request, excluded: frozenset[str], engine_id: str | None) -> None:
        world, result = self._world, self._world.result
        if engine_id is None:
            result.refused += 1
            return
        engine = world.engines[engine_id]
        if not engine.alive:
            # The connection attempt fails, so the request was not sent and may be resent.
            result.resent += 1
            self._policy.abandon(request, engine_id)
            self.send(request, excluded | {engine_id})
            return
        self._policy.start(request, engine_id)
        self._serve(request, engine)

    def _serve(self, request: Request, engine: FakeEngine) -> None:
        world, result = self._world, self._world.result
        engine.in_flight += 1
        reused, evicted = engine.run(request.key, request.prompt_tokens, request.answer_tokens)
        self._policy.handle_cache_change(engine, request.key, evicted)
        result.placed += 1
        if world.now >= world.options.warm_up_s:
            result.prompt_tokens += request.prompt_tokens
            result.reused_tokens += reused
        self._running[engine.engine_id][request.number] = request
        world.call_at(world.now + request.service_s, partial(self._finish, request, engine))

    def _finish(self, request: Request, engine: FakeEngine) -> None:
        if self._running[engine.engine_id].pop(request.number, None) is None:
            return
        engine.in_flight -= 1
        self._policy.finish(request, engine.engine_id)

    def _fail(self, engine: FakeEngine) -> None:
        """Fail an engine and its requests; their routers are notified at once."""
        engine.fail()
        lost = self._running[engine.engine_id]
        self._world.result.lost += len(lost)
        for request in lost.values():
            self._policy.finish(request, engine.engine_id)
        lost.clear()

    def _sample(self) -> None:
        loads = [engine.in_flight for engine in self._world.list_alive()]
        mean = sum(loads) / len(loads)
        if not mean:
            return
        result = self._world.result
        result.skews.append(max(loads) / mean)
        self._over_bound_samples += max(loads) > max(DEFAULT_LOAD_BOUND * mean, ceil(mean))
        self._mean_sum += mean
        result.mean_in_flight = self._mean_sum / len(result.skews)
        result.over_bound = self._over_bound_samples / len(result.skews)

    def _churn(self) -> None:
        world = self._world
        failed = [engine for engine in world.engines.values() if not engine.alive]
        if failed:
            engine = failed[0]
            engine.restart()
        else:
            engine = world.random.choice(world.list_alive())
            self._fail(engine)
        self._policy.handle_engine_change(engine)
