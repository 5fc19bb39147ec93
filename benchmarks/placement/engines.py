"""Simulated engines with a load count and a limited cache of prompt prefixes."""

from collections import OrderedDict


class FakeEngine:
    """One engine with its number of requests in flight and its LRU cache of prefixes."""

    def __init__(self, *, engine_id: str, cache_tokens: int) -> None:
        """Initialize a running, idle engine with an empty cache of ``cache_tokens`` tokens."""
        self.engine_id = engine_id
        self.incarnation = 1
        self.alive = True
        self.in_flight = 0
        self._cache_tokens = cache_tokens
        self._cached: OrderedDict[str, int] = OrderedDict()
        self._total = 0

    def count_cached(self, key: str) -> int:
        """Return the number of cached tokens of a key's context."""
        return self._cached.get(key, 0)

    def run(self, key: str, prompt_tokens: int, answer_tokens: int) -> tuple[int, list[str]]:
        """Run a request; return the number of reused tokens and the evicted keys."""
        cached = self._cached.pop(key, 0)
        self._cached[key] = prompt_tokens + answer_tokens
        self._total += self._cached[key] - cached
        evicted = []
        while self._total > self._cache_tokens and len(self._cached) > 1:
            evicted_key, tokens = self._cached.popitem(last=False)
            self._total -= tokens
            evicted.append(evicted_key)
        return min(cached, prompt_tokens), evicted

    def fail(self) -> None:
        """Stop the engine; drop its requests and its cache."""
        self.alive = False
        self.in_flight = 0
        self._cached.clear()
        self._total = 0

    def restart(self) -> None:
        """Start the engine again with a new incarnation."""
        self.alive = True
        self.incarnation += 1
