"""Endpoints that have gone silent while requests wait there."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from itertools import count

# How many times the expected time and the usual spread of it a first byte may take before its
# endpoint is doubted, and the least of it, in seconds.
WAIT_LIMIT_FACTOR = 4.0
MIN_WAIT_LIMIT_S = 0.3

# So many requests have to be overdue at once: one alone may be a request that takes long, and
# where a router sends an endpoint less than one a second nothing else shows that it lives. With
# one, routers held back healthy endpoints of a plain service every few seconds of a calm day.
MIN_OVERDUE = 2

# While more than this share of a service's endpoints owe answers, the service is overloaded
# and not its endpoints gone: left out, they would leave their load to the rest.
MAX_SILENT_SHARE = 0.25


def find_wait_limit(expected_ms: float, tail_factor: float) -> float:
    """Return for how long a first byte is waited for without doubt, in seconds.

    ``spread`` is the factor by which slow answers usually are over what is expected. Under
    three times the load it grows within some answers, and with it the patience.
    """
    return max(MIN_WAIT_LIMIT_S, WAIT_LIMIT_FACTOR * tail_factor * expected_ms / 1000)


def exclude_silent(endpoint_ids: Sequence[str], silent: Collection[str]) -> list[str]:
    """Return the endpoints that may be tried: those that aren't silent, or all."""
    left = [one for one in endpoint_ids if one not in silent]
    out = len(endpoint_ids) - len(left)
    return left if out <= max(1, MAX_SILENT_SHARE * len(endpoint_ids)) else list(endpoint_ids)


@dataclass(slots=True)
class _Endpoint:
    last_seen_at: float = float("-inf")
    # Start and the time from which on a first byte is overdue, by the number of the try.
    waiting: dict[int, tuple[float, float]] = field(default_factory=dict)


class SilenceTable:
    """Knows which endpoints owe an answer and have said nothing at all since.

    It answers an endpoint that stops without a reset: it loses power, hangs, or is cut
    off. Nothing fails until the callers' deadlines, and until then it gets its share of the
    traffic. What is doubted is the endpoint and not the request: while other requests of
    this router get bytes from it, one that takes long is only long.
    """

    def __init__(self) -> None:
        """Start with nothing waiting."""
        self._endpoints: dict[str, _Endpoint] = {}
        self._numbers = count()

    def start(self, endpoint_id: str, *, now: float, wait_limit_s: float) -> int:
        """Note that a request goes out; return the number of the try."""
        number = next(self._numbers)
        endpoint = self._endpoints.setdefault(endpoint_id, _Endpoint())
        endpoint.waiting[number] = (now, now + wait_limit_s)
        return number

    def record_bytes(self, endpoint_id: str, number: int, *, now: float) -> None:
        """Note bytes of an endpoint; the try has its first byte."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.last_seen_at = now
            endpoint.waiting.pop(number, None)

    def finish(self, endpoint_id: str, number: int) -> None:
        """Note that a try has ended."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.waiting.pop(number, None)

    def is_silent(self, endpoint_id: str, now: float) -> bool:
        """Return whether first bytes are overdue and nothing was heard since their requests."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return False
        overdue = sum(
            now > due_at and endpoint.last_seen_at <= started_at
            for started_at, due_at in endpoint.waiting.values()
        )
        return overdue >= MIN_OVERDUE

    def forget(self, endpoint_id: str) -> None:
        """Drop what is known of an endpoint: it has started again, or has gone."""
        self._endpoints.pop(endpoint_id, None)
