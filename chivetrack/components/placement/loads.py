"""How much of each endpoint is in use, by this router and by all others."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from chivetrack.components.distribution.messages import EndpointLoad
from chivetrack.components.endpoints.const import PEER_COUNTS_TTL_S


@dataclass(slots=True)
class _Use:
    running: int = 0
    tokens: int = 0
    others_running: int = 0
    others_tokens: int = 0
    others_at: float = float("-inf")


class LoadTable:
    """Counts requests in flight and prompt tokens that wait to be read."""

    def __init__(self) -> None:
        """Start with nothing in use."""
        self._uses: dict[str, _Use] = {}

    def start(self, endpoint_id: str, tokens: int) -> None:
        """Count a request that is sent."""
        use = self._get(endpoint_id)
        use.running += 1
        use.tokens += tokens

    def begin(self, endpoint_id: str, tokens: int) -> None:
        """Count a request's prompt as read: its first event has come."""
        use = self._get(endpoint_id)
        use.tokens = max(0, use.tokens - tokens)

    def finish(self, endpoint_id: str) -> None:
        """Count a request as ended."""
        use = self._get(endpoint_id)
        use.running = max(0, use.running - 1)

    def take_others(self, loads: Iterable[EndpointLoad], *, now: float) -> None:
        """Replace what is known of the other routers."""
        for use in self._uses.values():
            use.others_running = 0
            use.others_tokens = 0
        for load in loads:
            use = self._get(load.endpoint_id)
            use.others_running = load.running
            use.others_tokens = load.tokens
            use.others_at = now

    def count_running(self, endpoint_id: str, now: float) -> int:
        """Return the requests in flight at an endpoint, of all routers."""
        use = self._get(endpoint_id)
        return use.running + (use.others_running if now - use.others_at <= PEER_COUNTS_TTL_S else 0)

    def count_tokens(self, endpoint_id: str, now: float, *, rate: float) -> int:
        """Return the prompt tokens that an endpoint has still to read.

        What other routers told is some hundred ms old; meanwhile the endpoint reads on,
        ``rate`` tokens a ms.
        """
        use = self._get(endpoint_id)
        if not use.others_tokens:
            return use.tokens
        read = (now - use.others_at) * 1000 * rate
        return use.tokens + max(0, round(use.others_tokens - read))

    def list_own(self) -> Iterator[EndpointLoad]:
        """Yield what this router uses."""
        for endpoint_id, use in self._uses.items():
            if use.running or use.tokens:
                yield EndpointLoad(endpoint_id=endpoint_id, running=use.running, tokens=use.tokens)

    def forget(self, endpoint_id: str) -> None:
        """Drop an endpoint that has gone."""
        use = self._uses.get(endpoint_id)
        if use is not None and not use.running:
            del self._uses[endpoint_id]

    def _get(self, endpoint_id: str) -> _Use:
        use = self._uses.get(endpoint_id)
        if use is None:
            use = self._uses[endpoint_id] = _Use()
        return use
