"""Sweeps the moments at which a stopping router gets requests, around its decision to exit.

``python -m tests.system.stop_sweep --help`` tells how to run it for longer.
"""

import argparse
import re
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Collection, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import IntEnum
from random import Random
from typing import Any

from chivetrack.daemon.fleet.const import STOP_ACCEPT_S, STOP_MARGIN_S
from tests.system.deployment import (
    CALLER_PORT,
    Deployment,
    Endpoint,
    EndpointHandler,
    make_config,
    open_deployment,
)
from tests.system.fleets import wait_for
from tests.system.stop_probes import FAULTS, Kind, Outcome, Probe, Step, run_steps

ROUTE_TIMEOUT_MS = 15_000
LONG_STOP_S = 8.0
SHORT_STOP_S = 2.0
"""Shorter than ``STOP_ACCEPT_S``."""
BLOCKER_WORK_S = 3.2
BLOCKER_LEAD_S = 0.2
POLL_DELAY_S = 0.01
"""From the end of the last open request until the router notices it."""
SPANS_S = (0.006, 0.03)
PIECE_LEADS_S = (0.01, 0.2)
WORKS_MS = (0, 5, 30)
QUIET_WORKS_MS = (0, 5)
MAX_QUIET_PROBES = 2
"""More requests would keep each other's router open, and none would meet its decision."""
DEADLINES_MS = (300, 800, 1500)
KINDS = tuple(kind for kind in Kind if kind is not Kind.BLOCKER)
OLD_KINDS = (Kind.KEPT, Kind.HALF_HEAD)
_RE_WORK = re.compile(rb"work=(\d+)")


class Way(IntEnum):
    """What ends a router's wait in its stop."""

    NOTHING_OPEN = 1
    LAST_REQUEST_ENDS = 2
    TIME_IS_UP = 3
    SHORT_STOP = 4

    @property
    def stop_within_s(self) -> float:
        """Return the grace time that leads to this way out."""
        return SHORT_STOP_S if self in (Way.TIME_IS_UP, Way.SHORT_STOP) else LONG_STOP_S

    @property
    def is_quiet(self) -> bool:
        """Return whether the router decides to exit when no request is open."""
        return self in (Way.NOTHING_OPEN, Way.LAST_REQUEST_ENDS)

    @property
    def has_blocker(self) -> bool:
        """Return whether a long request holds the router."""
        return self in (Way.LAST_REQUEST_ENDS, Way.TIME_IS_UP)


class SweepEndpoint(Endpoint):
    """Works as long as a request's body says, and keeps the ids of all requests that it ran."""

    def __init__(self, *, host: str) -> None:
        """Listen on ``host``."""
        self.runs: set[str] = set()
        super().__init__(host=host, name="i-1", service="portal")
        self.RequestHandlerClass = _SweepHandler

    def make_heartbeat(self, state: str = "ready") -> dict[str, Any]:
        """Return a heartbeat of an endpoint that is never full."""
        return {**super().make_heartbeat(state), "slots": 256}


class _SweepHandler(EndpointHandler):
    server: SweepEndpoint

    def _serve(self, body: bytes) -> None:
        self.server.runs.add(self.headers.get("X-Chivetrack-Attempt-Id", ""))
        work = _RE_WORK.match(body)
        time.sleep(int(work[1]) / 1000 if work else 0.0)
        self._answer()


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """The outcome of one request; ``trace`` has the router's events around it."""

    way: Way
    probe: Probe
    outcome: Outcome
    trace: str


@dataclass(slots=True, kw_only=True)
class Tally:
    """The outcomes of a sweep, by way out and kind of connection."""

    counts: dict[tuple[Way, Kind], Counter[Outcome]] = field(default_factory=dict)
    faults: list[Result] = field(default_factory=list)
    others: list[Result] = field(default_factory=list)

    def add(self, results: Sequence[Result]) -> None:
        """Count the results of a round."""
        for result in results:
            row = self.counts.setdefault((result.way, result.probe.kind), Counter())
            row[result.outcome] += 1
            if result.outcome in FAULTS:
                self.faults.append(result)
            if result.outcome is Outcome.OTHER:
                self.others.append(result)

    def format(self) -> str:
        """Return a table, and a line for each fault and each answer of another status."""
        columns = [one for one in Outcome if any(row[one] for row in self.counts.values())]
        total: Counter[Outcome] = sum(self.counts.values(), Counter())
        names = "".join(f"{one.value:>{len(one) + 2}}" for one in columns)
        lines = [f"{'way and kind':<14}{names}"]
        for (way, kind), row in sorted(self.counts.items()):
            lines.append(_format_row(f"{way:d} {kind.value}", row, columns))
        lines.append(_format_row("all", total, columns))
        lines += [f"{result.outcome.value}: {result.trace}" for result in self.faults + self.others]
        return "\n".join(lines)


