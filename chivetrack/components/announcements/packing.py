"""Packs many records of endpoints into few bytes."""

from collections.abc import Iterable
from operator import attrgetter

from expression import Result

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.helpers.columns import pack_rows, unpack_rows


def pack_records(records: Iterable[EndpointRecord]) -> bytes:
    """Return records in compressed form, in the order of service, zone and address."""
    return pack_rows(sorted(records, key=attrgetter("service", "zone", "address")))


def unpack_records(payload: bytes) -> Result[list[EndpointRecord], str]:
    """Return the records that ``pack_records`` was given; the error side says what is wrong."""
    return unpack_rows(payload, EndpointRecord)
