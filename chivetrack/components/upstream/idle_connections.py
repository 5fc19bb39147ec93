"""Idle connections to endpoints, kept for the next request."""

from collections.abc import Callable

from chivetrack.components.upstream.connection import EndpointConnection

# Endpoints say how long they keep an idle connection; a request that is sent in the last
# moment of it meets the close on its way, and nobody can tell whether it ran.
KEEP_ALIVE_MARGIN_S = 1.0
# Where an endpoint says nothing.
DEFAULT_IDLE_S = 4.0
MAX_IDLE_S = 30.0
MAX_IDLE_PER_ENDPOINT = 32


class IdleConnections:
    """Idle connections by endpoint; the one used last is taken first."""

    def __init__(self, *, read_clock: Callable[[], float]) -> None:
        """Start with none; ``read_clock`` gives seconds."""
        self._read_clock = read_clock
        self._idle: dict[str, list[EndpointConnection]] = {}

    def pop_idle(self, endpoint_id: str) -> EndpointConnection | None:
        """Return a connection on which nothing is known to be wrong."""
        now = self._read_clock()
        idle = self._idle.get(endpoint_id, [])
        while idle:
            connection = idle.pop()
            if now - connection.idle_since < connection.idle_limit_s and connection.is_clean():
                return connection
            connection.close()
        return None

    def put(
        self, endpoint_id: str, connection: EndpointConnection, keep_alive_s: float | None
    ) -> None:
        """Keep a connection whose answer was read to the end."""
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
        """Close what has been idle for too long."""
        now = self._read_clock()
        for endpoint_id, idle in list(self._idle.items()):
            fresh = [one for one in idle if now - one.idle_since < one.idle_limit_s]
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
