"""Compare placement policies on simulated deployments: ``python -m benchmarks.fleet``."""

from concurrent.futures import ProcessPoolExecutor
from typing import Annotated

import typer

from benchmarks.fleet.deployment import Deployment, draw_deployment, make_boards, make_many
from benchmarks.fleet.policies import POLICIES
from benchmarks.fleet.report import HEADING, Figures, average, format_row, measure
from benchmarks.fleet.world import World


def simulate_deployment(deployment: Deployment, policy: str, seed: int) -> Figures:
    """Simulate one deployment under one policy and return its figures."""
    return measure(World(deployment=deployment, policy=POLICIES[policy](), seed=seed).simulate())


def main(
    policy: Annotated[list[str] | None, typer.Option(help="Policies; default all.")] = None,
    drawn: Annotated[int, typer.Option(help="Number of random deployments.")] = 0,
    seeds: Annotated[int, typer.Option(help="Number of seeds of the fixed deployment.")] = 3,
    burst: Annotated[float, typer.Option(help="Load factor in a fifth of a run.")] = 1.0,
    load: Annotated[float, typer.Option(help="Requests per second.")] = 72.0,
    many: Annotated[bool, typer.Option(help="Hundreds of routers instead of nine.")] = False,
    jobs: Annotated[int, typer.Option(help="Processes to use.")] = 3,
) -> None:
    """Print a table with a row for each policy."""
    names = policy or list(POLICIES)
    if drawn:
        cases = [(draw_deployment(seed), seed) for seed in range(1, drawn + 1)]
    elif many:
        cases = [(make_many(seed=seed, burst=burst), seed) for seed in range(1, seeds + 1)]
    else:
        cases = [
            (make_boards(seed=seed, requests_per_s=load, burst=burst), seed)
            for seed in range(1, seeds + 1)
        ]
    print(HEADING)
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        runs = {
            name: [pool.submit(simulate_deployment, case, name, seed) for case, seed in cases]
            for name in names
        }
        for name, futures in runs.items():
            print(format_row(name, average([future.result() for future in futures])), flush=True)


if __name__ == "__main__":
    typer.run(main)
