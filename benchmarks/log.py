"""Measure the replicated log: commits, reads, idle traffic, failover and restart.

``python -m benchmarks.log`` runs three replicas in one process under gevent, each with its own
data folder and real syncs in the thread pool. Messages are encoded and decoded but not sent
through gRPC, whose cost per message has to be added.
"""

import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from random import Random, SystemRandom
from typing import Final

import gevent
from gevent.event import Event as GeventEvent

from chivetrack.components.consensus import Consensus
from chivetrack.components.consensus.members import Member, Members
from chivetrack.components.consensus.messages import Entry, EntryKind
from chivetrack.components.consensus.models import Persist, Snapshot, Timing
from chivetrack.components.replica import Replica, ReplicaCore
from chivetrack.components.storage import Storage, create_folder, open_storage
from chivetrack.components.storage.records import Identity
from chivetrack.core import SendMessage
from chivetrack.helpers.codec import pack, unpack

NAMES: Final = ("a", "b", "c")
ENTRY_DATA: Final = b"x" * 300
SECONDS: Final = 5.0
SETTLE_S: Final = 1.0
FAILOVERS: Final = 7
ENTRIES: Final = 10_000
PAGES_PER_MEBIBYTE: Final = 256


class Counter:
    """A state machine that counts its entries, so that its state stays small."""

    def __init__(self) -> None:
        """Initialize the count to zero."""
        self.count = 0

    def apply(self, index: int, data: bytes) -> bytes:
        """Count an entry and return the new count."""
        self.count += 1
        return b"%d" % self.count

    def take_snapshot(self) -> bytes:
        """Return the count."""
        return b"%d" % self.count

    def restore_snapshot(self, data: bytes) -> None:
        """Restore the count from a snapshot."""
        self.count = int(data or b"0")


class Fleet:
    """Replicas in one process, with counters of the messages between them."""

    def __init__(self) -> None:
        """Initialize a fleet without replicas."""
        self.replicas: dict[str, Replica] = {}
        self.messages = 0
        self.message_bytes = 0
        self.sync_times: list[float] = []

    def send(self, source: str, effect: SendMessage) -> None:
        """Encode a message, count it and deliver it to its target."""
        data = pack(effect.message)
        self.messages += 1
        self.message_bytes += len(data)
        self.replicas[effect.target].receive(source, unpack(data))

    def run_blocking(self, call: Callable[[], None]) -> None:
        """Run a sync in the thread pool and record its duration."""
        start = time.perf_counter()
        gevent.get_hub().threadpool.apply(call)
        self.sync_times.append(time.perf_counter() - start)

    def add(self, name: str, storage: Storage) -> None:
        """Create a replica on its storage and add it."""
        recovered = storage.pop_recovered()
        core = ReplicaCore(
            consensus=Consensus(
                replica_id=name,
                random=Random(SystemRandom().random()),
                timing=Timing(),
                recovered=recovered,
            ),
            state_machine=Counter(),
            snapshot=recovered.snapshot,
        )
        self.replicas[name] = Replica(
            core=core,
            storage=storage,
            send=lambda effect: self.send(name, effect),
            clock=time.monotonic,
            make_waiter=GeventEvent,
            run_blocking=self.run_blocking,
        )

    def find_leader(self) -> Replica:
        """Wait until a replica is the leader and return it."""
        while True:
            for replica in self.replicas.values():
                if replica.get_status().consensus.role == "leader":
                    return replica
            gevent.sleep(0.05)


@contextmanager
def run_fleet() -> Iterator[Fleet]:
    """Run three replicas in a temporary folder."""
    fleet = Fleet()
    members = tuple(Member(replica_id=name, instance_id=name, voter=True) for name in NAMES)
    first = Snapshot(index=1, term=1, members=Members(members=members))
    with ExitStack() as stack:
        root = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        for name in NAMES:
            identity = Identity(replica_id=name, instance_id=name)
            create_folder(root / name, identity=identity, snapshot=first)
            fleet.add(name, stack.enter_context(open_storage(path=root / name)))
        writers = [gevent.spawn(replica.run) for replica in fleet.replicas.values()]
        yield fleet
        for replica in fleet.replicas.values():
            replica.stop()
        gevent.joinall(writers)


def call_repeatedly(call: Callable[[], bool], until: float, times: list[float]) -> None:
    """Repeat a call until a time and append the duration of each successful call to ``times``."""
    while (start := time.perf_counter()) < until:
        if call():
            times.append(time.perf_counter() - start)


