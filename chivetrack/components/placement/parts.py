"""What is believed to be in the caches of model engines."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from chivetrack.components.distribution.messages import PlacedPart
from chivetrack.components.traffic.requests import PromptPart

# Engines evict the least recently used parts, and running requests take memory too; an
# estimate that fills the whole capacity would count on parts that are gone.
USABLE_SHARE = 0.7
# How long a placement is told to the other routers: some rounds of the exchange.
NEWS_FOR_S = 1.5
MAX_NEWS = 64


@dataclass(slots=True)
class _Cached:
    tokens: int
    used_at: float


class PartBook:
    """Remembers which parts were sent where; least recently used ones go first."""

    def __init__(self) -> None:
        """Start with empty caches."""
        self._caches: dict[str, OrderedDict[str, _Cached]] = {}
        self._sums: dict[str, int] = {}
        self._news: OrderedDict[tuple[str, str], float] = OrderedDict()

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

    def note(
        self, endpoint_id: str, parts: Iterable[PromptPart], *, now: float, capacity: int
    ) -> None:
        """Note that shared parts were sent to an endpoint by this router."""
        for part in parts:
            self._enter(endpoint_id, part, now, capacity)
            self._news[(part.part_id, endpoint_id)] = now
            self._news.move_to_end((part.part_id, endpoint_id))
        while len(self._news) > MAX_NEWS:
            self._news.popitem(last=False)

    def note_own(self, endpoint_id: str, part: PromptPart, *, now: float, capacity: int) -> None:
        """Note a part that only the request or its session has; no other router asks for it."""
        self._enter(endpoint_id, part, now, capacity)

    def _enter(self, endpoint_id: str, part: PromptPart, now: float, capacity: int) -> None:
        cache = self._caches.setdefault(endpoint_id, OrderedDict())
        known = cache.pop(part.part_id, None)
        total = self._sums.get(endpoint_id, 0) + part.tokens - (known.tokens if known else 0)
        cache[part.part_id] = _Cached(part.tokens, now)
        while total > capacity * USABLE_SHARE and len(cache) > 1:
            _, old = cache.popitem(last=False)
            total -= old.tokens
        self._sums[endpoint_id] = total

    def take_news(self, news: Iterable[PlacedPart], *, now: float, capacity: int) -> None:
        """Note what other routers have sent."""
        for placed in news:
            part_id, _, tokens = placed.part.rpartition(":")
            cached = self._find(placed.endpoint_id, part_id)
            if cached is not None and cached.used_at >= now - placed.age_s:
                continue
            part = PromptPart(part_id, int(tokens))
            self._enter(placed.endpoint_id, part, now - placed.age_s, capacity)

    def list_news(self, now: float) -> Iterator[PlacedPart]:
        """Yield what this router has sent lately."""
        for (part_id, endpoint_id), at in self._news.items():
            cached = self._find(endpoint_id, part_id)
            if cached is not None and now - at <= NEWS_FOR_S:
                name = f"{part_id}:{cached.tokens}"
                yield PlacedPart(part=name, endpoint_id=endpoint_id, age_s=round(now - at, 3))

    def _find(self, endpoint_id: str, part_id: str) -> _Cached | None:
        cache = self._caches.get(endpoint_id)
        return None if cache is None else cache.get(part_id)

    def forget(self, endpoint_id: str) -> None:
        """Drop what an endpoint had cached; its memory is empty after a restart."""
        self._caches.pop(endpoint_id, None)
        self._sums.pop(endpoint_id, None)
