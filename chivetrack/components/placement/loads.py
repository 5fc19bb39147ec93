"""Load of each endpoint, by this router and by all other routers."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from chivetrack.components.distribution.messages import EndpointLoad
from chivetrack.components.endpoints.const import PEER_COUNTS_TTL_S

REPORT_TTL_S = 0.5
"""An older report says little, since requests end and others begin all the time."""


@dataclass(slots=True)
class _EndpointUse:
    running: int = 0
    tokens: int = 0
    others_running: int = 0
    others_tokens: int = 0
    others_at: float = float("-inf")
    reported: int = 0
    reported_at: float = float("-inf")
    own_at_report: int = 0


class LoadTable:
    """Counts requests in flight and prompt tokens that have not been read yet, by endpoint."""

    def __init__(self) -> None:
        """Initialize the table without any load."""
        self._loads: dict[str, _EndpointUse] = {}

    def start(self, endpoint_id: str, tokens: int) -> None:
        """Count a request that is sent to an endpoint, and the prompt tokens to be read for it."""
        use = self._get(endpoint_id)
        use.running += 1
        use.tokens += tokens

    def finish_reading(self, endpoint_id: str, tokens: int) -> None:
        """Count the prompt of a request as read, since its first event has arrived."""
        use = self._get(endpoint_id)
        use.tokens = max(0, use.tokens - tokens)

    def finish(self, endpoint_id: str) -> None:
        """Count a request as ended."""
        use = self._get(endpoint_id)
        use.running = max(0, use.running - 1)

    def handle_other_loads(self, loads: Iterable[EndpointLoad], *, now: float) -> None:
        """Replace the load of the other routers, summed by endpoint."""
        for use in self._loads.values():
            use.others_running = 0
            use.others_tokens = 0
        for load in loads:
            use = self._get(load.endpoint_id)
            use.others_running = load.running
            use.others_tokens = load.tokens
            use.others_at = now

    def count_running(self, endpoint_id: str, now: float) -> int:
        """Return the number of requests in flight at an endpoint, from all routers.

        The load of the other routers counts for ``PEER_COUNTS_TTL_S`` after its arrival, a newer
        report of the endpoint itself for ``REPORT_TTL_S``.
        """
        use = self._get(endpoint_id)
        if use.reported_at > use.others_at and now - use.reported_at <= REPORT_TTL_S:
            return max(use.running, use.reported + use.running - use.own_at_report)
        return use.running + (use.others_running if now - use.others_at <= PEER_COUNTS_TTL_S else 0)

    def record_report(self, endpoint_id: str, requests: int, *, now: float) -> None:
        """Record the number of requests that run or wait at an endpoint as it reports itself.

        It replaces the count of the other routers until that is newer.
        """
        use = self._get(endpoint_id)
        use.reported = requests
        use.reported_at = now
        use.own_at_report = use.running

    def count_tokens(self, endpoint_id: str, now: float, *, rate: float) -> int:
        """Return the number of prompt tokens that an endpoint has not read yet.

        The load reported by other routers is some hundred milliseconds old. The tokens that
        the endpoint has read since then, at ``rate`` tokens/ms, are subtracted from it.
        """
        use = self._get(endpoint_id)
        if not use.others_tokens:
            return use.tokens
        read = (now - use.others_at) * 1000 * rate
        return use.tokens + max(0, round(use.others_tokens - read))

    def list_own(self) -> Iterator[EndpointLoad]:
        """Yield the load of this router, by endpoint."""
        for endpoint_id, use in self._loads.items():
            if use.running or use.tokens:
                yield EndpointLoad(endpoint_id=endpoint_id, running=use.running, tokens=use.tokens)

    def forget_report(self, endpoint_id: str) -> None:
        """Drop the report of an endpoint that has restarted or left."""
        use = self._loads.get(endpoint_id)
        if use is not None:
            use.reported_at = float("-inf")

    def forget(self, endpoint_id: str) -> None:
        """Drop an endpoint that has gone."""
        use = self._loads.get(endpoint_id)
        if use is not None and not use.running:
            del self._loads[endpoint_id]

    def _get(self, endpoint_id: str) -> _EndpointUse:
        use = self._loads.get(endpoint_id)
        if use is None:
            use = self._loads[endpoint_id] = _EndpointUse()
        return use
