"""Records the outcomes of requests, so that a resend receives the first outcome."""

from collections import OrderedDict
from collections.abc import Iterable

from chivetrack.components.store import const
from chivetrack.helpers.codec import Message


class CompletedRequest(Message, frozen=True, array_like=True):
    """One request with its packed outcome; ``time_ms`` is the store's clock."""

    request_id: str
    fingerprint: bytes
    time_ms: int
    outcome: bytes


class CompletedRequests:
    """The latest requests, bounded by age, number and bytes; the oldest are dropped first."""

    def __init__(
        self,
        requests: Iterable[CompletedRequest] = (),
        *,
        max_requests: int = const.MAX_COMPLETED_REQUESTS,
        max_bytes: int = const.MAX_COMPLETED_REQUESTS_BYTES,
        max_age_ms: int = const.COMPLETED_REQUEST_TTL_MS,
    ) -> None:
        """Start with the requests of a snapshot, oldest first."""
        self._max_requests = max_requests
        self._max_bytes = max_bytes
        self._max_age_ms = max_age_ms
        self._requests: OrderedDict[str, CompletedRequest] = OrderedDict()
        self._bytes = 0
        for request in requests:
            self._add(request)

    def find(self, request_id: str) -> CompletedRequest | None:
        """Return the request with this id, or ``None``."""
        return self._requests.get(request_id)

    def record(self, request: CompletedRequest) -> None:
        """Record a request as the newest one, and drop the oldest beyond the limits."""
        self._add(request)
        while len(self._requests) > self._max_requests or self._bytes > self._max_bytes:
            self._drop_oldest()

    def expire(self, time_ms: int) -> None:
        """Drop the requests that exceed the maximum age."""
        while self._requests:
            oldest = next(iter(self._requests.values()))
            if time_ms - oldest.time_ms <= self._max_age_ms:
                return
            self._drop_oldest()

    def export(self) -> tuple[CompletedRequest, ...]:
        """Return all requests, oldest first, for a snapshot."""
        return tuple(self._requests.values())

    def _add(self, request: CompletedRequest) -> None:
        self._requests[request.request_id] = request
        self._bytes += self._estimate_size(request)

    def _drop_oldest(self) -> None:
        _, request = self._requests.popitem(last=False)
        self._bytes -= self._estimate_size(request)

    @staticmethod
    def _estimate_size(request: CompletedRequest) -> int:
        return const.CHANGE_OVERHEAD_BYTES + len(request.request_id) + len(request.outcome)
