"""Choice of the endpoint for a request, with an explanation."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice
from random import Random

from chivetrack.components.endpoints.models import EndpointState
from chivetrack.components.load.tracker import LoadTracker
from chivetrack.components.routing.bounds import LoadBound, get_slow_start
from chivetrack.components.routing.const import (
    COLD_HEADROOM,
    MAX_CANDIDATES,
    RETRY_WHEN_NONE_FITS_S,
)
from chivetrack.components.routing.hints import CacheHints
from chivetrack.components.routing.models import Candidate, Demand, EndpointView, Placement
from chivetrack.components.routing.order import hash_affinity
from chivetrack.components.routing.pool import Pool, PoolCache, Tier

_KEY_BYTES = 8


@dataclass(frozen=True, slots=True)
class LoadSample:
    """Load and limit of one endpoint, as known to this router.

    Both are numbers of requests.
    """

    endpoint: EndpointState
    load: float
    limit: float


class Placer:
    """Places the requests of one router on endpoints.

    The first endpoint below its bound is chosen, in the order of preference of the chat.
    Routers with equal views, loads and hints therefore make the same choice.
    """

    def __init__(
        self,
        *,
        view: EndpointView,
        load: LoadTracker,
        random: Random,
        hints: CacheHints | None = None,
    ) -> None:
        """Initialize the placer for the endpoints of ``view`` and the loads in ``load``."""
        self._pools = PoolCache(view=view)
        self._load = load
        self._random = random
        self._hints = hints if hints is not None else CacheHints()

    def place(self, demand: Demand, *, now: float) -> Placement:
        """Choose an endpoint; the caller then counts the request in the load tracker."""
        self._load.expire(now)
        pool = self._pools.find(demand)
        tier = self._choose_tier(pool, demand)
        if tier is None:
            return _build_refusal(pool, demand)
        key = self._make_key(demand)
        samples = self._iterate_samples(tier, demand, key, now)
        return self._choose(tier, pool, samples, now)

    def sample_endpoints(self, demand: Demand, *, now: float, count: int) -> list[LoadSample]:
        """Return samples of the first ``count`` endpoints in the order of preference.

        Their limits take slow start into account. The list is empty if no endpoint fits.
        """
        self._load.expire(now)
        pool = self._pools.find(demand)
        tier = self._choose_tier(pool, demand)
        if tier is None:
            return []
        samples = islice(self._iterate_samples(tier, demand, self._make_key(demand), now), count)
        return [_lower_limit(sample, now) for sample in samples]

    def _make_key(self, demand: Demand) -> bytes:
        if demand.affinity:
            return hash_affinity(demand.affinity)
        return self._random.randbytes(_KEY_BYTES)

    def _sum_load(self, tier: Tier) -> float:
        estimates = self._load.estimates
        return sum([estimates.get(endpoint_id, 0.0) for endpoint_id in tier.ids])

    def _choose_tier(self, pool: Pool, demand: Demand) -> Tier | None:
        """Return the nearest tier with free capacity, or the least loaded tier."""
        excluded = demand.excluded
        usable = [tier for tier in pool.tiers if not excluded.issuperset(tier.ids)]
        if len(usable) <= 1:
            return usable[0] if usable else None
        shares = [self._sum_load(tier) / tier.capacity for tier in usable]
        for tier, share in zip(usable, shares, strict=True):
            if share < 1.0:
                return tier
        return usable[shares.index(min(shares))]

    def _iterate_samples(
        self, tier: Tier, demand: Demand, key: bytes, now: float
    ) -> Iterator[LoadSample]:
        """Yield samples in the order of preference of the chat, hinted endpoints first."""
        bound = LoadBound(
            multiple=demand.load_bound, total=self._sum_load(tier) + 1.0, capacity=tier.capacity
        )
        hinted = self._find_hinted(tier, demand, key, now)
        for endpoint in hinted:
            yield self._sample(endpoint, bound, 1.0)
        headroom = COLD_HEADROOM if self._is_cold(demand, now) else 1.0
        for endpoint in tier.order.iterate(key):
            if endpoint in hinted or endpoint.endpoint_id in demand.excluded:
                continue
            yield self._sample(endpoint, bound, headroom)

    def _sample(self, endpoint: EndpointState, bound: LoadBound, headroom: float) -> LoadSample:
        load = self._load.estimates.get(endpoint.endpoint_id, 0.0)
        return LoadSample(endpoint, load, bound.get_limit(endpoint, headroom=headroom))

    def _is_cold(self, demand: Demand, now: float) -> bool:
        return not demand.affinity or self._hints.is_warm(now)

    def _find_hinted(
        self, tier: Tier, demand: Demand, key: bytes, now: float
    ) -> list[EndpointState]:
        if not demand.affinity:
            return []
        names = [name for name in self._hints.find(key, now) if name not in demand.excluded]
        return [tier.by_id[name] for name in names if name in tier.by_id]

    def _choose(
        self, tier: Tier, pool: Pool, samples: Iterator[LoadSample], now: float
    ) -> Placement:
        examined: list[LoadSample] = []
        for sample in samples:
            examined.append(sample)
            share = get_slow_start(sample.endpoint, now)
            if sample.load + 1.0 <= max(1.0, sample.limit * share):
                return self._build_placement(
                    sample, examined, _explain(pool, tier, _describe_rank(examined)), now
                )
        below_bound = [sample for sample in examined if sample.load + 1.0 <= sample.limit]
        if below_bound:
            reason = "only endpoints in slow start are below their bound"
            return self._build_placement(
                below_bound[0], examined, _explain(pool, tier, reason), now
            )
        least_loaded = min(
            examined, key=lambda sample: sample.load / max(sample.endpoint.capacity, 1)
        )
        reason = f"all {len(examined)} endpoints are at their bound, took the least loaded"
        return self._build_placement(least_loaded, examined, _explain(pool, tier, reason), now)

    def _build_placement(
        self, chosen: LoadSample, examined: list[LoadSample], reason: str, now: float
    ) -> Placement:
        shown = examined[:MAX_CANDIDATES]
        if chosen not in shown:
            shown[-1] = chosen
        candidates = tuple(self._build_candidate(sample, chosen, now) for sample in shown)
        return Placement(endpoint=chosen.endpoint, reason=reason, candidates=candidates)

    def _build_candidate(self, sample: LoadSample, chosen: LoadSample, now: float) -> Candidate:
        endpoint_id = sample.endpoint.endpoint_id
        return Candidate(
            endpoint_id=endpoint_id,
            in_flight=sample.load,
            limit=sample.limit,
            age_s=self._load.get_age(endpoint_id, now),
            verdict=_describe_verdict(sample, chosen),
        )


def _lower_limit(sample: LoadSample, now: float) -> LoadSample:
    share = get_slow_start(sample.endpoint, now)
    return LoadSample(sample.endpoint, sample.load, max(1.0, sample.limit * share))


def _describe_verdict(sample: LoadSample, chosen: LoadSample) -> str:
    if sample is chosen:
        return "chosen"
    return "at its bound" if sample.load + 1.0 > sample.limit else "in slow start"


def _describe_rank(examined: list[LoadSample]) -> str:
    if len(examined) == 1:
        return "first choice"
    return f"choice {len(examined)}, those before are at their bound or in slow start"


def _explain(pool: Pool, tier: Tier, reason: str) -> str:
    if pool.degraded:
        return f"no endpoint is ready, took the least bad: {reason} ({tier.name})"
    return f"{reason} ({tier.name})"


def _build_refusal(pool: Pool, demand: Demand) -> Placement:
    reason = pool.missing or f"all fitting endpoints were tried ({len(demand.excluded)})"
    return Placement(endpoint=None, reason=reason, retry_after_s=RETRY_WHEN_NONE_FITS_S)
