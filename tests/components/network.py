"""A seeded in-memory network that loses, delays, duplicates and reorders messages.

Links can be cut, and nodes killed, frozen and restarted.
"""

import heapq
import itertools
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from chivetrack.components.gossip.const import TRANSPORT_OVERHEAD_BYTES
from chivetrack.core import Component, Effect, Event, MessageReceived, SendMessage, TimeReached
from chivetrack.core import WakeAt as Wake
from chivetrack.helpers.codec import decode, encode, get_kind


@dataclass(frozen=True, slots=True)
class Sent:
    """One message that a node sent; ``incarnation`` differs for each start of a node."""

    at: float
    source: str
    incarnation: int
    target: str
    kind: str
    charged_bytes: int


@dataclass(slots=True, order=True)
class _Due:
    at: float
    order: int
    node: str = field(compare=False)
    incarnation: int = field(compare=False)
    component: int | None = field(compare=False)
    event: Event = field(compare=False)


@dataclass(slots=True)
class _Node:
    components: list[Component]
    incarnation: int
    clock_offset_s: float
    wakes: dict[int, float] = field(default_factory=dict)
    deferred: list[_Due] = field(default_factory=list)
    frozen: bool = False


class Network:
    """Runs nodes of several components each; times are in seconds and start at 0."""

    def __init__(self, *, seed: int, delay_s: tuple[float, float] = (0.001, 0.004)) -> None:
        """Create a network without faults."""
        self.now = 0.0
        self.drop = 0.0
        self.duplicate = 0.0
        self.delay_s = delay_s
        self.sent: list[Sent] = []
        self._random = random.Random(seed)
        self._cut: set[tuple[str, str]] = set()
        self._nodes: dict[str, _Node] = {}
        self._queue: list[_Due] = []
        self._orders = itertools.count()
        self._incarnations = itertools.count()

    def start(
        self, name: str, components: Iterable[Component], *, clock_offset_s: float = 0.0
    ) -> None:
        """Start a node, in place of an earlier one of the same name.

        Its clock is ``clock_offset_s`` ahead of the network's time.
        """
        self._nodes[name] = _Node(list(components), next(self._incarnations), clock_offset_s)
        for index in range(len(self._nodes[name].components)):
            self._wake(name, index, self.now)

    def kill(self, name: str) -> None:
        """Remove a node without notice to the others."""
        self._nodes.pop(name, None)

    def freeze(self, name: str) -> None:
        """Suspend a node; its events are deferred until it is thawed."""
        self._nodes[name].frozen = True

    def thaw(self, name: str) -> None:
        """Resume a frozen node; all deferred events are delivered at once."""
        node = self._nodes[name]
        node.frozen = False
        deferred, node.deferred = node.deferred, []
        for due in deferred:
            due.at = self.now
            heapq.heappush(self._queue, due)

    def cut(self, group: Iterable[str], others: Iterable[str], *, one_way: bool = False) -> None:
        """Drop all messages between two groups, or only those from ``group``."""
        listed = tuple(others)
        for left in group:
            for right in listed:
                self._cut.add((left, right))
                if not one_way:
                    self._cut.add((right, left))

    def heal(self) -> None:
        """Restore all cut links."""
        self._cut.clear()

    def run_until(self, end: float) -> None:
        """Run all events up to ``end``."""
        while self._queue and self._queue[0].at <= end:
            due = heapq.heappop(self._queue)
            self.now = max(self.now, due.at)
            self._run(due)
        self.now = end

    def run_for(self, seconds: float) -> None:
        """Run all events of the next ``seconds``."""
        self.run_until(self.now + seconds)

    def get_bytes(self, source: str, first: float, last: float) -> int:
        """Return the bytes that ``source`` sent in ``[first, last)``, with overhead."""
        return sum(
            sent.charged_bytes
            for sent in self.sent
            if sent.source == source and first <= sent.at < last
        )

    def _run(self, due: _Due) -> None:
        node = self._nodes.get(due.node)
        if node is None or node.incarnation != due.incarnation:
            return
        if node.frozen:
            node.deferred.append(due)
            return
        if due.component is not None:
            if node.wakes.get(due.component) == due.at:
                del node.wakes[due.component]
            self._handle(due.node, due.component, due.event)
            return
        for index in range(len(node.components)):
            self._handle(due.node, index, due.event)

    def _handle(self, name: str, index: int, event: Event) -> None:
        node = self._nodes[name]
        now = self.now + node.clock_offset_s
        for effect in node.components[index].handle(event, now=now):
            self._execute(name, index, effect)

    def _execute(self, name: str, index: int, effect: Effect) -> None:
        if isinstance(effect, SendMessage):
            self._send(name, effect)
        if isinstance(effect, Wake):
            self._wake(name, index, effect.at - self._nodes[name].clock_offset_s)

    def _wake(self, name: str, index: int, at: float) -> None:
        node = self._nodes[name]
        at = max(at, self.now + 1e-6)
        if index in node.wakes and self.now < node.wakes[index] <= at:
            return
        node.wakes[index] = at
        self._push(at, name, index, TimeReached())

    def _send(self, source: str, effect: SendMessage) -> None:
        data = encode(effect.message)
        kind = get_kind(effect.message)
        size = len(data) + TRANSPORT_OVERHEAD_BYTES
        incarnation = self._nodes[source].incarnation
        self.sent.append(Sent(self.now, source, incarnation, effect.target, kind, size))
        copies = 2 if self._random.random() < self.duplicate else 1
        for _ in range(copies):
            if (source, effect.target) in self._cut or self._random.random() < self.drop:
                continue
            event = MessageReceived(source=source, message=decode(kind, data))
            at = self.now + self._random.uniform(*self.delay_s)
            self._push(at, effect.target, None, event)

    def _push(self, at: float, name: str, component: int | None, event: Event) -> None:
        node = self._nodes.get(name)
        if node is None:
            return
        due = _Due(at, next(self._orders), name, node.incarnation, component, event)
        heapq.heappush(self._queue, due)
