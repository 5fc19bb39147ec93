"""Cost of the origins of streams: to a router, to a replica, in bytes and in memory.

Run with ``python -m benchmarks.origins``; prints a table for the size of docs/CAPACITY.md.
"""

import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

from chivetrack.components.origins.const import (
    MAX_RECORD_DELAY_S,
    RECORD_COPIES,
    RECORD_DELAY_PER_ROUTER_S,
)
from chivetrack.components.origins.ledger import OriginLedger
from chivetrack.components.origins.messages import (
    OriginAnswer,
    OriginGroup,
    OriginQuery,
    OriginRecords,
)
from chivetrack.components.origins.models import Origin
from chivetrack.components.origins.tracker import OriginTracker
from chivetrack.helpers.codec import decode_as, encode

ROUTERS = 380
REPLICAS = 9
REQUESTS_PER_S = 12_000
TTL_S = 20.0
SAMPLES = 50_000

ORIGINS = (Origin("valuation-llm", "v1"), Origin("valuation-llm", "v2"))
MEMBERS = tuple(f"10.0.0.{number}:7000" for number in range(REPLICAS))


@dataclass(frozen=True, slots=True, kw_only=True)
class Figure:
    """One line of the table."""

    what: str
    value: str


def measure_us(function: Callable[[int], object], count: int = SAMPLES) -> float:
    """Return the processor time of one call in microseconds."""
    began = time.process_time()
    for number in range(count):
        function(number)
    return (time.process_time() - began) / count * 1e6


def make_id(number: int) -> str:
    """Return a request id as callers make them, of 16 hexadecimal digits."""
    return f"{number * 0x9E3779B97F4A7C15 % 2**64:016x}"


def make_records(count: int, first: int = 0) -> OriginRecords:
    """Return a message with ``count`` records, split between two versions."""
    ids = [make_id(first + number) for number in range(count)]
    groups = (
        OriginGroup(origin=origin, requests=tuple(ids[index::2]), ttl_s=TTL_S)
        for index, origin in enumerate(ORIGINS)
    )
    return OriginRecords(groups=tuple(group for group in groups if group.requests))


def measure_router() -> list[Figure]:
    """Measure what a router does for each stream with one version and with two."""
    figures = []
    for versions in (1, 2):
        tracker = OriginTracker()
        origins = ORIGINS[:versions]
        answers = {
            name: OriginAnswer(number=1, members=MEMBERS, is_complete=True, origins=origins)
            for name in MEMBERS
        }
        tracker.update_announced(origins, now=0.0)
        tracker.handle_registration(origins, answers, began_at=0.0, now=0.0)

        def begin(number: int, tracker: OriginTracker = tracker) -> None:
            now = number / 32
            tracker.may_begin(ORIGINS[0])
            tracker.record_begin(
                make_id(number), ORIGINS[0], ttl_s=TTL_S, is_only_service=True, now=now
            )

        text = f"router, a stream that begins, {versions} version(s)"
        figures.append(Figure(what=text, value=f"{measure_us(begin):.1f} us"))
    return figures


def measure_replica(batch: int) -> list[Figure]:
    """Measure what a replica does with records and lookups, and its memory for records."""
    ledger = OriginLedger(started_at=0.0, is_complete=True)
    payloads = [encode(make_records(batch, first=number * batch)) for number in range(20_000)]

    def take(number: int) -> None:
        ledger.handle_records(decode_as(OriginRecords, payloads[number]), now=0.0)

    batch_us = measure_us(take, len(payloads))
    query = OriginQuery(number=1, services=("valuation-llm",), request=make_id(5), registers=())
    answered = encode(ledger.answer(query, members=MEMBERS, now=1.0))

    def answer(number: int) -> None:
        asked = decode_as(OriginQuery, encode(query))
        encode(ledger.answer(asked, members=MEMBERS, now=1.0))

    return [
        Figure(what=f"replica, a message of {batch} records", value=f"{batch_us:.1f} us"),
        Figure(what="bytes of it, uncompressed", value=f"{len(payloads[0])}"),
        Figure(what="replica, a lookup with its answer", value=f"{measure_us(answer):.1f} us"),
        Figure(
            what="bytes of a query and its answer", value=f"{len(encode(query))} {len(answered)}"
        ),
    ]


def measure_memory(records: int) -> Figure:
    """Measure the memory that a replica's records take."""
    tracemalloc.start()
    ledger = OriginLedger(started_at=0.0, is_complete=True)
    for first in range(0, records, 1_000):
        ledger.handle_records(make_records(1_000, first=first), now=0.0)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return Figure(what=f"memory of {len(ledger.records)} records", value=f"{size / 1e6:.1f} MB")


def main() -> None:
    """Print the figures, and what they add up to at the size of docs/CAPACITY.md."""
    delay_s = min(MAX_RECORD_DELAY_S, ROUTERS * RECORD_DELAY_PER_ROUTER_S)
    messages_per_s = ROUTERS * RECORD_COPIES / delay_s / REPLICAS
    records_per_s = REQUESTS_PER_S * RECORD_COPIES / REPLICAS
    batch = max(1, round(REQUESTS_PER_S / ROUTERS * delay_s))
    figures = [
        *measure_router(),
        *measure_replica(batch),
        measure_memory(round(records_per_s * TTL_S)),
        Figure(what="messages with records a second and replica", value=f"{messages_per_s:.0f}"),
        Figure(what="records a second and replica", value=f"{records_per_s:.0f}"),
    ]
    for figure in figures:
        print(f"{figure.what:52} {figure.value}")


if __name__ == "__main__":
    main()
