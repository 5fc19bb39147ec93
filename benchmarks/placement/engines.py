"""Fake engines: counts in flight and a limited cache of prompt prefixes."""

from collections import OrderedDict


class FakeEngine:
    """One engine: which prefixes it holds, least recently used first, and its load."""

    def __init__(self, *, engine_id: str, cache_tokens: int) -> None:
        """Start alive, idle and with an empty cache."""
        self.engine_id = engine_id
        self.incarnation = 1
        self.alive = True
        self.in_flight = 0
        self._cache_tokens = cache_tokens
        self._cached: OrderedDict[str, int] = OrderedDict()
        self._total = 0

    def count_cached(self, key: str) -> int:
        """Return how many tokens of a key's context are cached."""
        return self._cached.get(key, 0)

    def run(self, key: str, prompt_tokens: int, answer_tokens: int) -> tuple[int, list[str]]:
        """Take a request; return the tokens reused and the keys evicted."""
        held = self._cached.pop(key, 0)
        self._cached[key] = prompt_tokens + answer_tokens
        self._total += self._cached[key] - held
        evicted = []
        while self._total > self._cache_tokens and len(self._cached) > 1:
            old, size = self._cached.popitem(last=False)
            self._total -= size
            evicted.append(old)
        return min(held, prompt_tokens), evicted

    def fail(self) -> None:
        """Lose all requests and the cache."""
        self.alive = False
        self.in_flight = 0
        self._cached.clear()
        self._total = 0

    def restart(self) -> None:
        """Come back under a new incarnation."""
        self.alive = True
        self.incarnation += 1
