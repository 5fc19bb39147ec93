"""Simulated instances on a network that loses, delays, duplicates and reorders messages."""

import heapq
import itertools
import random

import msgspec

from chivetrack.components.configuration.configuration import Configuration
from chivetrack.components.configuration.models import (
    ConfigChanged,
    ConfigurationSettings,
    PeersChanged,
    QuorumConfirmed,
    RevisionReported,
)
from chivetrack.components.store.commands import Create, Delete, Replace, Stamp
from chivetrack.components.store.store import Store
from chivetrack.components.store.table import ResourceTable
from chivetrack.core import Effect, Event, MessageReceived, SendMessage, TimeReached, WakeAt
from chivetrack.helpers.codec import pack, unpack

SETTINGS = ConfigurationSettings(batch_bytes=1500)
HISTORY = 40
LEADER = "leader"
QUORUM_INTERVAL_S = 0.5


class Node:
    """One incarnation of an instance, with its own clock."""

    def __init__(self, name: str, run: int, table: ResourceTable | None, *, time: float) -> None:
        rng = random.Random(f"{name}{run}")
        self.offset = rng.uniform(0.0, 1000.0)
        self.rate = rng.uniform(0.995, 1.005)
        self.run = run
        self.configuration = Configuration(
            instance=name,
            incarnation=run,
            settings=SETTINGS,
            started_at=self.read_clock(time),
            rng=rng,
            store_table=table,
        )

    def read_clock(self, time: float) -> float:
        return time * self.rate + self.offset

    def find_time(self, clock: float) -> float:
        return (clock - self.offset) / self.rate


class Fleet:
    """One leader with a store, and routers in zones of three routers."""

    def __init__(self, *, seed: int, routers: int = 6, chaos: bool = True) -> None:
        self.rng = random.Random(seed)
        self.time = 0.0
        self.chaos = chaos
        self.is_leader_partitioned = False
        self.partitioned: set[str] = set()
        self.store = Store(table=ResourceTable(history_changes=HISTORY))
        self.states: dict[int, dict[str, bytes]] = {0: {}}
        self.commits: list[tuple[float, int]] = [(0.0, 0)]
        self.highest: dict[str, int] = {}
        self.messages = 0
        self._heap: list[tuple[float, int, str, int, Event]] = []
        self._orders = itertools.count()
        self.names = [f"r{number}" for number in range(routers)]
        self.nodes = {LEADER: Node(LEADER, 1, self.store.table, time=0.0)}
        self.send_peers(LEADER)
        for name in self.names:
            self.restart(name)

    def restart(self, name: str) -> None:
        """Start a router without any state of its previous incarnation."""
        run = self.nodes[name].run + 1 if name in self.nodes else 1
        self.nodes[name] = Node(name, run, None, time=self.time)
        self.send_peers(name)

    def send_peers(self, name: str) -> None:
        zone = int(name[1:]) // 3 if name != LEADER else -1
        peers = tuple(f"r{number}" for number in range(zone * 3, zone * 3 + 3))
        event = PeersChanged(
            leader=LEADER, replicas=(LEADER,), zone_peers=peers if zone >= 0 else ()
        )
        self.deliver(name, event)

    def change(self) -> None:
        """Commit a create, replace or delete of one of twelve limits."""
        name = f"l{self.rng.randrange(12)}"
        spec = msgspec.msgpack.encode({"rate": self.store.revision + 1})
        index = self.store.index + 1
        command: Create | Replace | Delete
        if self.store.table.get("limit", name) is None:
            command = Create(Stamp(index), "limit", name, spec)
        elif self.rng.random() < 0.3:
            command = Delete(Stamp(index), "limit", name)
        else:
            command = Replace(Stamp(index), "limit", name, spec)
        self.store.apply(index, pack(command))
        revision = self.store.revision
        self.states[revision] = read_state(self.store.table)
        self.commits.append((self.time, revision))
        self.deliver(LEADER, ConfigChanged())

    def confirm(self) -> None:
        """Let the leader confirm with its quorum, unless it is partitioned."""
        if self.is_leader_partitioned:
            return
        node = self.nodes[LEADER]
        event = QuorumConfirmed(
            term=1, revision=self.store.revision, started_at=node.read_clock(self.time)
        )
        self.deliver(LEADER, event)

    def run(self, duration: float) -> None:
        """Deliver all events due within ``duration`` seconds, with quorum rounds in between."""
        end = self.time + duration
        next_quorum = self.time
        while next_quorum <= end:
            self._deliver_until(next_quorum)
            self.confirm()
            next_quorum += QUORUM_INTERVAL_S
        self._deliver_until(end)

    def deliver(self, name: str, event: Event) -> None:
        node = self.nodes[name]
        effects = node.configuration.handle(event, now=node.read_clock(self.time))
        for effect in effects:
            self._execute(name, node, effect)
        self.check(name)

    def check(self, name: str) -> None:
        """Check the invariants of an instance after an event."""
        node = self.nodes[name]
        view = node.configuration.view
        revision = view.revision
        assert revision == 0 or revision >= self.highest.get(name, 0), "revision went backwards"
        if revision:
            self.highest[name] = revision
            assert read_state(view.table) == self.states[revision], "state is of no single revision"
        if view.is_confirmed(node.read_clock(self.time)):
            oldest = self.time - SETTINGS.confirmation_window_s
            due = max(revision for time, revision in self.commits if time <= max(oldest, 0.0))
            assert revision >= due, "confirmed with a state older than the window"

    def gossip(self) -> None:
        """Report the revision of one router to another one."""
        name, peer = self.rng.sample(self.names, 2)
        revision = self.nodes[peer].configuration.view.revision
        self.deliver(name, RevisionReported(peer=peer, revision=revision))

    def list_revisions(self) -> list[int]:
        return [self.nodes[name].configuration.view.revision for name in self.names]

    def _deliver_until(self, end: float) -> None:
        while self._heap and self._heap[0][0] <= end:
            self.time, _, name, run, event = heapq.heappop(self._heap)
            if run in (0, self.nodes[name].run):
                self.deliver(name, event)
        self.time = end

    def _execute(self, name: str, node: Node, effect: Effect) -> None:
        if isinstance(effect, WakeAt):
            at = max(node.find_time(effect.at), self.time + 0.001)
            self._schedule(at, name, node.run, TimeReached())
        if isinstance(effect, SendMessage):
            self.messages += 1
            event = MessageReceived(source=name, message=unpack(pack(effect.message)))
            for delay in self._draw_delays(name, effect.target):
                self._schedule(self.time + delay, effect.target, 0, event)

    def _draw_delays(self, source: str, target: str) -> list[float]:
        if (source in self.partitioned) != (target in self.partitioned):
            return []
        if not self.chaos:
            return [0.002]
        draw = self.rng.random()
        if draw < 0.1:
            return []
        if draw < 0.2:
            return [self.rng.uniform(0.0, 8.0)]
        if draw < 0.3:
            return [self.rng.uniform(0.0, 0.1), self.rng.uniform(0.0, 8.0)]
        return [self.rng.uniform(0.001, 0.1)]

    def _schedule(self, at: float, name: str, run: int, event: Event) -> None:
        heapq.heappush(self._heap, (at, next(self._orders), name, run, event))


def read_state(table: ResourceTable) -> dict[str, bytes]:
    """Return the specifications of all limits by name."""
    return {record.name: record.spec for record in table.iterate("limit")}
