"""The filter chain: each filter lets a request proceed, refuses it or suspends it."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from chivetrack.components.pipeline.const import FILTER_ORDER
from chivetrack.components.pipeline.models import Exchange, RequestEffect
from chivetrack.exceptions import Fault
from chivetrack.helpers.finding import Findings, suggest_name
from chivetrack.helpers.registry import Registry


@dataclass(frozen=True, slots=True)
class Proceed:
    """Continue with the next filter."""


@dataclass(frozen=True, slots=True)
class Refused:
    """End the request with a fault."""

    fault: Fault


@dataclass(frozen=True, slots=True)
class Suspended:
    """Wait until the request is resumed; the effects start what it waits for."""

    effects: tuple[RequestEffect, ...] = ()


Step = Proceed | Refused | Suspended
PROCEED = Proceed()


class Filter(Protocol):
    """One step of the chain."""

    def enter(self, exchange: Exchange, *, now: float) -> Step:
        """Process a request: fill in fields of the exchange and return the next step."""
        ...

    def leave(self, exchange: Exchange, *, now: float) -> None:
        """Release what ``enter`` acquired; called once per ``enter``, in reverse order."""
        ...


class PassingFilter:
    """Base of the filters that acquire nothing."""

    def leave(self, exchange: Exchange, *, now: float) -> None:
        """Do nothing: there is nothing to release."""


FILTERS: Registry[Callable[..., Filter]] = Registry(name="filter")

# For each filter, the filters that fill in the exchange fields that it reads.
_REQUIRED_FILTERS = {
    "classify": ("identify",),
    "deadline": ("classify",),
    "limit": ("identify", "deadline"),
    "claim": ("identify", "deadline"),
    "route": ("classify", "deadline", "limit", "claim"),
    "forward": ("route",),
}


def check_order(order: Sequence[str], findings: Findings, *, place: str) -> None:
    """Report every unknown, missing, duplicate or misplaced filter of an order."""
    for name in order:
        if name not in FILTER_ORDER:
            findings.add(
                place, f"no filter is named {name!r}", hint=suggest_name(name, FILTER_ORDER)
            )
    for name in FILTER_ORDER:
        count = order.count(name)
        if count != 1:
            findings.add(place, f"filter {name!r} must appear once, not {count} times")
    for name, needed in _REQUIRED_FILTERS.items():
        _check_required(order, name, needed, findings, place)


def _check_required(
    order: Sequence[str], name: str, needed: Sequence[str], findings: Findings, place: str
) -> None:
    if name not in order:
        return
    before = list(order)[: list(order).index(name)]
    for other in needed:
        if other in order and other not in before:
            findings.add(place, f"filter {name!r} must come after {other!r}")


class FilterChain:
    """Runs exchanges through the filters in order."""

    def __init__(self, *, filters: Sequence[Filter]) -> None:
        """Initialize with the filters in order; a retry enters the last ones again."""
        self._filters = tuple(filters)

    def advance(self, exchange: Exchange, *, now: float) -> Step:
        """Enter the filters from the exchange's position until one does not proceed."""
        while exchange.position < len(self._filters):
            entered = self._filters[exchange.position]
            exchange.position += 1
            step = entered.enter(exchange, now=now)
            if not isinstance(step, Proceed):
                return step
        return PROCEED

    def unwind(self, exchange: Exchange, *, now: float, to: int = 0) -> None:
        """Leave the entered filters in reverse order, down to position ``to``."""
        while exchange.position > to:
            exchange.position -= 1
            self._filters[exchange.position].leave(exchange, now=now)
