"""Pool of idle connections to endpoints."""

from collections.abc import Callable

from chivetrack.components.upstream.connection import EndpointConnection

# Subtracted from the keep-alive time that an endpoint announces. A request that is sent just
# before that time ends may cross the close, and it is then unknown whether it ran.
KEEP_ALIVE_MARGIN_S = 1.0
# Used for an endpoint that announces no keep-alive time.
DEFAULT_IDLE_S = 4.0
MAX_IDLE_S = 30.0
MAX_IDLE_PER_ENDPOINT = 32


class IdleConnections:
    """Idle connections by endpoint; the most recently used one is reused first."""

    def __init__(self, *, read_clock: Callable[[], float]) -> None:
        """Create an empty pool; ``read_clock`` returns seconds of a monotonic clock."""
        self._read_clock = read_clock
        self._idle: dict[str, list[EndpointConnection]] = {}

    def pop_idle(
        self, endpoint_id: str, *, is_carried_only: bool = False
    ) -> EndpointConnection | None:
        """Remove and return a usable connection, or ``None`` if there is none.

        Connections that are over their idle limit, closed by the endpoint or hold unread bytes are
        closed, with ``is_carried_only`` also those without a carrier.
        """
        now = self._read_clock()
        idle = self._idle.get(endpoint_id, [])
        while idle:
            connection = idle.pop()
            is_wanted = bool(connection.carrier) or not is_carried_only
            is_fresh = now - connection.idle_since < connection.idle_limit_s
            if is_wanted and is_fresh and connection.is_clean():
                return connection
            connection.close()
        return None

    def put(
        self, endpoint_id: str, connection: EndpointConnection, keep_alive_s: float | None
    ) -> None:
        """Add a connection whose answer was read to its end.

        ``keep_alive_s`` is the keep-alive time that the endpoint announced, in seconds.
        """
        limit_s = DEFAULT_IDLE_S
        if keep_alive_s is not None:
            limit_s = min(keep_alive_s - KEEP_ALIVE_MARGIN_S, MAX_IDLE_S)
        idle = self._idle.setdefault(endpoint_id, [])
        if limit_s <= 0 or len(idle) >= MAX_IDLE_PER_ENDPOINT:
            connection.close()
            return
        connection.mark_idle(now=self._read_clock(), idle_limit_s=limit_s)
        idle.append(connection)

    def close_expired(self) -> None:
        """Close the connections whose idle limit has passed."""
        now = self._read_clock()
        for endpoint_id, idle in list(self._idle.items()):
            fresh = [each for each in idle if now - each.idle_since < each.idle_limit_s]
            for connection in idle:
                if connection not in fresh:
                    connection.close()
            self._idle[endpoint_id] = fresh
            if not fresh:
                del self._idle[endpoint_id]

    def close_endpoint(self, endpoint_id: str) -> None:
        """Close all idle connections to an endpoint."""
        for connection in self._idle.pop(endpoint_id, []):
            connection.close()
