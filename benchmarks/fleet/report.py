"""Figures of a run and their table."""

from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.fleet.world import Result


@dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """Figures of one run or their mean over several runs.

    ``worth`` is the achieved share of the total worth; ``late``, ``unserved``, ``other_zone``
    and ``over`` are shares of requests; ``first_p50`` and ``first_p99`` are times to the first
    token in ms; ``read_again`` and ``moved`` are tokens per request; ``skew_p99`` is the 99th
    percentile of the highest load of an engine relative to the mean.
    """

    worth: float
    late: float
    unserved: float
    first_p50: float
    first_p99: float
    read_again: float
    moved: float
    other_zone: float
    skew_p99: float
    over: float


def measure(result: Result) -> Figures:
    """Return the figures of one run."""
    total_worth = sum(outcome.kind.worth for outcome in result.outcomes)
    achieved_worth = late = unserved = 0.0
    times = []
    for outcome in result.outcomes:
        if outcome.first_ms is None:
            unserved += 1
            continue
        times.append(outcome.first_ms)
        is_late = outcome.first_ms > outcome.kind.target_ms
        late += is_late
        achieved_worth += outcome.kind.late_worth if is_late else outcome.kind.worth
    count = len(result.outcomes)
    times.sort()
    skews = sorted(result.skews) or [1.0]
    return Figures(
        worth=achieved_worth / total_worth,
        late=late / count,
        unserved=unserved / count,
        first_p50=times[len(times) // 2],
        first_p99=times[len(times) * 99 // 100],
        read_again=result.totals.read_again / count,
        moved=result.totals.moved / count,
        other_zone=result.other_zone / max(1, result.placed),
        over=result.over / max(1, result.placed),
        skew_p99=skews[len(skews) * 99 // 100],
    )


def average(all_figures: Sequence[Figures]) -> Figures:
    """Return the mean of each figure."""
    names = Figures.__dataclass_fields__
    count = len(all_figures)
    return Figures(**{name: sum(getattr(f, name) for f in all_figures) / count for name in names})


def format_row(name: str, figures: Figures) -> str:
    """Return one line of the table."""
    return (
        f"{name:16} {figures.worth:6.3f} {figures.late:6.3f} {figures.unserved:8.4f} "
        f"{figures.first_p50:7.0f} {figures.first_p99:7.0f} {figures.read_again:8.0f} "
        f"{figures.moved:7.0f} {figures.other_zone:6.2f} {figures.skew_p99:6.2f} "
        f"{figures.over:6.3f}"
    )


HEADING = (
    f"{'policy':16} {'worth':>6} {'late':>6} {'unserved':>8} {'p50 ms':>7} {'p99 ms':>7} "
    f"{'again':>8} {'moved':>7} {'zone':>6} {'skew':>6} {'over':>6}"
)
