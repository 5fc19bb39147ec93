"""Measures the time and memory of the store and the configuration.

Run with: python -m benchmarks.store
"""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from chivetrack.components.configuration.configuration import Configuration
from chivetrack.components.configuration.messages import ConfigDelta
from chivetrack.components.configuration.models import (
    ConfigurationSettings,
    DatedConfirmation,
    PeersChanged,
    QuorumConfirmed,
)
from chivetrack.components.configuration.view import ConfigView
from chivetrack.components.resources.keys import hash_key
from chivetrack.components.store.commands import Claim, Create, FinishClaim, Replace, Stamp
from chivetrack.components.store.records import Change
from chivetrack.components.store.store import Store
from chivetrack.components.store.table import ResourceTable
from chivetrack.const import KIBIBYTE, MEBIBYTE
from chivetrack.core import Effect, MessageReceived, SendMessage, TimeReached
from chivetrack.helpers.codec import encode, pack, unpack

WORKSPACES = 49_000
CHANGES = 10_000
COMMANDS = 20_000
LOOKUPS = 20_000
POLLS = 5_000
ROUNDS = 5

SETTINGS = ConfigurationSettings()


def make_key(number: int) -> str:
    """Return the API key of a workspace."""
    return f"benchmark-key-{number:012d}"


def make_spec(number: int, rate: int = 10) -> bytes:
    """Return the encoded specification of a workspace, about 300 bytes."""
    spec = {
        "display_name": f"Workspace number {number} of the benchmark",
        "keys": [hash_key(make_key(number))],
        "services": ["valuation", "claims"],
        "models": ["report-large", "tags-small"],
        "policy": "default",
        "rate": rate,
        "concurrency": 8,
    }
    return msgspec.msgpack.encode(spec)


def fill(store: Store) -> None:
    """Create ``WORKSPACES`` workspaces in the store."""
    for number in range(WORKSPACES):
        name = f"workspace-{number:05d}"
        command = Create(Stamp(number), "workspace", name, make_spec(number))
        store.apply(store.index + 1, pack(command))


def change(store: Store, count: int, *, with_request_ids: bool = False) -> None:
    """Replace ``count`` randomly chosen workspaces one after the other."""
    rng = random.Random(1)
    for number in range(count):
        chosen = rng.randrange(WORKSPACES)
        stamp = Stamp(WORKSPACES + number, f"request-{number}" if with_request_ids else "")
        spec = make_spec(chosen, rate=number + 11)
        command = Replace(stamp, "workspace", f"workspace-{chosen:05d}", spec)
        store.apply(store.index + 1, pack(command))


def measure(call: Callable[[], object]) -> float:
    """Return the shortest time of ``ROUNDS`` calls in seconds."""
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.perf_counter()
        call()
        best = min(best, time.perf_counter() - started)
    return best


def measure_memory(make: Callable[[], object]) -> tuple[object, int, int]:
    """Return the object that ``make`` creates, its size and the peak of memory, in bytes."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    held, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return made, held, peak


def report_commands(store: Store) -> None:
    """Print the time for applying commands of several kinds."""
    rng = random.Random(2)
    packed = []
    for number in range(COMMANDS):
        chosen = rng.randrange(WORKSPACES)
        stamp = Stamp(WORKSPACES, f"bench-{number}")
        spec = make_spec(chosen, rate=number + 20_000)
        packed.append(pack(Replace(stamp, "workspace", f"workspace-{chosen:05d}", spec)))
    print_cost("replace with a request id", store, packed)
    claims = [
        pack(Claim(Stamp(WORKSPACES), f"w{number % 50}", f"k{number}", b"f" * 32, "r1#1#1", 60_000))
        for number in range(COMMANDS)
    ]
    print_cost("claim", store, claims)
    finishes = [
        pack(
            FinishClaim(
                Stamp(WORKSPACES), f"w{number % 50}", f"k{number}", number + 1, 200, "", b"x" * 500
            )
        )
        for number in range(COMMANDS)
    ]
    print_cost("finish a claim, body of 500 bytes", store, finishes)


def print_cost(name: str, store: Store, packed: list[bytes]) -> None:
    """Apply commands and print the mean time per command."""
    index = store.index
    started = time.perf_counter()
    for number, data in enumerate(packed, 1):
        store.apply(index + number, data)
    elapsed = time.perf_counter() - started
    print(f"apply, {name}: {elapsed / len(packed) * 1e6:.1f} us")


def report_snapshot(store: Store) -> None:
    """Print size, time and memory of snapshots."""
    data, _, peak = measure_memory(store.take_snapshot)
    assert isinstance(data, bytes)
    print(f"snapshot: {len(data) / MEBIBYTE:.1f} MiB, {measure(store.take_snapshot):.2f} s")
    print(f"snapshot, peak of memory beside the store: {peak / MEBIBYTE:.1f} MiB")

    def restore() -> Store:
        restored = Store()
        restored.restore_snapshot(data)
        return restored

    print(f"restore: {measure(restore):.2f} s")
    _, held, peak = measure_memory(restore)
    print(f"restored store: {held / MEBIBYTE:.1f} MiB, peak {peak / MEBIBYTE:.1f} MiB")


def report_view(store: Store) -> None:
    """Print memory of a router's view and the cost of its lookups."""
    gathered = copy_table(store)

    def make_view() -> ConfigView:
        view = ConfigView(table=ResourceTable(), settings=SETTINGS, started_at=0.0)
        view.adopt(gathered)
        return view

    view, held, _ = measure_memory(make_view)
    assert isinstance(view, ConfigView)
    print(f"view over shared records, tables and key index: {held / MEBIBYTE:.1f} MiB")
    print(f"view, adopt the whole state: {measure(make_view):.2f} s")
    confirmation = DatedConfirmation(term=1, counter=1, revision=store.revision, obtained_at=0.0)
    view.freshness.add_confirmation(confirmation, revision=store.revision)
    rng = random.Random(3)
    keys = [make_key(rng.randrange(WORKSPACES)) for _ in range(LOOKUPS)]
    started = time.perf_counter()
    found = sum(view.find_workspace(key) is not None for key in keys)
    elapsed = time.perf_counter() - started
    print(f"view, workspace by key: {elapsed / LOOKUPS * 1e6:.1f} us ({found} of {LOOKUPS} found)")


