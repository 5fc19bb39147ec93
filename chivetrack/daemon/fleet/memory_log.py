"""What a process shows of the memory that its connections hold."""

from collections.abc import Iterator

from chivetrack.components.memory.budget import MemoryBudget
from chivetrack.daemon.fleet.gauges import Gauge
from chivetrack.helpers.events import EventLog


class MemoryLog:
    """Logs what had to give way since the line before."""

    def __init__(self, *, budget: MemoryBudget, events: EventLog) -> None:
        """Store the account and the event log."""
        self._budget = budget
        self._events = events
        self._logged = (0, 0)

    def write(self, _now: float) -> None:
        """Write a line if a connection gave way or was refused."""
        counts = (self._budget.gave_way_count, self._budget.refused_count)
        if counts == self._logged:
            return
        gave_way, refused = (new - old for new, old in zip(counts, self._logged, strict=True))
        self._logged = counts
        self._events.write(
            "connections_gave_way",
            gave_way=gave_way,
            refused=refused,
            held_bytes=self._budget.held,
            limit_bytes=self._budget.limit,
            connections=self._budget.connection_count,
        )


def list_memory_gauges(budget: MemoryBudget) -> Iterator[Gauge]:
    """Return the gauges of the account."""
    yield Gauge(
        name="chivetrack.instance.connections",
        unit="{connection}",
        description="Connections that others have opened to this process's HTTP listeners.",
        read=lambda: budget.connection_count,
    )
    yield Gauge(
        name="chivetrack.instance.connection_memory",
        unit="By",
        description="Memory that is reserved for these connections.",
        read=lambda: budget.held,
    )
    yield Gauge(
        name="chivetrack.instance.connection_memory_limit",
        unit="By",
        description="Most memory that they may hold together.",
        read=lambda: budget.limit,
    )
    yield Gauge(
        name="chivetrack.instance.connections_gave_way",
        unit="{connection}",
        description="Connections that had to give way to others for memory or descriptors.",
        read=lambda: budget.gave_way_count,
    )
    yield Gauge(
        name="chivetrack.instance.connections_without_room",
        unit="{connection}",
        description="Connections and requests that were refused for memory or descriptors.",
        read=lambda: budget.refused_count,
    )
