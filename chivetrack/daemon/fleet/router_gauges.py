"""Gauges of a router."""

from collections.abc import Callable, Iterator

from chivetrack.daemon.fleet.fleet_view import FleetView
from chivetrack.daemon.fleet.gauges import Gauge


def list_router_gauges(
    *, view: FleetView, count_shed: Callable[[], int], count_carried: Callable[[], int]
) -> Iterator[Gauge]:
    """Return the gauges; ``count_shed`` and ``count_carried`` return numbers of connections."""
    yield Gauge(
        name="chivetrack.router.shed_connections",
        unit="{connection}",
        description="Connections of callers that were closed unread while the router was late.",
        read=count_shed,
    )
    yield Gauge(
        name="chivetrack.router.carried_connections",
        unit="{connection}",
        description="Connections to endpoints that this router carries for others.",
        read=count_carried,
    )
    yield Gauge(
        name="chivetrack.router.evacuated_zones",
        unit="{zone}",
        description="Zones whose endpoints get nothing new.",
        read=lambda: len(view.directory.evacuations.list_evacuated()),
    )
    yield Gauge(
        name="chivetrack.router.requests_in_evacuated_zones",
        unit="{request}",
        description="Requests of this router that still run there.",
        read=lambda: view.count_running_in(view.directory.evacuations.list_evacuated()),
    )
