"""Policy in which each engine has an owner router that grants its slots."""

from functools import partial

from benchmarks.placement.const import (
    BASE_ROUTERS,
    COUNTS_DELAY_S,
    MESSAGE_OVERHEAD_BYTES,
    SUMMARY_INTERVAL_S,
)
from benchmarks.placement.engines import FakeEngine
from benchmarks.placement.fleet import FakeRouter, FleetPolicy, make_demand
from benchmarks.placement.models import Request
from benchmarks.placement.policies import POLICIES
from benchmarks.placement.world import OnChosen, World
from chivetrack.components.load.models import LoadSummary
from chivetrack.components.routing.slots import Placed, SlotPlacer
from chivetrack.core import Effect, MessageReceived, SendMessage, TimeReached, WakeAt
from chivetrack.helpers.codec import Message, pack


@POLICIES.register("slots")
class Slots(FleetPolicy):
    """Owner routers grant slots; besides, routers exchange load summaries only."""

    name = "slots"
    exchanges_counts = False
    receives_load_reports = False

    def __init__(self, *, world: World) -> None:
        """Create a slot placer for each router and schedule its summaries."""
        super().__init__(world=world)
        names = [router.router_id for router in self.routers]
        self._numbers = {name: number for number, name in enumerate(names)}
        self._waiting: dict[str, OnChosen] = {}
        self._serial = 0
        self._slots = [
            SlotPlacer(
                router_id=router.router_id,
                placer=router.placer,
                load=router.load,
                router_ids=names,
            )
            for router in self.routers
        ]
        for number, router in enumerate(self.routers):
            self._set_view(number, router)
            interval = SUMMARY_INTERVAL_S * max(len(names) / BASE_ROUTERS / 2, 1.0)
            first = world.random.uniform(0.0, interval)
            world.call_every(interval, partial(self._summarise, number), first=first)

    def choose(self, request: Request, excluded: frozenset[str], done: OnChosen) -> None:
        """Request a placement from the slot placer of the request's router."""
        self._serial += 1
        name = f"{request.number}/{self._serial}"
        self._waiting[name] = done
        slots = self._slots[request.router]
        effects = slots.place(name, make_demand(request, excluded), now=self.world.now)
        self._execute_effects(request.router, effects)

    def start(self, request: Request, engine_id: str) -> None:
        """Do nothing, as the slot placer has already counted the request."""

    def abandon(self, request: Request, engine_id: str) -> None:
        """Release the slot."""
        self.finish(request, engine_id)

    def finish(self, request: Request, engine_id: str) -> None:
        """Release the slot of a finished request."""
        effects = self._slots[request.router].finish(engine_id, now=self.world.now)
        self._execute_effects(request.router, effects)

    def _execute_effects(self, router: int, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Placed):
                endpoint = effect.placement.endpoint
                done = self._waiting.pop(effect.request_id)
                done(endpoint.endpoint_id if endpoint else None)
            elif isinstance(effect, SendMessage):
                self._send(router, self._numbers[effect.target], effect.message)
            elif isinstance(effect, WakeAt):
                self.world.call_at(effect.at, partial(self._wake, router))

    def _wake(self, router: int) -> None:
        slots = self._slots[router]
        self._execute_effects(router, slots.handle(TimeReached(), now=self.world.now))

    def _send(self, source: int, target: int, message: Message) -> None:
        size = len(pack(message)) + MESSAGE_OVERHEAD_BYTES
        self._count_bytes(sent=size, received=size)
        at = self.world.now + self.world.random.uniform(*COUNTS_DELAY_S)
        self.world.call_at(at, partial(self._deliver, source, target, message))

    def _deliver(self, source: int, target: int, message: Message) -> None:
        event = MessageReceived(source=self.routers[source].router_id, message=message)
        self._execute_effects(target, self._slots[target].handle(event, now=self.world.now))

    def _summarise(self, router: int) -> None:
        summary: LoadSummary = self._slots[router].collect_summary(self.world.now)
        if not summary.loads:
            return
        for target in range(len(self.routers)):
            if target != router:
                self._send(router, target, summary)

    def _apply(self, router: FakeRouter, engine: FakeEngine) -> None:
        super()._apply(router, engine)
        self._set_view(self._numbers[router.router_id], router)

    def _set_view(self, number: int, router: FakeRouter) -> None:
        names = [endpoint.endpoint_id for endpoint in router.view.list_endpoints("")]
        effects = self._slots[number].set_view(
            router_ids=list(self._numbers), endpoint_ids=names, now=self.world.now
        )
        self._execute_effects(number, effects)
