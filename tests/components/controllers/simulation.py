"""Simulates instances with controllers around a real store, on a faulty network.

Each instance has its own clock and its own, lagging copy of the table. Proposals may be
applied late, twice or never. A lost answer reaches the sender as a fault at its deadline.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec

from chivetrack.components.controllers.lease import LeaseHolder
from chivetrack.components.controllers.loop import ControllerLoop
from chivetrack.components.controllers.models import ConfirmRevision, ProposalEnded, Propose
from chivetrack.components.store.commands import Command, Create, Delete, Stamp, stamp_time
from chivetrack.components.store.store import Store
from chivetrack.components.store.table import ResourceTable
from chivetrack.core import Effect, Event, TimeReached
from chivetrack.exceptions import Fault, Ran
from chivetrack.helpers.codec import pack, unpack

START_MS = 1_000_000
STEP_S = 0.1
LOST = Fault(code="outcome_unknown", message="lost", status=503, ran=Ran.MAYBE)


@dataclass(slots=True)
class Network:
    """Faults of the network of one instance; delays in seconds are uniformly distributed."""

    delay: tuple[float, float] = (0.0, 0.02)
    loss: float = 0.0
    duplication: float = 0.0
    table_lag: float = 0.0


@dataclass(slots=True)
class Instance:
    """One process; ``rate`` is the rate of its clock relative to the simulation's time."""

    name: str
    loop: Any
    table: ResourceTable
    controller: Any
    rate: float = 1.0
    offset: float = 0.0
    is_frozen: bool = False
    is_dead: bool = False
    network: Network = field(default_factory=Network)
    waiting: list[Event] = field(default_factory=list)
    table_at: float = 0.0

    def read_clock(self, time: float) -> float:
        """Return the instance's monotonic clock at a time of the simulation."""
        return self.offset + time * self.rate

    def is_active_holder(self, time: float) -> bool:
        """Return whether the instance would act as the lease holder at ``time``."""
        return self.loop.lease.is_held(self.read_clock(time))


MakeController = Callable[[ResourceTable, Callable[[float], int]], Any]


class Simulation:
    """The store, the instances and the messages in flight between them."""

    def __init__(self, *, make_controller: MakeController, lease: str, seed: int = 1) -> None:
        """Start with a store and no instances."""
        self.random = Random(seed)
        self.store = Store()
        self.time = 0.0
        self.applied: list[tuple[Command, Any]] = []
        self.proposed_at: dict[str, float] = {}
        self.on_apply: Callable[[Command, Any], None] = lambda command, outcome: None
        self.on_effect: Callable[[Instance, Effect], None] = lambda instance, effect: None
        self.instances: list[Instance] = []
        self.make_loop: Callable[..., Any] = ControllerLoop
        self._make_controller = make_controller
        self._lease = lease
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._index = 0

    def add(self, name: str, *, rate: float = 1.0, warm: bool = True) -> Instance:
        """Start an instance; a ``warm`` one has been running long enough to act at once."""
        table = ResourceTable()
        offset = self.random.uniform(0.0, 1000.0)

        def to_wall_ms(now: float) -> int:
            return START_MS + round((now - offset) / rate * 1000)

        controller = self._make_controller(table, to_wall_ms)
        lease = LeaseHolder(name=self._lease, instance_run=f"{name}/1", random=self.random)
        started_at = offset + self.time * rate - (1000.0 if warm else 0.0)
        loop = self.make_loop(
            controller=controller,
            lease=lease,
            get_revision=lambda: table.revision,
            random=self.random,
            started_at=started_at,
        )
        instance = Instance(
            name=name, loop=loop, table=table, controller=controller, rate=rate, offset=offset
        )
        self.instances.append(instance)
        return instance

    def run(self, seconds: float) -> None:
        """Advance the time in steps of ``STEP_S``."""
        until = self.time + seconds
        while self.time < until - STEP_S / 2:
            self.time += STEP_S
            self._deliver_due()
            for instance in self.instances:
                self._tick(instance)

    def apply(self, command: Command) -> Any:
        """Apply a command immediately, like an operator on a reliable network."""
        return self._apply(pack(command))

    def create(self, kind: str, name: str, spec: dict[str, Any]) -> Any:
        """Create a resource."""
        return self.apply(Create(Stamp(0), kind, name, msgspec.msgpack.encode(spec)))

    def delete(self, kind: str, name: str) -> Any:
        """Delete a resource."""
        return self.apply(Delete(Stamp(0), kind, name))

    def call_later(self, network: Network, act: Callable[[], None]) -> None:
        """Call ``act`` after a network delay, or never if the network loses the message."""
        if self.random.random() >= network.loss:
            self._schedule_delayed(network, act)

    def find_holders(self) -> list[str]:
        """Return the instances that would act as the holder if they got an event now."""
        return [
            instance.name
            for instance in self.instances
            if not instance.is_dead and instance.is_active_holder(self.time)
        ]

    def _tick(self, instance: Instance) -> None:
        if instance.is_dead or instance.is_frozen:
            return
        if self.time >= instance.table_at + instance.network.table_lag:
            instance.table_at = self.time
            changes = self.store.table.list_changes(instance.table.revision)
            instance.table.apply(changes or (), revision=self.store.revision)
        events = [*instance.waiting, TimeReached()]
        instance.waiting.clear()
        for event in events:
            now = instance.read_clock(self.time)
            for effect in instance.loop.handle(event, now=now):
                self._execute(instance, effect)

    def _execute(self, instance: Instance, effect: Effect) -> None:
        if isinstance(effect, Propose):
            self.proposed_at.setdefault(effect.submission_id, self.time)
            self._send(instance, effect, lambda: self._apply_packed(effect.data))
        elif isinstance(effect, ConfirmRevision):
            self._send(instance, effect, lambda: b"")
        else:
            self.on_effect(instance, effect)

    def _send(
        self, instance: Instance, effect: Propose | ConfirmRevision, act: Callable[[], bytes]
    ) -> None:
        network = instance.network
        remaining_s = (effect.deadline - instance.read_clock(self.time)) / instance.rate
        deadline = self.time + remaining_s
        is_ended = [False]

        def end(result: bytes, revision: int, fault: Fault | None) -> None:
            if not is_ended[0]:
                is_ended[0] = True
                ended = ProposalEnded(
                    submission_id=effect.submission_id,
                    result=result,
                    revision=revision,
                    fault=fault,
                )
                instance.waiting.append(ended)

        def arrive() -> None:
            result, revision = act(), self.store.revision
            if self.random.random() >= network.loss:
                self._schedule_delayed(network, lambda: end(result, revision, None))

        if self.random.random() >= network.loss:
            self._schedule_delayed(network, arrive)
            if self.random.random() < network.duplication:
                self._schedule_delayed(network, arrive)
        self._schedule_at(deadline, lambda: end(b"", 0, LOST))

    def _schedule_delayed(self, network: Network, act: Callable[[], None]) -> None:
        self._schedule_at(self.time + self.random.uniform(*network.delay), act)

    def _schedule_at(self, time: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (time, next(self._order), act))

    def _deliver_due(self) -> None:
        while self._queue and self._queue[0][0] <= self.time:
            heapq.heappop(self._queue)[2]()

    def _apply_packed(self, data: bytes) -> bytes:
        return pack(self._apply(data))

    def _apply(self, data: bytes) -> Any:
        command = stamp_time(unpack(data), START_MS + round(self.time * 1000))
        self._index += 1
        outcome = unpack(self.store.apply(self._index, pack(command)))
        self.applied.append((command, outcome))
        self.on_apply(command, outcome)
        return outcome
