"""The endpoints that were not heard of lately, as one replica tells routers of them."""

from dataclasses import dataclass

from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.distribution.const import SILENT_CHECK_INTERVAL_S


@dataclass(slots=True)
class SilentList:
    """Lists the silent endpoints a few times a second and numbers each other list.

    A zone that loses power silences a third of the fleet; repeated in every answer to every
    router, their ids would take several times the link of a replica.
    """

    endpoint_ids: tuple[str, ...] = ()
    revision: int = 1
    _refreshed_at: float = float("-inf")

    def refresh(self, table: EndpointTable, *, now: float) -> None:
        """Look for silent endpoints again if the last look is some time ago."""
        if now - self._refreshed_at < SILENT_CHECK_INTERVAL_S:
            return
        self._refreshed_at = now
        endpoint_ids = tuple(sorted(table.list_silent(now)))
        if endpoint_ids != self.endpoint_ids:
            self.endpoint_ids = endpoint_ids
            self.revision += 1
