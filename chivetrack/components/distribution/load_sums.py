"""Sums of the loads that routers report; free of I/O."""

import itertools
from collections.abc import Iterable

from chivetrack.components.distribution.messages import EndpointLoad


def sum_loads(loads: Iterable[tuple[EndpointLoad, ...]]) -> tuple[EndpointLoad, ...]:
    """Return one load for each endpoint: the sum of those that several routers report."""
    sums: dict[str, EndpointLoad] = {}
    for load in itertools.chain.from_iterable(loads):
        known = sums.get(load.endpoint_id)
        sums[load.endpoint_id] = load if known is None else _add_loads(known, load)
    return tuple(sums.values())


def _add_loads(first: EndpointLoad, second: EndpointLoad) -> EndpointLoad:
    return EndpointLoad(
        endpoint_id=first.endpoint_id,
        running=first.running + second.running,
        tokens=first.tokens + second.tokens,
        answered=first.answered + second.answered,
        failed=first.failed + second.failed,
    )
