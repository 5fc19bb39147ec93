"""Gauges whose values are read at metrics collection."""

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Gauge:
    """A metric whose value is read by a callback at each collection."""

    name: str
    unit: str
    description: str
    read: Callable[[], float]
