"""Which share of its tries each endpoint fails, learned from all routers' outcomes."""

from dataclasses import dataclass

# Outcomes are believed for about so long, in seconds: failures of a share of requests come
# in spells of some seconds, and an endpoint that is avoided is seldom asked.
HALF_LIFE_S = 3.0
# So many tries without a failure stand beside an endpoint's own: one that is not known yet
# is tried, and a single failure proves little.
PRIOR_TRIES = 12.0


@dataclass(slots=True)
class _Counts:
    tries: float = 0.0
    failures: float = 0.0
    at: float = 0.0

    def fade(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_S)
        self.tries *= factor
        self.failures *= factor
        self.at = now


class FailureBook:
    """Tells which share of its tries an endpoint fails.

    It answers endpoints that fail a part of their requests while their status check is
    good: too few for a circuit breaker, and what must not run twice is lost with each.
    What fails everywhere, since the request itself is at fault, gives all the same record,
    and so decides nothing between them.
    """

    def __init__(self) -> None:
        """Start with a clean record of every endpoint."""
        self._counts: dict[str, _Counts] = {}

    def note(self, endpoint_id: str, *, tries: float, failures: float, now: float) -> None:
        """Add outcomes; shares of a try are allowed."""
        counts = self._counts.setdefault(endpoint_id, _Counts(at=now))
        counts.fade(now)
        counts.tries += tries
        counts.failures += failures

    def find_share(self, endpoint_id: str, now: float) -> float:
        """Return the share of an endpoint's tries that fail, 0 to 1."""
        counts = self._counts.get(endpoint_id)
        if counts is None:
            return 0.0
        counts.fade(now)
        return counts.failures / (counts.tries + PRIOR_TRIES)

    def forget(self, endpoint_id: str) -> None:
        """Drop what is known of an endpoint: it has started again, or has gone."""
        self._counts.pop(endpoint_id, None)
