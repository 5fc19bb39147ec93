"""Compares limiters of the requests that reach one cold endpoint.

``python -m benchmarks.slow_start`` prints for fleets of several sizes the highest number of
requests within one second and the mean per second. The endpoint sustains 10 requests per second
and must get at most 20 within any second. Routers learn the number of routers with a delay and
at different times; each tries to send requests at random times.
"""

import argparse
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from chivetrack.components.slow_start.permits import FleetShare, PermitLedger
from chivetrack.helpers.registry import Registry

PER_S = 10.0
COLD_S = 3.0
REPLICAS = 5
ROUTERS = (9, 62, 200, 400)
# Requests per second of all routers together, as in a burst on an idle zone.
WANTED_PER_S = (12.0, 60.0, 300.0)
# A router's share expires if it is not used within this time.
SHARE_VALID_S = 0.5

Allow = Callable[[int, float], bool]


@dataclass(frozen=True, slots=True, kw_only=True)
class SendAttempt:
    """A request that a router would send to the cold endpoint at the time ``at``."""

    at: float
    router: int


LIMITERS: Registry[Callable[[int, random.Random], Allow]] = Registry(name="way")


@LIMITERS.register("unlimited")
def allow_all(routers: int, rng: random.Random) -> Allow:
    """Allow all requests."""
    return lambda router, now: True


@LIMITERS.register("share")
def allow_share(routers: int, rng: random.Random) -> Allow:
    """Limit each router to its share of the rate, from a random start time, without permits."""
    interval = routers / PER_S
    next_at = [rng.uniform(0.0, interval) for _ in range(routers)]

    def allow(router: int, now: float) -> bool:
        while now - next_at[router] > SHARE_VALID_S:
            next_at[router] += interval
        if now < next_at[router]:
            return False
        next_at[router] += interval
        return True

    return allow


@dataclass(slots=True)
class _Replica:
    ledger: PermitLedger = field(default_factory=lambda: PermitLedger(started_at=-9.0))
    share: FleetShare = field(default_factory=FleetShare)


@LIMITERS.register("permits")
def allow_permits(routers: int, rng: random.Random) -> Allow:
    """Limit requests by permits that a router's assigned replica grants one by one."""
    replicas = [_Replica() for _ in range(REPLICAS)]
    assigned = [rng.randrange(REPLICAS) for _ in range(routers)]
    for number, replica in enumerate(replicas):
        # A replica's count of the other replicas' routers is as old as the last exchange and
        # may have changed since, here by at most one.
        others = sum(1 for other in assigned if other != number) + rng.choice((-1, 0, 0, 1))
        replica.share.record(assigned.count(number) + others, now=-rng.random())
    wait_until = [0.0] * routers

    def allow(router: int, now: float) -> bool:
        if now < wait_until[router]:
            return False
        replica = replicas[assigned[router]]
        share = replica.share.compute(assigned.count(assigned[router]), now=now)
        wait_s = replica.ledger.request("e", per_s=PER_S, share=share, now=now)
        wait_until[router] = now + wait_s
        return wait_s == 0

    return allow


def generate_attempts(
    routers: int, wanted_per_s: float, rng: random.Random
) -> Iterator[SendAttempt]:
    """Yield attempts at random times of the cold period of ``COLD_S`` seconds."""
    now = rng.expovariate(wanted_per_s)
    while now < COLD_S:
        yield SendAttempt(at=now, router=rng.randrange(routers))
        now += rng.expovariate(wanted_per_s)


def simulate(way: str, routers: int, wanted_per_s: float, seed: int) -> list[float]:
    """Simulate one cold period; return the times at which requests were sent."""
    rng = random.Random(seed)
    allow = LIMITERS[way](routers, rng)
    attempts = generate_attempts(routers, wanted_per_s, rng)
    return [attempt.at for attempt in attempts if allow(attempt.router, attempt.at)]


def find_peak_count(times: list[float]) -> int:
    """Return the highest number of requests within any second."""
    return max((sum(1 for time in times if at <= time < at + 1) for at in times), default=0)


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    seeds = parser.parse_args().seeds
    print(f"{'way':10} {'routers':>7} {'wanted/s':>8} {'most/s':>6} {'mean/s':>6}")
    for way in LIMITERS:
        for routers in ROUTERS:
            for wanted in WANTED_PER_S:
                runs = [simulate(way, routers, wanted, seed) for seed in range(seeds)]
                most = max(find_peak_count(times) for times in runs)
                mean = sum(len(times) for times in runs) / COLD_S / seeds
                print(f"{way:10} {routers:7} {wanted:8.0f} {most:6} {mean:6.1f}")


if __name__ == "__main__":
    main()
