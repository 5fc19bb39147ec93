"""Selects the endpoints that may begin or continue a stream; performs no I/O."""

from collections.abc import Callable, Collection, Sequence

from chivetrack.components.announcements.directory import EndpointDirectory
from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.origins.const import VIEW_CURRENT_S
from chivetrack.components.origins.models import Origin


def list_beginning(
    records: Sequence[EndpointRecord], *, may_begin: Callable[[Origin], bool]
) -> Sequence[EndpointRecord]:
    """Return the endpoints at whose versions streams may begin."""
    return [record for record in records if may_begin(Origin(record.service, record.software))]


def list_continuing(
    records: Sequence[EndpointRecord], *, origin: Origin, silent: Collection[str], is_current: bool
) -> Sequence[EndpointRecord]:
    """Return the endpoints that are known to have the version at which a stream began.

    ``silent`` are the ids of endpoints without a recent heartbeat: one of them may have started
    again under its id with another version. ``is_current``: the records are not outdated.
    """
    if not (origin.is_known and is_current):
        return ()
    return [
        record
        for record in records
        if Origin(record.service, record.software) == origin and record.endpoint_id not in silent
    ]


class VersionFilter:
    """Leaves out the endpoints whose version may not get a request.

    ``viewed_at`` is a time that the newest view of a replica is not older than (s, boot clock);
    ``silent`` are the ids of endpoints whose heartbeats the replicas miss.
    """

    def __init__(
        self, *, directory: EndpointDirectory, may_begin: Callable[[Origin], bool]
    ) -> None:
        """Store the endpoints, and whether streams may begin at a version."""
        self._directory = directory
        self._may_begin = may_begin
        self.viewed_at = float("-inf")
        self.silent: frozenset[str] = frozenset()

    def list_fitting(
        self,
        service: str,
        records: Sequence[EndpointRecord],
        *,
        origin: Origin | None,
        is_stream: bool,
        now: float,
    ) -> Sequence[EndpointRecord]:
        """Return those of a service's endpoints that may begin a request.

        Once a stream has begun at ``origin``, return those that may continue it. ``now`` is a time
        of the boot clock.
        """
        if origin is not None:
            is_current = now - self.viewed_at <= VIEW_CURRENT_S
            return list_continuing(
                records, origin=origin, silent=self.silent, is_current=is_current
            )
        if not is_stream or all(map(self._may_begin, self._directory.list_origins(service))):
            return records
        return list_beginning(records, may_begin=self._may_begin)

    def awaits_registration(self, service: str) -> bool:
        """Return whether no stream can begin only because no version is registered yet."""
        origins = self._directory.list_origins(service)
        return bool(origins) and not any(map(self._may_begin, origins))