def _format_row(name: str, row: Counter[Outcome], columns: Sequence[Outcome]) -> str:
    return f"{name:<14}" + "".join(f"{row[one]:>{len(one) + 2}}" for one in columns)


class Round:
    """One stop of all routers of a deployment, with requests around each one's exit."""

    def __init__(
        self, *, deployment: Deployment, endpoint: SweepEndpoint, random: Random, label: str
    ) -> None:
        """Use a deployment whose routers serve."""
        self._deployment = deployment
        self._endpoint = endpoint
        self._random = random
        self._label = label
        self._probes: list[tuple[Way, Probe]] = []

    def run(self, ways: dict[str, Way], *, probes: int) -> list[Result]:
        """Stop all routers and send each of them ``probes`` requests; return all outcomes."""
        for name, way in ways.items():
            for number in range(min(probes, MAX_QUIET_PROBES) if way.is_quiet else probes):
                probe = self._make_probe(name, str(number), self._random.choice(KINDS))
                probe.work_ms = self._random.choice(QUIET_WORKS_MS if way.is_quiet else WORKS_MS)
                self._probes.append((way, probe))
        self._prepare_connections()
        blockers = self._send_blockers(ways)
        time.sleep(BLOCKER_LEAD_S)
        processes = {name: self._deployment.begin_stop(name) for name in ways}
        began = {name: self._wait_stopping(name) for name in ways}
        steps = [
            step
            for way, probe in self._probes
            for step in self._plan(
                probe,
                began_at=began[probe.router],
                middle=_find_exit(way, began[probe.router], blockers.get(probe.router)),
            )
        ]
        run_steps(steps, blockers.values(), ends_at=time.monotonic() + 2 * LONG_STOP_S)
        for process in processes.values():
            process.wait(timeout=2 * LONG_STOP_S)
        self._probes += [(ways[name], blocker) for name, blocker in blockers.items()]
        return list(self._compare())

    def _make_probe(self, router: str, number: str, kind: Kind) -> Probe:
        return Probe(
            request_id=f"{self._label}-{router}-{number}",
            router=router,
            address=(self._deployment.get_host(router), CALLER_PORT),
            kind=kind,
            deadline_ms=self._random.choice(DEADLINES_MS),
        )

    def _prepare_connections(self) -> None:
        """Open the connections that are kept from before SIGTERM."""
        for _, probe in self._probes:
            if probe.kind is Kind.KEPT:
                probe.open()
                _serve_once(probe)
            if probe.kind is Kind.HALF_HEAD:
                probe.open()
                probe.send_first()

    def _send_blockers(self, ways: dict[str, Way]) -> dict[str, Probe]:
        blockers = {}
        for name, way in ways.items():
            if not way.has_blocker:
                continue
            blocker = self._make_probe(name, "blocker", Kind.BLOCKER)
            blocker.work_ms = round(BLOCKER_WORK_S * 1000)
            blocker.deadline_ms = ROUTE_TIMEOUT_MS
            blocker.open()
            blocker.send_last()
            blockers[name] = blocker
        return blockers

    def _wait_stopping(self, name: str) -> float:
        def find() -> float:
            events = self._deployment.read_events(name)
            return next((one["up"] for one in events if one.get("event") == "stopping"), 0.0)

        return float(wait_for(find, f"{name} does not stop"))

    def _plan(self, probe: Probe, *, began_at: float, middle: float) -> Iterator[Step]:
        span_s = self._random.choice(SPANS_S)
        whole_at = middle + self._random.uniform(-span_s, span_s)
        first_at = whole_at - self._random.uniform(0.0, self._random.choice(PIECE_LEADS_S))
        if probe.kind not in (*OLD_KINDS, Kind.NEW):
            # Idle connections are closed a second after SIGTERM, and these shall live on.
            open_at = self._random.uniform(min(began_at + 1.05, first_at), first_at)
            yield Step(at=open_at, probe=probe, act=probe.open)
        if probe.kind in (Kind.SPLIT_HEAD, Kind.SPLIT_BODY):
            yield Step(at=first_at, probe=probe, act=probe.send_first)
        yield Step(at=whole_at, probe=probe, act=probe.send_last)

    def _compare(self) -> Iterator[Result]:
        events = {
            name: self._deployment.read_events(name) for name in self._deployment.list_names("r")
        }
        for way, probe in self._probes:
            own = events[probe.router]
            logged = {one["request"] for one in own if "request" in one}
            outcome = probe.find_outcome(runs=self._endpoint.runs, logged=logged)
            yield Result(way=way, probe=probe, outcome=outcome, trace=_trace(way, probe, own))
            probe.close()


