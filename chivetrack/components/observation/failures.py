"""Which share of its tries each endpoint fails, learned from all routers' outcomes."""

from chivetrack.components.observation.decaying import DecayingMean

# Outcomes are believed for about so long, in seconds: failures of a share of requests come
# in spells of some seconds, and an endpoint that is avoided is seldom asked.
HALF_LIFE_S = 3.0
# So many tries without a failure stand beside an endpoint's own: one that is not known yet
# is tried, and a single failure proves little.
PRIOR_ATTEMPTS = 12.0


class FailureTracker:
    """Tells which share of its tries an endpoint fails.

    It answers endpoints that fail a part of their requests while their status check is
    good: too few for a circuit breaker, and what must not run twice is lost with each.
    What fails everywhere, since the request itself is at fault, gives all the same record,
    and so decides nothing between them.
    """

    def __init__(self) -> None:
        """Start with a clean record of every endpoint."""
        self._shares: dict[str, DecayingMean] = {}

    def record(self, endpoint_id: str, *, tries: float, failures: float, now: float) -> None:
        """Add outcomes; shares of a try are allowed."""
        share = self._shares.get(endpoint_id)
        if share is None:
            share = DecayingMean(half_life_s=HALF_LIFE_S, prior=PRIOR_ATTEMPTS, at=now)
            self._shares[endpoint_id] = share
        share.add(failures, weight=tries, now=now)

    def find_share(self, endpoint_id: str, now: float) -> float:
        """Return the share of an endpoint's tries that fail, 0 to 1."""
        share = self._shares.get(endpoint_id)
        return 0.0 if share is None else share.find(now)

    def forget(self, endpoint_id: str) -> None:
        """Drop what is known of an endpoint: it has started again, or has gone."""
        self._shares.pop(endpoint_id, None)