def report_changes(store: Store) -> None:
    """Print the size of deltas and the time for decoding and applying many changes."""
    before = store.revision
    base = copy_table(store)
    change(store, CHANGES)
    changes = store.table.list_changes(before)
    assert changes is not None
    last = changes[-1]
    delta = ConfigDelta(1, last.revision - 1, last.revision, last.revision, (last,))
    print(f"delta with one change: {len(encode(delta))} bytes")
    batch = ConfigDelta(1, before, store.revision, store.revision, tuple(changes))
    data = pack(batch)
    print(f"delta with {len(changes)} changes: {len(data) / KIBIBYTE:.0f} KiB")

    def decode() -> ConfigDelta:
        decoded = unpack(data)
        assert isinstance(decoded, ConfigDelta)
        return decoded

    print(f"decode {len(changes)} changes: {measure(decode):.3f} s")
    best = min(_time_apply(base, decode().changes) for _ in range(ROUNDS))
    print(f"view, apply {len(changes)} changes as one delta: {best:.3f} s")


def _time_apply(base: ResourceTable, changes: tuple[Change, ...]) -> float:
    configuration = make_configuration("router", None)
    configuration.view.adopt(base)
    started = time.perf_counter()
    configuration.view.table.apply(changes)
    return time.perf_counter() - started


def report_polling(store: Store) -> None:
    """Print bytes and time of a poll for changes and its answer when there are no changes."""
    leader = make_configuration("leader", store.table)
    leader.handle(QuorumConfirmed(term=3, revision=store.revision, started_at=1.0), now=1.0)
    router = make_configuration("router-1", None)
    router.view.adopt(copy_table(store))
    peers = PeersChanged(leader="leader", replicas=("leader",))
    poll_request = find_sent(router.handle(peers, now=1.0))
    delivered = MessageReceived(source="router-1", message=poll_request)
    answer = find_sent(leader.handle(delivered, now=1.0))
    sizes = f"{len(pack(poll_request))} bytes, answer {len(pack(answer))} bytes"
    print(f"poll without changes: {sizes}")

    def serve() -> None:
        for _ in range(POLLS):
            leader.handle(delivered, now=1.0)

    print(f"answer a poll: {measure(serve) / POLLS * 1e6:.1f} us")

    def poll() -> None:
        for number in range(1, POLLS + 1):
            now = number * 2.0
            effects = router.handle(TimeReached(), now=now)
            pull = find_sent(effects)
            delta = ConfigDelta(pull.correlation, pull.revision, pull.revision, pull.revision)
            event = MessageReceived(source="leader", message=delta)
            router.handle(event, now=now)

    started = time.perf_counter()
    poll()
    elapsed = time.perf_counter() - started
    print(f"poll and take the answer: {elapsed / POLLS * 1e6:.1f} us")


def copy_table(store: Store) -> ResourceTable:
    """Return a table that shares the records of a store but not its history."""
    table = ResourceTable()
    table.replace(store.table.export(), revision=store.revision)
    return table


def make_configuration(instance: str, table: ResourceTable | None) -> Configuration:
    """Return the configuration component of a replica, or of a router if ``table`` is ``None``."""
    return Configuration(
        instance=instance,
        incarnation=1,
        settings=SETTINGS,
        started_at=0.0,
        rng=random.Random(1),
        store_table=table,
    )


def find_sent(effects: Sequence[Effect]) -> Any:
    """Return the first message that the effects send."""
    return next(effect.message for effect in effects if isinstance(effect, SendMessage))


def report_log_replay() -> None:
    """Print the time to apply the commands of a log after a restart."""
    store = Store()
    for number in range(100):
        command = Create(Stamp(number), "workspace", f"workspace-{number:05d}", make_spec(number))
        store.apply(store.index + 1, pack(command))
    packed = [
        pack(Replace(Stamp(200), "workspace", f"workspace-{n % 100:05d}", make_spec(n % 100, n)))
        for n in range(1000, 1000 + CHANGES)
    ]
    started = time.perf_counter()
    for number, data in enumerate(packed, store.index + 1):
        store.apply(number, data)
    print(f"store, apply {CHANGES} commands of the log: {time.perf_counter() - started:.2f} s")


def main() -> None:
    """Run all measurements."""
    print(f"specification of a workspace: {len(make_spec(1))} bytes")
    store = Store()
    started = time.perf_counter()
    fill(store)
    print(f"create {WORKSPACES} workspaces: {time.perf_counter() - started:.2f} s")
    report_view(store)
    report_changes(store)
    report_polling(store)
    report_log_replay()
    report_snapshot(store)
    report_commands(store)


if __name__ == "__main__":
    main()
