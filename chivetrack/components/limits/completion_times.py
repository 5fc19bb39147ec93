"""How long the requests of each route take, for a decision that must bear the slow ones."""

from collections.abc import Collection
from typing import Final

FORGETTING_SHARE: Final = 0.02
"""Of the distance to each shorter time that is forgotten, so that single slow answers fade."""


class CompletionTimes:
    """Keeps the longest of the newest times of each route, in seconds.

    Routes of one service may differ in their work by any factor.
    """

    def __init__(self) -> None:
        """Start without knowing any route."""
        self._longest: dict[str, float] = {}

    def record(self, route: str, took_s: float) -> None:
        """Record a complete answer."""
        longest = self._longest.get(route, took_s)
        self._longest[route] = max(took_s, longest - FORGETTING_SHARE * (longest - took_s))

    def find(self, route: str) -> float | None:
        """Return the longest time, ``None`` if no request of the route has ended here."""
        return self._longest.get(route)

    def keep(self, routes: Collection[str]) -> None:
        """Forget all other routes."""
        self._longest = {name: took for name, took in self._longest.items() if name in routes}
