"""How many requests a second reach one cold endpoint, by the way in which they are limited.

``python -m benchmarks.slow_start`` prints for fleets of several sizes the most in any second
and the mean, of an endpoint that bears 10 a second and is not to get more than 20. Routers
hear late, and at different times, how many they are; each wants the endpoint at random.
"""

import argparse
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from chivetrack.components.slow_start.permits import FleetShare, PermitBook
from chivetrack.helpers.registry import Registry

PER_S = 10.0
COLD_S = 3.0
REPLICAS = 5
ROUTERS = (9, 62, 200, 400)
# What all routers together would send, as in a burst on an idle zone.
WANTED_PER_S = (12.0, 60.0, 300.0)
# A share that a router does not use within this time is lost.
SHARE_VALID_S = 0.5

Allow = Callable[[int, float], bool]


@dataclass(frozen=True, slots=True, kw_only=True)
class SendAttempt:
    """A router has a request that it would send to the cold endpoint."""

    at: float
    router: int


LIMITERS: Registry[Callable[[int, random.Random], Allow]] = Registry(name="way")


@LIMITERS.register("unlimited")
def allow_all(routers: int, rng: random.Random) -> Allow:
    """Nothing but the usual weights."""
    return lambda router, now: True


@LIMITERS.register("share")
def allow_share(routers: int, rng: random.Random) -> Allow:
    """Each router alone: its share of the rate, from a moment of its own on."""
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
    ledger: PermitBook = field(default_factory=lambda: PermitBook(started_at=-9.0))
    share: FleetShare = field(default_factory=FleetShare)


@LIMITERS.register("permits")
def allow_permits(routers: int, rng: random.Random) -> Allow:
    """The replica that a router is close to grants single requests."""
    replicas = [_Replica() for _ in range(REPLICAS)]
    assigned = [rng.randrange(REPLICAS) for _ in range(routers)]
    for number, replica in enumerate(replicas):
        # The number of the others' routers is as old as the last exchange, or lost since.
        others = sum(1 for one in assigned if one != number) + rng.choice((-1, 0, 0, 1))
        replica.share.note(assigned.count(number) + others, now=-rng.random())
    wait_until = [0.0] * routers

    def allow(router: int, now: float) -> bool:
        if now < wait_until[router]:
            return False
        replica = replicas[assigned[router]]
        share = replica.share.find(assigned.count(assigned[router]), now=now)
        wait_s = replica.ledger.ask("e", per_s=PER_S, share=share, now=now)
        wait_until[router] = now + wait_s
        return wait_s == 0

    return allow


def generate_attempts(
    routers: int, wanted_per_s: float, rng: random.Random
) -> Iterator[SendAttempt]:
    """Yield requests at random times of the cold span."""
    now = rng.expovariate(wanted_per_s)
    while now < COLD_S:
        yield SendAttempt(at=now, router=rng.randrange(routers))
        now += rng.expovariate(wanted_per_s)


def simulate(way: str, routers: int, wanted_per_s: float, seed: int) -> list[float]:
    """Return when requests went to the endpoint."""
    rng = random.Random(seed)
    allow = LIMITERS[way](routers, rng)
    attempts = generate_attempts(routers, wanted_per_s, rng)
    return [attempt.at for attempt in attempts if allow(attempt.router, attempt.at)]


def find_peak_count(times: list[float]) -> int:
    """Return the most in any second."""
    return max((sum(1 for one in times if at <= one < at + 1) for at in times), default=0)


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
