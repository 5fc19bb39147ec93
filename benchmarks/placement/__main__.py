"""Run the placement experiment: ``python -m benchmarks.placement``."""

from random import Random
from typing import Annotated

import typer

import benchmarks.placement.slots  # noqa: F401 (fills the registry of policies)
from benchmarks.placement.models import Fleet, Result
from benchmarks.placement.policies import POLICIES
from benchmarks.placement.report import print_plot, print_table
from benchmarks.placement.timing import measure_decisions
from benchmarks.placement.workloads import WORKLOADS, Workload, generate_requests
from benchmarks.placement.world import RunOptions, run_policy

_ALL = "all"
_FLEETS = {"today": (9, 6), "region": (54, 571)}
_SIZES = (6, 571)


def _make_fleet(name: str, workload: Workload) -> Fleet:
    routers, engines = _FLEETS[name]
    cache = workload.cache_keys * (workload.prompt_tokens + 6 * workload.growth_tokens)
    return Fleet(name=name, routers=routers, engines=engines, cache_tokens=cache)


def _run(workload: Workload, names: list[str], options: RunOptions) -> list[Result]:
    random = Random(options.seed)
    requests = list(generate_requests(workload, options.fleet, options.seconds, random))
    return [run_policy(options, POLICIES[name], requests) for name in names]


def main(
    workload: Annotated[str, typer.Option(help="A workload, or all.")] = _ALL,
    policy: Annotated[list[str] | None, typer.Option(help="Policies; default all.")] = None,
    fleet: Annotated[str, typer.Option(help="today (9 x 6) or region (54 x 571).")] = "today",
    lag: Annotated[
        float, typer.Option(help="Maximum delay of engines' load reports in seconds.")
    ] = 1.0,
    seconds: Annotated[float, typer.Option(help="Length of a run.")] = 1440.0,
    seed: Annotated[int, typer.Option()] = 1,
    churn: Annotated[
        bool | None, typer.Option(help="Run only with or only without churn; default both.")
    ] = None,
    plot: Annotated[bool, typer.Option()] = True,
) -> None:
    """Run the policies on the workloads and print their results."""
    names = policy or list(POLICIES)
    for name in list(WORKLOADS) if workload == _ALL else [workload]:
        for churns in (False, True) if churn is None else (churn,):
            work = WORKLOADS[name]
            options = RunOptions(
                fleet=_make_fleet(fleet, work), seconds=seconds, lag_s=lag, churn=churns, seed=seed
            )
            title = f"{name}, {fleet}, lag {lag:g} s, {'churn' if churns else 'steady'}"
            results = _run(work, names, options)
            print_table(title, results)
            if plot:
                print_plot(title, results)
    for size in _SIZES:
        p50, p99 = measure_decisions(size, seed)
        print(f"decision with {size} endpoints: p50 {p50:.0f} us, p99 {p99:.0f} us")


if __name__ == "__main__":
    typer.run(main)
