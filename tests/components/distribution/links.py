"""Simulation of a replica and its routers over links of limited rate."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.distribution.messages import (
    EndpointUpdate,
    Follow,
    PlacedPart,
    SilentUpdate,
    View,
)
from chivetrack.components.distribution.publisher import Publisher
from chivetrack.components.distribution.subscriber import RouterReport, Subscriber
from chivetrack.components.peers.const import FRAME_OVERHEAD_BYTES
from chivetrack.components.peers.frames import encode_frame
from chivetrack.core import Effect, SendMessage
from chivetrack.helpers.codec import Message, pack
from tests.components.announcements.test_packing import make_fleet

REPLICA = "p1"
REPLICA_BYTES_PER_S = 525_000.0
ROUTER_BYTES_PER_S = 625_000.0
DELAY_S = 0.001
PUSH_AFTER_S = 0.02
ROUND_S = 0.125


@dataclass
class Link:
    """Outgoing link of one instance, which sends messages one after the other."""

    bytes_per_s: float
    free_at: float = 0.0
    sent_bytes: int = 0
    longest_wait_s: float = 0.0

    def send(self, size: int, now: float) -> float:
        """Send ``size`` bytes and return when the last one has arrived."""
        start = max(now, self.free_at)
        self.longest_wait_s = max(self.longest_wait_s, start - now)
        self.free_at = start + size / self.bytes_per_s
        self.sent_bytes += size
        return self.free_at + DELAY_S


@dataclass
class Router:
    subscriber: Subscriber
    table: EndpointTable
    link: Link
    is_down: bool = False
    complete_at: float | None = None


@dataclass
class Fleet:
    """One replica, ``routers`` assigned to it, and endpoints that announce themselves to it.

    The other replicas don't answer, so all routers poll this one.
    """

    routers: int
    lost_share: float = 0.0
    now: float = 0.0
    known: dict[str, Router] = field(default_factory=dict)
    unreachable: set[str] = field(default_factory=set)
    """Routers to which no other router can connect."""
    random: Random = field(default_factory=lambda: Random(1))

    def __post_init__(self) -> None:
        self.table = EndpointTable()
        self.link = Link(REPLICA_BYTES_PER_S)
        self.publisher = Publisher(
            replica=REPLICA, run="run1", table=self.table, list_replicas=lambda: (REPLICA,)
        )
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._pushed_change = 0
        for number in range(self.routers):
            self._add_router(f"r{number}")
        for name in self.known:
            self._schedule(
                self.random.uniform(0.0, 0.3), lambda router_name=name: self._wake(router_name)
            )
        self._schedule(ROUND_S, self._run_rounds)
        self._schedule(PUSH_AFTER_S, self._push)

    def _add_router(self, name: str) -> None:
        table = EndpointTable()
        subscriber = Subscriber(
            router=name,
            document_address="",
            seeds=[REPLICA],
            table=table,
            apply_document=lambda version, body: None,
            on_unreadable=lambda version, detail: None,
            on_bad_update=lambda replica, detail: None,
            get_report=lambda: RouterReport(loads=(), placed=()),
        )
        self.known[name] = Router(subscriber, table, Link(ROUTER_BYTES_PER_S))

    def restart_routers(self) -> None:
        """Restart all routers without any state."""
        for name in list(self.known):
            self._add_router(name)

    def place(self, count: int) -> None:
        """Record ``count`` placements of prompt parts at the replica."""
        endpoints = [record.endpoint_id for record in self.table.list_records()]
        placed = [
            PlacedPart(
                part=f"{self.random.getrandbits(48):x}:512",
                endpoint_id=self.random.choice(endpoints),
                age_s=self.random.uniform(0.0, 20.0),
            )
            for _ in range(count)
        ]
        self.publisher.placements.record(placed, now=self.now)

    def announce(self, count: int, *, within_s: float) -> None:
        """Announce new endpoints, spread evenly over ``within_s``."""
        for number, record in enumerate(make_fleet(count)):
            at = self.now + within_s * number / count
            self._schedule(at, lambda announced=record: self.table.merge(announced, now=self.now))

    def run_until(self, end: float) -> None:
        """Run all events up to the simulated time ``end``."""
        while self._events and self._events[0][0] <= end:
            self.now, _, act = heapq.heappop(self._events)
            act()
        self.now = end

    def _schedule(self, at: float, act: Callable[[], object]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), act))

    def _run_rounds(self) -> None:
        self._send(self.link, self.publisher.send_round(now=self.now))
        self._schedule(self.now + ROUND_S, self._run_rounds)

    def _push(self) -> None:
        if self._pushed_change != self.table.change:
            self._pushed_change = self.table.change
            self._send(self.link, self.publisher.publish(now=self.now))
        self._schedule(self.now + PUSH_AFTER_S, self._push)

    def _wake(self, name: str) -> None:
        router = self.known[name]
        if not router.is_down:
            self._send(router.link, router.subscriber.wake(now=self.now))
        self._schedule(self.now + 0.3, lambda: self._wake(name))

    def _send(self, link: Link, effects: list[SendMessage] | list[Effect]) -> None:
        for effect in effects:
            if not isinstance(effect, SendMessage):
                continue
            frame = encode_frame([pack(effect.message)])
            arrives_at = link.send(len(frame) + FRAME_OVERHEAD_BYTES, self.now)
            is_cut = link is not self.link and effect.target in self.unreachable
            if not is_cut and self.random.random() >= self.lost_share:
                self._schedule(
                    arrives_at, lambda sent=effect: self._handle(sent.target, sent.message)
                )

    def _handle(self, target: str, message: Message) -> None:
        if target == REPLICA:
            assert isinstance(message, Follow)
            self._send(self.link, list(self.publisher.handle_follow(message, now=self.now)))
            return
        router = self.known[target]
        if router.is_down:
            return
        if isinstance(message, View):
            effects = router.subscriber.handle_view(REPLICA, message, now=self.now)
        elif isinstance(message, SilentUpdate):
            effects = router.subscriber.handle_silent(message)
        else:
            assert isinstance(message, EndpointUpdate)
            effects = router.subscriber.handle_endpoints(message, now=self.now)
        self._send(router.link, effects)

    def count_known(self) -> list[int]:
        """Return how many endpoints each router knows."""
        return [len(list(router.table.list_records())) for router in self.known.values()]
