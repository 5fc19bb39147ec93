"""Share of failed attempts of each endpoint, from the outcomes at all routers."""

from chivetrack.components.observation.decaying import DecayingMean

# Half-life of outcomes in seconds: an endpoint that fails a share of its requests does so for
# some seconds at a time, and an endpoint with a high share gets few requests that could show
# its recovery.
HALF_LIFE_S = 3.0
# Number of successful attempts that is added to those of each endpoint: an endpoint without
# outcomes gets requests, and a single failure has little weight.
PRIOR_ATTEMPTS = 12.0


class FailureTracker:
    """Tracks the share of failed attempts of each endpoint.

    An endpoint may fail a part of its requests while its status check succeeds. The failures
    are too few for a circuit breaker, and each one loses a request that must not run twice.
    Requests that fail at any endpoint, since the request itself is faulty, raise the share of
    all endpoints alike and don't affect the choice between them.
    """

    def __init__(self) -> None:
        """Initialize the tracker without outcomes."""
        self._shares: dict[str, DecayingMean] = {}

    def record(self, endpoint_id: str, *, tries: float, failures: float, now: float) -> None:
        """Add outcomes of attempts; the numbers may be fractions."""
        share = self._shares.get(endpoint_id)
        if share is None:
            share = DecayingMean(half_life_s=HALF_LIFE_S, prior=PRIOR_ATTEMPTS, at=now)
            self._shares[endpoint_id] = share
        share.add(failures, weight=tries, now=now)

    def find_share(self, endpoint_id: str, now: float) -> float:
        """Return the share of failed attempts of an endpoint, 0 to 1."""
        share = self._shares.get(endpoint_id)
        return 0.0 if share is None else share.find(now)

    def forget(self, endpoint_id: str) -> None:
        """Remove the outcomes of an endpoint that has restarted or left."""
        self._shares.pop(endpoint_id, None)
