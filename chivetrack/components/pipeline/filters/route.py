"""Chooses the endpoint and counts the request as in flight at it."""

from typing import Protocol

from chivetrack.components.pipeline import faults
from chivetrack.components.pipeline.chain import FILTERS, PROCEED, Refused, Step
from chivetrack.components.pipeline.models import Attempt, Exchange
from chivetrack.components.resources.models import Locality
from chivetrack.components.routing.models import Demand, Placement


class PlacementDecision(Protocol):
    """Chooses an endpoint; see ``routing``."""

    def place(self, demand: Demand, *, now: float) -> Placement:
        """Return the endpoint for a demand."""
        ...


class LoadCount(Protocol):
    """Counts requests in flight; see ``load``."""

    def start(self, endpoint_id: str, now: float) -> None:
        """Increment the endpoint's count."""
        ...

    def finish(self, endpoint_id: str, now: float) -> None:
        """Decrement the endpoint's count."""
        ...


@FILTERS.register("route")
class RouteFilter:
    """Places the request; entered again for every retry."""

    def __init__(
        self, *, placer: PlacementDecision, load: LoadCount, region: str, zone: str
    ) -> None:
        """Initialize with the placer, the counts and this router's region and zone."""
        self._placer = placer
        self._load = load
        self._region = region
        self._zone = zone
        self._in_flight: dict[str, str] = {}

    def enter(self, exchange: Exchange, *, now: float) -> Step:
        """Place the request, or refuse it if no endpoint is available."""
        placement = self._placer.place(self._make_demand(exchange), now=now)
        exchange.placement = placement
        endpoint = placement.endpoint
        if endpoint is None:
            return Refused(faults.no_endpoint(placement.reason, placement.retry_after_s))
        self._load.start(endpoint.endpoint_id, now)
        self._in_flight[exchange.request_id] = endpoint.endpoint_id
        attempt = Attempt(
            number=len(exchange.attempts) + 1,
            endpoint_id=endpoint.endpoint_id,
            address=endpoint.address,
            started_at=now,
        )
        exchange.attempts.append(attempt)
        return PROCEED

    def _make_demand(self, exchange: Exchange) -> Demand:
        assert exchange.workspace is not None
        assert exchange.policy is not None
        locality = exchange.policy.locality
        return Demand(
            affinity=exchange.affinity,
            workspace=exchange.workspace.name,
            service=exchange.service,
            model=exchange.model,
            region="" if locality is Locality.ANY else self._region,
            zone=self._zone if locality is Locality.ZONE else "",
            load_bound=exchange.policy.load_bound,
            excluded=frozenset(exchange.excluded),
        )

    def leave(self, exchange: Exchange, *, now: float) -> None:
        """Count the request as no longer in flight."""
        endpoint_id = self._in_flight.pop(exchange.request_id, None)
        if endpoint_id is not None:
            self._load.finish(endpoint_id, now)
