"""Measure the deployed router: processor time at rest, per request and per event of a stream.

Run with: python -m benchmarks.router
One replica and one router run as processes; endpoints and callers run in this process. Processor
times exclude that of the idle router, which is printed separately.
"""

from gevent import monkey

monkey.patch_all()

import time  # noqa: E402
from collections.abc import Iterator  # noqa: E402
from contextlib import contextmanager  # noqa: E402
from dataclasses import dataclass  # noqa: E402
from typing import Annotated, Any  # noqa: E402

import gevent  # noqa: E402
import typer  # noqa: E402
from gevent import socket  # noqa: E402
from gevent.server import StreamServer  # noqa: E402

from benchmarks.path import MICROSECONDS, Meter, read_usage  # noqa: E402
from tests.system.deployment import (  # noqa: E402
    CALLER_PORT,
    ENDPOINT_PORT,
    Deployment,
    make_config,
    open_deployment,
)

ROUTER = "r1"
HOST = "one.example"
STREAM_PREFIX, PLAIN_PREFIX = "/s/", "/p/"
EVENT = b"id: %d\ndata: " + 80 * b"x" + b"\n\n"
IDLE_S = 4.0
SETTLE_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Requests of one kind: ``callers`` send ``requests`` each, one after the other."""

    prefix: str
    callers: int
    requests: int
    parts: str = ""
    pause_s: float = 0.05
    """Before each request; a router at work all the time closes new connections unread."""


class Endpoint:
    """Answers requests at once; streams have ``events`` events, one each ``gap_s``."""

    def __init__(self, *, host: str, name: str, service: str, events: int, gap_s: float) -> None:
        """Listen on ``host``."""
        self.name = name
        self.service = service
        self.events = events
        self.gap_s = gap_s
        self.sequence = 0
        self.address = f"{host}:{ENDPOINT_PORT}"
        self.server = StreamServer((host, ENDPOINT_PORT), self._serve, backlog=512)
        self.server.start()

    def make_heartbeat(self, state: str = "ready") -> dict[str, Any]:
        """Return the next heartbeat of this endpoint."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 32,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": 1,
        }

    def _serve(self, connection: Any, _address: Any) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        source = connection.makefile("rb")
        while (head := _read_head(source)) is not None:
            lines, length = head
            source.read(length)
            self._answer(connection, lines)

    def _answer(self, connection: Any, lines: list[bytes]) -> None:
        attempt = next(one for one in lines if one.lower().startswith(b"x-chivetrack-attempt-id"))
        head = b"HTTP/1.1 200 OK\r\nX-Chivetrack-Server-Seal: s\r\n" + attempt + b"\r\n"
        if b" " + STREAM_PREFIX.encode() not in lines[0]:
            connection.sendall(head + b"Content-Length: 800\r\n\r\n" + 800 * b"x")
            return
        connection.sendall(head + b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(1, self.events + 1):
            event = EVENT % number
            connection.sendall(b"%x\r\n%b\r\n" % (len(event), event))
            gevent.sleep(self.gap_s)
        connection.sendall(b"0\r\n\r\n")


def _read_head(source: Any) -> tuple[list[bytes], int] | None:
    """Return the lines of a head and the length of its body, ``None`` at the end."""
    lines = []
    while (line := source.readline()) not in (b"", b"\r\n"):
        lines.append(line.rstrip())
    if not lines:
        return None
    lengths = [int(one[15:]) for one in lines if one.lower().startswith(b"content-length:")]
    return lines, sum(lengths)


def _call(address: tuple[str, int], load: Load, caller: int) -> None:
    """Send the requests of one caller; raise ``RuntimeError`` unless each is answered with 200."""
    connection = socket.create_connection(address)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    source = connection.makefile("rb")
    for number in range(load.requests):
        gevent.sleep(load.pause_s * (0.5 + caller / load.callers))
        lines = [
            f"POST {load.prefix}x HTTP/1.1",
            f"Host: {HOST}",
            f"X-Chivetrack-Attempt-Id: {caller:08x}{number:08x}",
            "X-Chivetrack-Deadline-Ms: 10000",
            "X-Chivetrack-Key: key",
            "Content-Length: 600",
        ]
        if load.parts:
            lines.append(f"X-Chivetrack-Prompt-Prefix: {load.parts},{caller:x}{number:x}:130")
            lines += ["X-Chivetrack-Token-Counts: 830,300", "X-Chivetrack-Length-Hint: 300"]
        connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + 600 * b"x")
        _read_answer(source)
    connection.close()


