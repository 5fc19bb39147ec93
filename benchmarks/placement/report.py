"""Tables and plots of the results."""

from collections.abc import Sequence

import plotext

from benchmarks.placement.const import PERCENT
from benchmarks.placement.models import Result

HEADER = (
    f"{'policy':<16}{'reuse':>7}{'of oracle':>10}{'p50':>6}{'p99':>6}{'worst':>7}"
    f"{'over':>7}{'mean':>7}{'refused':>8}{'resent':>8}{'sent B/s':>9}{'rcvd B/s':>9}{'msgs/s':>7}"
)


def format_row(result: Result, oracle: Result | None) -> str:
    """Return one line of the table."""
    share = f"{PERCENT * result.reuse / oracle.reuse:.1f}%" if oracle else "-"
    total = max(result.placed + result.refused, 1)
    routers_s = result.routers * max(result.seconds, 1.0)
    return (
        f"{result.policy:<16}{result.reuse:>7.3f}{share:>10}"
        f"{result.get_skew(0.5):>6.2f}{result.get_skew(0.99):>6.2f}{result.get_skew(1.0):>7.2f}"
        f"{PERCENT * result.over_bound:>6.1f}%{result.mean_in_flight:>7.1f}"
        f"{PERCENT * result.refused / total:>7.2f}%{PERCENT * result.resent / total:>7.2f}%"
        f"{result.sent_bytes / routers_s:>9.0f}{result.received_bytes / routers_s:>9.0f}"
        f"{result.messages / routers_s:>7.1f}"
    )


def print_table(title: str, results: Sequence[Result]) -> None:
    """Print the results of one workload."""
    oracle = next((result for result in results if result.policy == "oracle"), None)
    print(f"\n{title}")
    print(HEADER)
    for result in results:
        print(format_row(result, oracle))


def print_plot(title: str, results: Sequence[Result]) -> None:
    """Print a bar chart of reuse and p99 skew."""
    names = [result.policy for result in results]
    reuse = [round(result.reuse, 3) for result in results]
    skew = [round(result.get_skew(0.99), 2) for result in results]
    plotext.simple_multiple_bar(
        names, [reuse, skew], labels=["reuse", "skew p99"], width=80, title=title
    )
    plotext.show()
    plotext.clear_figure()
