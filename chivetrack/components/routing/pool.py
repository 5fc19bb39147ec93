"""Pools of the endpoints that fit a demand, cached until the view changes."""

from collections.abc import Sequence
from dataclasses import dataclass

from chivetrack.components.endpoints.models import Availability, EndpointState
from chivetrack.components.routing.const import MAX_POOLS
from chivetrack.components.routing.models import Demand, EndpointView
from chivetrack.components.routing.order import RendezvousOrder

_LEAST_BAD = (Availability.BROKEN, Availability.HELD_BACK)


class Tier:
    """Endpoints of equal preference: one zone, one region, or the rest."""

    def __init__(self, *, name: str, endpoints: Sequence[EndpointState]) -> None:
        """Initialize the tier with an order and an index of its endpoints."""
        self.name = name
        self.endpoints = tuple(endpoints)
        self.ids = tuple(endpoint.endpoint_id for endpoint in endpoints)
        self.by_id = {endpoint.endpoint_id: endpoint for endpoint in endpoints}
        self.capacity = float(sum(max(endpoint.capacity, 1) for endpoint in endpoints))
        self.order = RendezvousOrder(endpoints=endpoints)


@dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """Tiers of fitting endpoints, nearest first.

    ``missing`` describes what did not fit if there is no tier. ``degraded``: no endpoint is
    ready, and the tiers hold the endpoints that are broken or held back.
    """

    tiers: tuple[Tier, ...]
    missing: str = ""
    degraded: bool = False


@dataclass(frozen=True, slots=True)
class _PoolKey:
    service: str
    model: str
    adapter: str
    version: str
    role: str
    region: str
    zone: str


class PoolCache:
    """Caches pools by the requirements of a demand, for one version of the view."""

    def __init__(self, *, view: EndpointView) -> None:
        """Initialize an empty cache that reads endpoints from ``view``."""
        self._view = view
        self._version: int | None = None
        self._pools: dict[_PoolKey, Pool] = {}

    def find(self, demand: Demand) -> Pool:
        """Return the pool for a demand; ``excluded`` is ignored."""
        if self._view.version != self._version or len(self._pools) >= MAX_POOLS:
            self._version = self._view.version
            self._pools.clear()
        key = _PoolKey(
            demand.service,
            demand.model,
            demand.adapter,
            demand.version,
            demand.role,
            demand.region,
            demand.zone,
        )
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = build_pool(self._view.list_endpoints(demand.service), demand)
        return pool


def build_pool(endpoints: Sequence[EndpointState], demand: Demand) -> Pool:
    """Build the pool of the endpoints that fit a demand."""
    fitting = [endpoint for endpoint in endpoints if not find_misfit(endpoint, demand)]
    ready = [e for e in fitting if e.availability is Availability.READY]
    if ready:
        return Pool(tiers=_build_tiers(ready, demand))
    least_bad = [e for e in fitting if e.availability in _LEAST_BAD]
    if least_bad:
        return Pool(tiers=_build_tiers(least_bad, demand), degraded=True)
    return Pool(tiers=(), missing=_describe_missing(endpoints, fitting, demand))


def find_misfit(endpoint: EndpointState, demand: Demand) -> str:
    """Return the name of the first requirement that an endpoint misses, or an empty string."""
    if endpoint.service != demand.service:
        return "service"
    if demand.model and demand.model not in endpoint.models:
        return "model"
    if demand.adapter and demand.adapter not in endpoint.adapters:
        return "adapter"
    if demand.version and demand.version != endpoint.version:
        return "version"
    if demand.role and demand.role != endpoint.role:
        return "role"
    return ""


def _build_tiers(endpoints: list[EndpointState], demand: Demand) -> tuple[Tier, ...]:
    rest = endpoints
    tiers = []
    for name, preferred in (("zone", demand.zone), ("region", demand.region)):
        if not preferred:
            continue
        near = [endpoint for endpoint in rest if getattr(endpoint, name) == preferred]
        if near:
            tiers.append(Tier(name=f"{name} {preferred}", endpoints=near))
            rest = [endpoint for endpoint in rest if getattr(endpoint, name) != preferred]
    if rest:
        tiers.append(Tier(name="anywhere", endpoints=rest))
    return tuple(tiers)


def _describe_missing(
    endpoints: Sequence[EndpointState], fitting: list[EndpointState], demand: Demand
) -> str:
    if not endpoints:
        return f"no endpoint of service {demand.service!r} is known"
    if fitting:
        return f"all {len(fitting)} fitting endpoints are leaving"
    misfits = sorted({find_misfit(endpoint, demand) for endpoint in endpoints})
    return f"none of {len(endpoints)} endpoints has the wanted {', '.join(misfits)}"
