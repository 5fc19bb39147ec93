"""Selects the endpoints that may begin or continue a stream; performs no I/O."""

from collections.abc import Callable, Collection, Sequence

from chivetrack.components.announcements.models import EndpointRecord
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
