"""List of the endpoints that are silent, which a replica sends to routers."""

from dataclasses import dataclass

from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.distribution.const import SILENT_CHECK_INTERVAL_S


@dataclass(slots=True)
class SilentList:
    """Refreshes the silent endpoints a few times a second and numbers each changed list.

    An endpoint is silent if it has sent no heartbeat for some seconds. A zone that loses power
    silences a third of the fleet; their ids, repeated in every answer to every router, would take
    several times the capacity of a replica's link.
    """

    endpoint_ids: tuple[str, ...] = ()
    revision: int = 1
    _refreshed_at: float = float("-inf")

    def refresh(self, table: EndpointTable, *, now: float) -> None:
        """Refresh the list unless the last refresh was within ``SILENT_CHECK_INTERVAL_S``."""
        if now - self._refreshed_at < SILENT_CHECK_INTERVAL_S:
            return
        self._refreshed_at = now
        endpoint_ids = tuple(sorted(table.list_silent(now)))
        if endpoint_ids != self.endpoint_ids:
            self.endpoint_ids = endpoint_ids
            self.revision += 1
