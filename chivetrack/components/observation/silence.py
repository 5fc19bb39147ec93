"""Detection of silent endpoints: first bytes are overdue and nothing has arrived since."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from itertools import count

# Wait limit for the first byte of an answer: a multiple of the expected time and the tail factor,
# and its minimum in seconds. After the limit the endpoint may be suspected.
WAIT_LIMIT_FACTOR = 4.0
MIN_WAIT_LIMIT_S = 0.3

# Number of requests that must be overdue at the same time. A single one may just take long, and
# if a router sends less than one request per second, no other answer shows that the endpoint
# works. With a limit of one, routers held back healthy endpoints of a plain service every few
# seconds under normal load.
MIN_OVERDUE = 2

# If more than this share of a service's endpoints is silent, the service is assumed to be
# overloaded. No endpoint is excluded then, since the others would have to take its load.
MAX_SILENT_SHARE = 0.25


def find_wait_limit(expected_ms: float, tail_factor: float) -> float:
    """Return the time in seconds after which the first byte of an answer is overdue.

    ``tail_factor`` is the factor by which slow answers exceed their expected time. Under three
    times the load it grows within a few answers, and the wait limit grows with it.
    """
    return max(MIN_WAIT_LIMIT_S, WAIT_LIMIT_FACTOR * tail_factor * expected_ms / 1000)


def exclude_silent(endpoint_ids: Sequence[str], silent: Collection[str]) -> list[str]:
    """Return the endpoints that are not silent, or all if too many are silent."""
    remaining = [endpoint_id for endpoint_id in endpoint_ids if endpoint_id not in silent]
    excluded = len(endpoint_ids) - len(remaining)
    return (
        remaining
        if excluded <= max(1, MAX_SILENT_SHARE * len(endpoint_ids))
        else list(endpoint_ids)
    )


@dataclass(slots=True)
class _Endpoint:
    last_seen_at: float = float("-inf")
    # Start time and time from which the first byte is overdue, by the number of the attempt.
    waiting: dict[int, tuple[float, float]] = field(default_factory=dict)


class SilenceTable:
    """Detects endpoints with overdue answers that have sent no bytes at all since.

    An endpoint may stop without resetting its connections: it loses power, hangs or is
    disconnected. Requests there fail only at their callers' deadlines, and until then the
    endpoint gets its share of the traffic. While other requests of this router receive bytes
    from the endpoint, an overdue request just takes long and the endpoint is not silent.
    """

    def __init__(self) -> None:
        """Initialize the table without attempts."""
        self._endpoints: dict[str, _Endpoint] = {}
        self._numbers = count()

    def start(self, endpoint_id: str, *, now: float, wait_limit_s: float) -> int:
        """Record that a request is sent; return the number of the attempt."""
        number = next(self._numbers)
        endpoint = self._endpoints.setdefault(endpoint_id, _Endpoint())
        endpoint.waiting[number] = (now, now + wait_limit_s)
        return number

    def record_bytes(self, endpoint_id: str, number: int, *, now: float) -> None:
        """Record bytes from an endpoint, which end the wait for the first byte of the attempt."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.last_seen_at = now
            endpoint.waiting.pop(number, None)

    def finish(self, endpoint_id: str, number: int) -> None:
        """Record that an attempt has ended."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.waiting.pop(number, None)

    def is_silent(self, endpoint_id: str, now: float) -> bool:
        """Return whether first bytes are overdue and no bytes arrived since their requests."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return False
        overdue = sum(
            now > due_at and endpoint.last_seen_at <= started_at
            for started_at, due_at in endpoint.waiting.values()
        )
        return overdue >= MIN_OVERDUE

    def forget(self, endpoint_id: str) -> None:
        """Remove the attempts of an endpoint that has restarted or left."""
        self._endpoints.pop(endpoint_id, None)