def measure_calls(name: str, fleet: Fleet, call: Callable[[], bool], callers: int) -> None:
    """Print calls per second and latencies with ``callers`` concurrent callers."""
    fleet.messages = fleet.message_bytes = 0
    fleet.sync_times.clear()
    times: list[float] = []
    cpu = time.process_time()
    until = time.perf_counter() + SECONDS
    jobs = [gevent.spawn(call_repeatedly, call, until, times) for _ in range(callers)]
    gevent.joinall(jobs)
    cpu = time.process_time() - cpu
    times.sort()
    p50, p99 = (1000 * times[int(len(times) * share)] for share in (0.5, 0.99))
    sync_times = sorted(fleet.sync_times)
    sync = 1000 * sync_times[len(sync_times) // 2] if sync_times else 0.0
    print(
        f"{name}, {callers} callers: {len(times) / SECONDS:.0f}/s, p50 {p50:.2f} ms, "
        f"p99 {p99:.2f} ms; {fleet.messages / len(times):.2f} messages each, "
        f"sync p50 {sync:.2f} ms, {1e6 * cpu / len(times):.0f} us of processor each"
    )


def measure_idle(fleet: Fleet) -> None:
    """Print the traffic of a fleet without requests."""
    fleet.messages = fleet.message_bytes = 0
    cpu = time.process_time()
    gevent.sleep(SECONDS)
    cpu = time.process_time() - cpu
    print(
        f"idle, all three: {fleet.messages / SECONDS:.1f} messages/s, "
        f"{fleet.message_bytes / SECONDS:.0f} bytes/s, {1000 * cpu / SECONDS:.2f} ms/s of processor"
    )


def measure_failover(*, is_transfer: bool) -> None:
    """Print the time to the next commit after the leader transfers leadership or stops."""
    times: list[float] = []
    for _ in range(FAILOVERS):
        with run_fleet() as fleet:
            leader = fleet.find_leader()
            gevent.sleep(SETTLE_S)
            start = time.perf_counter()
            if is_transfer:
                leader.transfer_leadership()
            else:
                leader.stop()
            others = [replica for replica in fleet.replicas.values() if replica is not leader]
            while not any(replica.propose(ENTRY_DATA).is_ok() for replica in others):
                gevent.sleep(0.001)
            times.append(time.perf_counter() - start)
    times.sort()
    name = "hand-over" if is_transfer else "stopped leader"
    median = times[len(times) // 2]
    print(f"{name}, {FAILOVERS} times: p50 {median:.3f} s, longest {times[-1]:.3f} s to a commit")


def fill_folder(path: Path) -> None:
    """Create the data folder of a single replica with many entries after its snapshot."""
    member = Member(replica_id="a", instance_id="a", voter=True)
    first = Snapshot(index=1, term=1, members=Members(members=(member,)))
    identity = Identity(replica_id="a", instance_id="a")
    create_folder(path, identity=identity, snapshot=first)
    with open_storage(path=path) as storage:
        for index in range(2, ENTRIES + 2):
            entry = Entry(index=index, term=1, kind=EntryKind.DATA, data=ENTRY_DATA)
            storage.save([Persist(entries=(entry,), last_index=index, last_term=1)])


def get_resident_mebibytes() -> float:
    """Return the resident memory of this process in MiB, assuming pages of 4 KiB."""
    return int(Path("/proc/self/statm").read_text().split()[1]) / PAGES_PER_MEBIBYTE


def measure_restart(path: Path) -> None:
    """Print time and memory that a single replica needs to apply all entries after a restart."""
    before = get_resident_mebibytes()
    start = time.perf_counter()
    fleet = Fleet()
    with open_storage(path=path) as storage:
        fleet.add("a", storage)
        opened = time.perf_counter() - start
        replica = fleet.replicas["a"]
        writer = gevent.spawn(replica.run)
        start = time.perf_counter()
        while replica.get_status().applied_index <= ENTRIES:
            gevent.sleep(0.001)
        applied = time.perf_counter() - start
        after = get_resident_mebibytes()
        replica.stop()
        writer.join()
    print(
        f"restart with {ENTRIES} entries of {len(ENTRY_DATA)} bytes: read in {opened:.3f} s, "
        f"elected and applied after {applied:.3f} s more, "
        f"resident memory {before:.1f} MiB before, {after:.1f} MiB after"
    )


def main() -> None:
    """Run all measurements, or only that of a restart for the folder given as argument."""
    if len(sys.argv) > 1:
        measure_restart(Path(sys.argv[1]))
        return
    with run_fleet() as fleet:
        leader = fleet.find_leader()
        gevent.sleep(SETTLE_S)
        measure_idle(fleet)
        for callers in (1, 64):
            measure_calls("commits", fleet, lambda: leader.propose(ENTRY_DATA).is_ok(), callers)
        for callers in (1, 64):
            measure_calls("reads", fleet, lambda: leader.confirm_read().is_ok(), callers)
    for is_transfer in (True, False):
        measure_failover(is_transfer=is_transfer)
    with tempfile.TemporaryDirectory() as root:
        path = Path(root) / "data"
        fill_folder(path)
        subprocess.run([sys.executable, "-m", "benchmarks.log", str(path)], check=True)


if __name__ == "__main__":
    main()