def _read_answer(source: Any) -> None:
    head = _read_head(source)
    if head is None or b" 200 " not in head[0][0] + b" ":
        raise RuntimeError(f"answered {head}")
    lines, length = head
    source.read(length)
    if any(one.lower() == b"transfer-encoding: chunked" for one in lines):
        while size := int(source.readline(), 16):
            source.read(size + 2)
        source.readline()


def make_benchmark_config() -> dict[str, Any]:
    """Return a configuration with a route of streams and one of plain requests."""
    config = make_config(2, STREAM_PREFIX, PLAIN_PREFIX)
    stream, plain = config["routes"]
    stream.update(kind="stream", service="engines", sticky=True, timeoutMs=10000)
    plain.update(kind="idempotent", service="portal")
    engine = {"slots": 32, "kvCapacity": 480_000, "moves": True}
    config["services"].append({"name": "engines", "healthPath": "/health", "engine": engine})
    return config


@contextmanager
def open_measured_router(
    *, engines: int, events: int, gap_s: float, profile: str = ""
) -> Iterator[Deployment]:
    """Run a router before ``engines`` engines and three plain endpoints."""
    with open_deployment(replicas=1, routers=1) as deployment:
        if profile:
            deployment.modules[ROUTER] = "benchmarks.profiled_router"
            deployment.environment["CHIVETRACK_PROFILE"] = profile
        deployment.start_all()
        endpoints = [
            Endpoint(
                host=f"{deployment.network}.{150 + number}",
                name=f"i-{number}",
                service="engines" if number < engines else "portal",
                events=events,
                gap_s=gap_s,
            )
            for number in range(engines + 3)
        ]
        deployment.put(make_benchmark_config())
        beats = [gevent.spawn(_keep_announced, deployment, one) for one in endpoints]
        deployment.wait_served(ROUTER, PLAIN_PREFIX + "x")
        try:
            yield deployment
        finally:
            gevent.killall(beats)


def _keep_announced(deployment: Deployment, endpoint: Endpoint) -> None:
    while True:
        deployment.announce(endpoint)  # type: ignore[arg-type]
        gevent.sleep(1.2)


def measure(deployment: Deployment, load: Load, idle_share: float) -> float:
    """Return the router's processor time (s) for a load, without that at rest."""
    meter = Meter(pid=deployment.processes[ROUTER].pid, idle_share=idle_share)
    address = (deployment.get_host(ROUTER), CALLER_PORT)
    calls = [gevent.spawn(_call, address, load, caller) for caller in range(load.callers)]
    gevent.joinall(calls, raise_error=True)
    cpu_s = meter.stop().cpu_s
    gevent.sleep(SETTLE_S)
    return cpu_s


def main(
    callers: Annotated[int, typer.Option(help="Callers at a time.")] = 16,
    requests: Annotated[int, typer.Option(help="Requests of each caller.")] = 40,
    engines: Annotated[int, typer.Option(help="Number of engines.")] = 45,
    events: Annotated[int, typer.Option(help="Events of a stream.")] = 36,
    gap_s: Annotated[float, typer.Option(help="Time between events (s).")] = 0.02,
    profile: Annotated[str, typer.Option(help="File for a profile of the router.")] = "",
) -> None:
    """Measure a router at rest, under plain requests and under streams."""
    with open_measured_router(
        engines=engines, events=events, gap_s=gap_s, profile=profile
    ) as deployment:
        pid = deployment.processes[ROUTER].pid
        started = read_usage(pid)
        print(f"start: {started.cpu_s:.2f} s of processor time, {started.resident / 1e6:.1f} MB")
        time.sleep(IDLE_S)
        idle_share = (read_usage(pid).cpu_s - started.cpu_s) / IDLE_S
        print(f"at rest: {idle_share:.2%} of a core")
        count = callers * requests
        plain = Load(prefix=PLAIN_PREFIX, callers=callers, requests=requests)
        cost = measure(deployment, plain, idle_share) / count * MICROSECONDS
        print(f"plain request: {cost:.0f} us")
        stream = Load(
            prefix=STREAM_PREFIX, callers=callers, requests=requests, parts="aa:119,bb:580"
        )
        cost = measure(deployment, stream, idle_share) / count * MICROSECONDS
        print(f"stream of {events} events: {cost:.0f} us, {cost / events:.0f} us an event")
        print(f"memory: {read_usage(pid).resident / 1e6:.1f} MB")
        if profile:
            deployment.stop(ROUTER)


if __name__ == "__main__":
    typer.run(main)