def _serve_once(probe: Probe) -> None:
    """Let a request of its own be answered on the connection of a probe."""
    assert probe.connection is not None
    first = Probe(
        request_id=f"{probe.request_id}-first",
        router=probe.router,
        address=probe.address,
        kind=Kind.OPENED,
        connection=probe.connection,
    )
    first.send_last()
    while not first.is_ended:
        first.receive()


def _find_exit(way: Way, began_at: float, blocker: Probe | None) -> float:
    """Return the moment around which a router that stops since ``began_at`` decides to exit."""
    if way is Way.LAST_REQUEST_ENDS:
        assert blocker is not None
        return blocker.sent_at + BLOCKER_WORK_S + POLL_DELAY_S
    return began_at + min(STOP_ACCEPT_S, way.stop_within_s - STOP_MARGIN_S)


def _trace(way: Way, probe: Probe, events: Sequence[dict[str, Any]]) -> str:
    names = ("exit_decided", "stopped")
    shown = [
        f"{one['event']} {(one['up'] - probe.sent_at) * 1000:+.0f} ms"
        for one in events
        if one.get("request") == probe.request_id or one.get("event") in names
    ]
    name = f"way {way:d}, {probe.kind.value}, {probe.request_id}"
    return f"{name}: sent, {', '.join(shown)}; status {probe.read_status()}"


def run_sweep(
    *,
    rounds: int,
    seed: int,
    ways: Collection[Way] = tuple(Way),
    routers: int = 16,
    probes: int = 6,
) -> Tally:
    """Run rounds of stops on new processes and return all outcomes."""
    random = Random(seed)
    tally = Tally()
    for number in range(rounds):
        tally.add(_run_round(random, f"s{seed}-{number}", sorted(ways), routers, probes))
        print(f"round {number}: {len(tally.faults)} faults", file=sys.stderr, flush=True)
    return tally


def _run_round(
    random: Random, label: str, ways: Sequence[Way], routers: int, probes: int
) -> list[Result]:
    with open_deployment(replicas=1, routers=routers) as deployment:
        ways_of = {
            name: ways[number % len(ways)] for number, name in enumerate(deployment.list_names("r"))
        }
        deployment.start("p1")
        for name, way in ways_of.items():
            deployment.stop_within_s = way.stop_within_s
            deployment.start(name)
        with _open_endpoint(deployment) as endpoint:
            config = make_config(3)
            config["routes"][0]["timeoutMs"] = ROUTE_TIMEOUT_MS
            config["limits"] = {"headerTimeoutMs": ROUTE_TIMEOUT_MS}
            deployment.put(config)
            deployment.announce(endpoint)
            for name in ways_of:
                deployment.wait_served(name)
            one = Round(deployment=deployment, endpoint=endpoint, random=random, label=label)
            return one.run(ways_of, probes=probes)


@contextmanager
def _open_endpoint(deployment: Deployment) -> Iterator[SweepEndpoint]:
    endpoint = SweepEndpoint(host=f"{deployment.network}.201")
    try:
        yield endpoint
    finally:
        endpoint.shutdown()
        endpoint.server_close()


@contextmanager
def open_busy_processes(count: int) -> Iterator[None]:
    """Keep ``count`` processes busy until the block ends."""
    command = [sys.executable, "-c", "while True: pass"]
    processes = [subprocess.Popen(command) for _ in range(count)]
    try:
        yield
    finally:
        for process in processes:
            process.kill()
            process.wait()


def main() -> int:
    """Run a sweep from the command line; return 1 if a request got no true answer."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=10, help="stops of all routers")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--routers", type=int, default=16)
    parser.add_argument("--probes", type=int, default=6, help="requests to each router in a round")
    parser.add_argument("--busy", type=int, default=0, help="busy processes beside it")
    parser.add_argument(
        "--ways", type=int, nargs="+", choices=[int(way) for way in Way], default=list(Way)
    )
    options = parser.parse_args()
    with open_busy_processes(options.busy):
        tally = run_sweep(
            rounds=options.rounds,
            seed=options.seed,
            ways=[Way(way) for way in options.ways],
            routers=options.routers,
            probes=options.probes,
        )
    print(tally.format())
    return 1 if tally.faults else 0


if __name__ == "__main__":
    sys.exit(main())
