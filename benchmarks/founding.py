"""Bootstraps deployments whose replicas are killed at random times right after their start.

``python -m benchmarks.founding --patterns 200 --seed 1`` prints each pattern of kills after
which not every replica acknowledged a configuration, and the times that the others took.
"""

import argparse
import random
import statistics
import time
from dataclasses import dataclass

from tests.system.deployment import Deployment, make_config, open_deployment

REPLICAS = 5
TOLERATED_LOSSES = 2
# Seconds after the first start in which replicas are killed. The processes run after half a
# second and complete the bootstrap soon after.
KILL_WINDOW_S = 1.5
BOOTSTRAP_TIMEOUT_S = 20.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Kill:
    """A kill of a replica ``at_s`` seconds after the first start, followed by its restart."""

    at_s: float
    name: str
    loses_disk: bool


def draw_kills(rng: random.Random, *, replicas: int = REPLICAS) -> list[Kill]:
    """Return random kills of one, two or all replicas, of which at most one loses its disk."""
    names = [f"p{number}" for number in range(1, replicas + 1)]
    remaining_losses = rng.choice((0, 0, 1))
    kills = []
    for _ in range(rng.choice((1, 1, 2, 3))):
        at_s = rng.uniform(0.0, KILL_WINDOW_S)
        for name in rng.sample(names, rng.choice((1, 2, replicas))):
            loses_disk = remaining_losses > 0 and rng.random() < 0.5
            remaining_losses -= loses_disk
            kills.append(Kill(at_s=at_s, name=name, loses_disk=loses_disk))
    return sorted(kills, key=lambda kill: kill.at_s)


def run_scenario(seed: int) -> float | None:
    """Bootstrap a deployment under the kills of a seed.

    Returns the seconds from the last kill until every replica acknowledges a configuration, or
    ``None`` if that takes longer than ``BOOTSTRAP_TIMEOUT_S``. The same configuration is sent
    again until all do, so a replica must acknowledge it repeatedly.
    """
    kills = draw_kills(random.Random(seed))
    with open_deployment(replicas=REPLICAS, routers=0) as deployment:
        began = time.monotonic()
        deployment.start_all()
        for kill in kills:
            time.sleep(max(0.0, began + kill.at_s - time.monotonic()))
            _execute(deployment, kill)
        return _wait_bootstrapped(deployment, time.monotonic())


def _execute(deployment: Deployment, kill: Kill) -> None:
    deployment.is_first_start = False
    deployment.kill(kill.name)
    if kill.loses_disk and (deployment.folder / f"{kill.name}-data").exists():
        deployment.wipe(kill.name)
    deployment.start(kill.name)


def _wait_bootstrapped(deployment: Deployment, since: float) -> float | None:
    while time.monotonic() - since < BOOTSTRAP_TIMEOUT_S:
        answers = [
            deployment.control("PUT", name, "/config", make_config(3))[0]
            for name in deployment.list_names("p")
        ]
        if answers.count(200) == REPLICAS:
            return time.monotonic() - since
        time.sleep(0.05)
    return None


def main() -> None:
    """Run the scenarios one after the other and print their results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--patterns", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    seeds = range(arguments.seed, arguments.seed + arguments.patterns)
    times = {seed: run_scenario(seed) for seed in seeds}
    for seed, elapsed_s in times.items():
        if elapsed_s is None:
            print(f"seed {seed}: not founded, {draw_kills(random.Random(seed))}")
    founded = [elapsed_s for elapsed_s in times.values() if elapsed_s is not None]
    print(f"{len(founded)} of {len(times)} founded")
    if founded:
        print(
            f"seconds after the last kill: p50 {statistics.median(founded):.2f}, "
            f"most {max(founded):.2f}"
        )


if __name__ == "__main__":
    main()
