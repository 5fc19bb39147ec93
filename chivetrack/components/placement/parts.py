"""What is believed to be in the caches of model engines."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from chivetrack.components.distribution.messages import PlacedPart
from chivetrack.components.distribution.placements import AGE_DIGITS
from chivetrack.components.traffic.requests import PromptPart

# Engines evict the least recently used parts, and running requests take memory too; an
# estimate that fills the whole capacity would count on parts that are gone.
USABLE_SHARE = 0.7
# A placement is told to the other routers when it is new, and again after this much;
# what all know already would fill the links of replicas.
REPORT_INTERVAL_S = 10.0
# A part that is read in less than 10 ms is not worth a message to all.
MIN_REPORTED_TOKENS = 400
# Among many routers only so large a part is told where all expect it anyway: told by 87
# routers to each other, all placements of a day's first seconds took twice the links of
# the replicas.
MIN_REPORTED_HOME_TOKENS = 2000
MAX_REPORTED_PLACEMENTS = 48


@dataclass(slots=True)
class _Cached:
    tokens: int
    used_at: float
    reported_at: float = float("-inf")


class PartTracker:
    """Remembers which parts were sent where; least recently used ones go first."""

    def __init__(self) -> None:
        """Start with empty caches."""
        self._caches: dict[str, OrderedDict[str, _Cached]] = {}
        self._sums: dict[str, int] = {}
        self._news: OrderedDict[tuple[str, str], None] = OrderedDict()
        self._empty_at: dict[str, float] = {}

    def count_cached(self, endpoint_id: str, parts: Iterable[PromptPart]) -> int:
        """Return how many tokens at the beginning of a prompt need not be read again."""
        cache = self._caches.get(endpoint_id)
        if cache is None:
            return 0
        tokens = 0
        for part in parts:
            if part.part_id not in cache:
                break
            tokens += part.tokens
        return tokens

    def record_sent(
        self,
        endpoint_id: str,
        parts: Iterable[PromptPart],
        *,
        now: float,
        capacity: int,
        min_reported_tokens: int = MIN_REPORTED_TOKENS,
    ) -> tuple[PromptPart, ...]:
        """Note that shared parts were sent to an endpoint by this router.

        The other routers are told if one of them has ``min_reported_tokens`` tokens or more. All are
        told then: a part counts as cached only if those before it are. Returns the parts
        that were not believed to be there before.
        """
        shared = list(parts)
        new = tuple(part for part in shared if self._find(endpoint_id, part.part_id) is None)
        is_told = max((part.tokens for part in shared), default=0) >= min_reported_tokens
        for part in shared:
            cached = self._enter(endpoint_id, part, now, capacity)
            if is_told and now - cached.reported_at >= REPORT_INTERVAL_S:
                cached.reported_at = now
                self._news[(part.part_id, endpoint_id)] = None
        return new

    def withdraw(self, endpoint_id: str, parts: Iterable[PromptPart]) -> None:
        """Drop parts that were sent to an endpoint which failed before it had read them."""
        cache = self._caches.get(endpoint_id, OrderedDict())
        for part in parts:
            cached = cache.pop(part.part_id, None)
            self._news.pop((part.part_id, endpoint_id), None)
            if cached is not None:
                self._sums[endpoint_id] -= cached.tokens

    def record_unshared(
        self, endpoint_id: str, part: PromptPart, *, now: float, capacity: int
    ) -> None:
        """Note a part that only the request or its session has; no other router asks for it."""
        self._enter(endpoint_id, part, now, capacity)

    def _enter(self, endpoint_id: str, part: PromptPart, now: float, capacity: int) -> _Cached:
        cache = self._caches.setdefault(endpoint_id, OrderedDict())
        cached = cache.pop(part.part_id, None)
        total = self._sums.get(endpoint_id, 0) - (cached.tokens if cached else 0) + part.tokens
        cached = cached or _Cached(part.tokens, now)
        cached.tokens = part.tokens
        cached.used_at = max(cached.used_at, now)
        cache[part.part_id] = cached
        while total > capacity * USABLE_SHARE and len(cache) > 1:
            _, old = cache.popitem(last=False)
            total -= old.tokens
        self._sums[endpoint_id] = total
        return cached

    def handle_placements(self, news: Iterable[PlacedPart], *, now: float, capacity: int) -> None:
        """Note what other routers have sent."""
        for placed in news:
            part_id, _, tokens = placed.part.rpartition(":")
            at = now - placed.age_s
            if at < self._empty_at.get(placed.endpoint_id, at):
                # Sent to the lifetime before; what it had cached is gone.
                continue
            known = self._find(placed.endpoint_id, part_id)
            if known is not None and known.used_at >= at:
                known.reported_at = max(known.reported_at, at)
                continue
            part = PromptPart(part_id, int(tokens))
            cached = self._enter(placed.endpoint_id, part, at, capacity)
            cached.reported_at = max(cached.reported_at, at)

    def pop_placements(self, now: float) -> Iterator[PlacedPart]:
        """Yield what the other routers have not been told."""
        for key in list(self._news)[:MAX_REPORTED_PLACEMENTS]:
            part_id, endpoint_id = key
            cached = self._find(endpoint_id, part_id)
            del self._news[key]
            if cached is not None:
                name = f"{part_id}:{cached.tokens}"
                age_s = round(max(0.0, now - cached.used_at), AGE_DIGITS)
                yield PlacedPart(part=name, endpoint_id=endpoint_id, age_s=age_s)

    def _find(self, endpoint_id: str, part_id: str) -> _Cached | None:
        cache = self._caches.get(endpoint_id)
        return None if cache is None else cache.get(part_id)

    def forget(self, endpoint_id: str, *, emptied_at: float | None = None) -> None:
        """Drop what an endpoint had cached; its memory is empty after a restart.

        ``emptied_at`` is when it was seen to have restarted: what other routers tell of
        earlier placements, for seconds still, no longer holds.
        """
        if emptied_at is not None:
            self._empty_at[endpoint_id] = emptied_at
        self._caches.pop(endpoint_id, None)
        self._sums.pop(endpoint_id, None)
