"""Estimated contents of the prompt caches of model engines."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from chivetrack.components.distribution.messages import PlacedPart
from chivetrack.components.distribution.placements import AGE_DIGITS
from chivetrack.components.traffic.requests import PromptPart

# Share of an engine's memory that is assumed to hold cached parts. Engines evict the least
# recently used parts, and running requests take memory too; an estimate that fills the whole
# capacity would include evicted parts.
USABLE_SHARE = 0.7
# A placement (a part sent to an endpoint) is reported to the other routers when it is new, and
# again after this interval. Reports of known placements would fill the links of the replicas.
REPORT_INTERVAL_S = 10.0
# Smaller parts are not reported: an engine reads them in less than 10 ms.
MIN_REPORTED_TOKENS = 400
# With many routers, smaller parts are not reported when they are sent to their first home,
# where all routers expect them anyway. Reports of all placements from 87 routers took twice the
# capacity of the replicas' links in the first seconds of a day.
MIN_REPORTED_HOME_TOKENS = 2000
# Most placements in one report.
MAX_REPORTED_PLACEMENTS = 48


@dataclass(slots=True)
class _Cached:
    tokens: int
    used_at: float
    reported_at: float = float("-inf")


class PartTracker:
    """Tracks which prompt parts are cached at which endpoint.

    The least recently used parts are evicted first, as in the engines.
    """

    def __init__(self) -> None:
        """Initialize the tracker with empty caches."""
        self._caches: dict[str, OrderedDict[str, _Cached]] = {}
        self._token_sums: dict[str, int] = {}
        self._unreported: OrderedDict[tuple[str, str], None] = OrderedDict()
        self._emptied_at: dict[str, float] = {}

    def count_cached(self, endpoint_id: str, parts: Iterable[PromptPart]) -> int:
        """Return the number of tokens at the start of a prompt that an endpoint has cached."""
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
        """Record the shared parts of a prompt that this router sent to an endpoint.

        If any part has ``min_reported_tokens`` tokens or more, all parts are reported to the
        other routers, since a part counts as cached only if all parts before it do. Returns
        the parts that were not recorded there before.
        """
        shared = list(parts)
        new = tuple(part for part in shared if self._find(endpoint_id, part.part_id) is None)
        is_reported = max((part.tokens for part in shared), default=0) >= min_reported_tokens
        for part in shared:
            cached = self._insert(endpoint_id, part, now, capacity)
            if is_reported and now - cached.reported_at >= REPORT_INTERVAL_S:
                cached.reported_at = now
                self._unreported[(part.part_id, endpoint_id)] = None
        return new

    def withdraw(self, endpoint_id: str, parts: Iterable[PromptPart]) -> None:
        """Remove parts that were sent to an endpoint which failed before it had read them."""
        cache = self._caches.get(endpoint_id, OrderedDict())
        for part in parts:
            cached = cache.pop(part.part_id, None)
            self._unreported.pop((part.part_id, endpoint_id), None)
            if cached is not None:
                self._token_sums[endpoint_id] -= cached.tokens

    def record_unshared(
        self, endpoint_id: str, part: PromptPart, *, now: float, capacity: int
    ) -> None:
        """Record a part that belongs to a single request or session.

        It is not reported, since no other router sends it.
        """
        self._insert(endpoint_id, part, now, capacity)

    def _insert(self, endpoint_id: str, part: PromptPart, now: float, capacity: int) -> _Cached:
        cache = self._caches.setdefault(endpoint_id, OrderedDict())
        cached = cache.pop(part.part_id, None)
        total = (
            self._token_sums.get(endpoint_id, 0) - (cached.tokens if cached else 0) + part.tokens
        )
        cached = cached or _Cached(part.tokens, now)
        cached.tokens = part.tokens
        cached.used_at = max(cached.used_at, now)
        cache[part.part_id] = cached
        while total > capacity * USABLE_SHARE and len(cache) > 1:
            _, evicted = cache.popitem(last=False)
            total -= evicted.tokens
        self._token_sums[endpoint_id] = total
        return cached

    def handle_placements(
        self, placements: Iterable[PlacedPart], *, now: float, capacity: int
    ) -> None:
        """Record placements that other routers have reported.

        ``capacity`` is the cache size of an engine in tokens.
        """
        for placed in placements:
            part_id, _, tokens = placed.part.rpartition(":")
            placed_at = now - placed.age_s
            if placed_at < self._emptied_at.get(placed.endpoint_id, placed_at):
                # Sent to the previous incarnation of the endpoint, whose cache is lost.
                continue
            known = self._find(placed.endpoint_id, part_id)
            if known is not None and known.used_at >= placed_at:
                known.reported_at = max(known.reported_at, placed_at)
                continue
            part = PromptPart(part_id, int(tokens))
            cached = self._insert(placed.endpoint_id, part, placed_at, capacity)
            cached.reported_at = max(cached.reported_at, placed_at)

    def pop_placements(self, now: float) -> Iterator[PlacedPart]:
        """Yield placements to be reported to the other routers, and clear them.

        At most ``MAX_REPORTED_PLACEMENTS`` are yielded; the rest stays for the next call.
        """
        for key in list(self._unreported)[:MAX_REPORTED_PLACEMENTS]:
            part_id, endpoint_id = key
            cached = self._find(endpoint_id, part_id)
            del self._unreported[key]
            if cached is not None:
                name = f"{part_id}:{cached.tokens}"
                age_s = round(max(0.0, now - cached.used_at), AGE_DIGITS)
                yield PlacedPart(part=name, endpoint_id=endpoint_id, age_s=age_s)

    def _find(self, endpoint_id: str, part_id: str) -> _Cached | None:
        cache = self._caches.get(endpoint_id)
        return None if cache is None else cache.get(part_id)

    def forget(self, endpoint_id: str, *, emptied_at: float | None = None) -> None:
        """Clear the cache of an endpoint, whose memory is empty after a restart.

        ``emptied_at`` is the time at which the restart was noticed. Other routers go on
        reporting earlier placements for seconds; these are ignored.
        """
        if emptied_at is not None:
            self._emptied_at[endpoint_id] = emptied_at
        self._caches.pop(endpoint_id, None)
        self._token_sums.pop(endpoint_id, None)
