"""Measure the request path: added latency, requests per second, cost per chunk, memory.

Run with: python -m benchmarks.path
It prints a table of an endpoint called directly and through one router in the same run.
Processor times exclude the usage of an idle router, which is printed separately.
"""

import json
import os
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Annotated

import typer
import urllib3

from standins.demo import CALLER_KEY, MODEL, apply_workspace, wait_routed
from standins.fleet import Fleet, Member, open_fleet

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
CHAT_PATH = "/v1/chat/completions"
MICROSECONDS = 1e6
MILLISECONDS = 1e3


@dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """Processor time (seconds) and resident memory (bytes) of a process."""

    cpu_s: float
    resident: int


def read_usage(pid: int) -> Usage:
    """Return the processor time of a process since its start and its resident memory."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(") ", 1)[1].split()
    with open(f"/proc/{pid}/statm", encoding="ascii") as statm:
        resident = int(statm.read().split()[1]) * PAGE_BYTES
    ticks = int(fields[11]) + int(fields[12])
    return Usage(cpu_s=ticks / TICKS_PER_SECOND, resident=resident)


def make_body(number: int, *, stream: bool) -> bytes:
    """Return the body of a chat request whose text contains ``number``."""
    message = {"role": "user", "content": f"chat {number}"}
    return json.dumps({"model": MODEL, "messages": [message], "stream": stream}).encode()


class Target:
    """Sends requests to one address and measures their durations."""

    def __init__(self, *, address: str, concurrency: int) -> None:
        """Open a connection pool for ``concurrency`` concurrent requests."""
        self._pool = urllib3.HTTPConnectionPool(
            *_split(address), maxsize=concurrency, block=True, retries=False
        )
        self._concurrency = concurrency
        self._headers = {
            "Authorization": f"Bearer {CALLER_KEY}",
            "Content-Type": "application/json",
        }

    def call(self, number: int, *, stream: bool = False) -> float:
        """Send one request and return its duration in seconds."""
        body = make_body(number, stream=stream)
        begin = time.perf_counter()
        response = self._pool.request("POST", CHAT_PATH, body=body, headers=self._headers)
        if response.status != 200:
            raise RuntimeError(f"status {response.status}: {response.data[:200]!r}")
        return time.perf_counter() - begin

    def run(self, count: int) -> list[float]:
        """Send ``count`` requests and return their sorted durations in seconds."""
        with ThreadPoolExecutor(self._concurrency) as workers:
            return sorted(workers.map(self.call, range(count)))


@dataclass(frozen=True, slots=True, kw_only=True)
class BlockUsage:
    """Usage of a block of work in seconds; ``cpu_s`` excludes the usage of the idle process."""

    cpu_s: float
    elapsed_s: float


class Meter:
    """Measures the usage of a process during a block of work."""

    def __init__(self, *, pid: int, idle_share: float) -> None:
        """Start the measurement; an idle process uses the share ``idle_share`` of a core."""
        self._pid = pid
        self._idle_share = idle_share
        self._begin = time.perf_counter()
        self._before = read_usage(pid)

    def stop(self) -> BlockUsage:
        """Return the usage since the start of the measurement."""
        elapsed_s = time.perf_counter() - self._begin
        used_s = read_usage(self._pid).cpu_s - self._before.cpu_s
        return BlockUsage(cpu_s=used_s - self._idle_share * elapsed_s, elapsed_s=elapsed_s)


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def get_quantile(durations: list[float], share: float) -> float:
    """Return a quantile in milliseconds of sorted durations in seconds."""
    return durations[min(len(durations) - 1, int(share * len(durations)))] * MILLISECONDS


def measure_latency(fleet: Fleet, endpoint: Member, count: int, idle_share: float) -> None:
    """Print the latency of direct requests and of requests through a router."""
    router = fleet.members["entry-1"]
    names = f"{'p50 ms':>8} {'p99 ms':>8} {'req/s':>8} {'router cpu us/req':>18}"
    print(f"{'concurrent':>10} {'way':>8} {names}")
    for concurrency in (1, 64):
        for way, member in (("direct", endpoint), ("router", router)):
            target = Target(address=member.address, concurrency=concurrency)
            target.run(count // 10)
            meter = Meter(pid=router.process.pid, idle_share=idle_share)
            durations = target.run(count)
            usage = meter.stop()
            cost = usage.cpu_s / count * MICROSECONDS if way == "router" else 0.0
            print(
                f"{concurrency:>10} {way:>8} {get_quantile(durations, 0.5):>8.2f}"
                f" {get_quantile(durations, 0.99):>8.2f} {count / usage.elapsed_s:>8.0f}"
                f" {cost:>18.0f}"
            )


def measure_chunks(fleet: Fleet, tokens: int, streams: int, idle_share: float) -> None:
    """Print the router's processor time per streamed chunk.

    Direct requests use no router, so the whole time is added by the router.
    """
    router = fleet.members["entry-1"]
    target = Target(address=router.address, concurrency=8)
    target.call(0, stream=True)
    meter = Meter(pid=router.process.pid, idle_share=idle_share)
    with ThreadPoolExecutor(8) as workers:
        list(workers.map(lambda number: target.call(number, stream=True), range(streams)))
    usage = meter.stop()
    chunks = tokens * streams
    cost = usage.cpu_s / chunks * MICROSECONDS
    print(
        f"{chunks} chunks in {streams} streams, {usage.elapsed_s:.1f} s:"
        f" {cost:.1f} us of router cpu a chunk beyond idle"
    )


def measure_idle(fleet: Fleet, seconds: float) -> float:
    """Print memory and processor share of idle routers; return the share of the first router."""
    shares: list[float] = []
    members = [fleet.members[plan.name] for plan in fleet.plans]
    before = [read_usage(member.process.pid) for member in members]
    time.sleep(seconds)
    for member, start in zip(members, before, strict=True):
        end = read_usage(member.process.pid)
        share = (end.cpu_s - start.cpu_s) / seconds
        shares.append(share)
        print(f"{member.name}: {end.resident / 1e6:.0f} MB resident, {share:.1%} of a core idle")
    return shares[0]


def main(
    count: Annotated[int, typer.Option(help="Requests per measurement.")] = 1000,
    tokens: Annotated[int, typer.Option(help="Chunks per stream.")] = 500,
    streams: Annotated[int, typer.Option(help="Number of streams.")] = 64,
) -> None:
    """Measure the path of a local fleet."""
    with open_fleet() as fleet:
        fleet.plan_instances(3)
        fleet.start_instances()
        engine = fleet.start_endpoint(
            "engine-1", "--model", MODEL, "--tokens", "1", "--token-ms", "0"
        )
        apply_workspace(fleet)
        wait_routed(fleet)
        idle_share = measure_idle(fleet, 5.0)
        measure_latency(fleet, engine, count, idle_share)
        engine.stop()
        fleet.start_endpoint(
            "engine-2", "--model", MODEL, "--tokens", str(tokens), "--token-ms", "1"
        )
        wait_routed(fleet)
        measure_chunks(fleet, tokens, streams, idle_share)


if __name__ == "__main__":
    typer.run(main)
