"""Packs endpoint records into a compact binary form."""

from collections.abc import Iterable
from operator import attrgetter

from expression import Result

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.helpers.columns import pack_rows, unpack_rows


def pack_records(records: Iterable[EndpointRecord]) -> bytes:
    """Return records in compressed form, sorted by service, zone and address."""
    return pack_rows(sorted(records, key=attrgetter("service", "zone", "address")))


def unpack_records(payload: bytes) -> Result[list[EndpointRecord], str]:
    """Return the records packed by ``pack_records``, or an error message if it is invalid."""
    return unpack_rows(payload, EndpointRecord)
