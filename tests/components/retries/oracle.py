"""The bound on the retries of a whole fleet, judged from what endpoints and callers saw."""

from bisect import bisect_right
from collections.abc import Sequence

RATIO = 0.2
SLACK = 58.0
WINDOW_S = 10.0


def find_excess(requests: Sequence[float], retries: Sequence[float]) -> list[str]:
    """Return each window that holds more retries than the bound allows.

    ``requests`` and ``retries`` are sorted times (s). The requests are those of the window, of
    the one before it or of the one half a window before it, whichever has most.
    """

    def count(times: Sequence[float], begin: float) -> int:
        return bisect_right(times, begin + WINDOW_S) - bisect_right(times, begin)

    excess = []
    for first in retries:
        begin = first - 1e-9
        found = count(retries, begin)
        most = max(count(requests, begin - before) for before in (0, WINDOW_S / 2, WINDOW_S))
        if found > RATIO * most + SLACK:
            excess.append(f"{found} retries from {begin:.2f} s for {most} requests")
    return excess
