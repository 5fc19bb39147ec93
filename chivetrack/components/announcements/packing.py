"""Packs many records of endpoints into few bytes, column by column."""

from collections.abc import Iterable, Sequence
from operator import attrgetter

import msgspec
from expression import Result

from chivetrack.components.announcements.models import EndpointRecord, EndpointState
from chivetrack.helpers.columns import pack_columns, unpack_columns

_MS_PER_S = 1000.0


class _Columns(msgspec.Struct, array_like=True, frozen=True):
    """One sequence for each field; ``born`` counts from ``first_born``, ``cold_ms`` in ms."""

    first_born: int
    endpoint_ids: Sequence[str]
    born: Sequence[int]
    sequences: Sequence[int]
    services: Sequence[str]
    addresses: Sequence[str]
    zones: Sequence[str]
    software: Sequence[str]
    slots: Sequence[int]
    states: Sequence[EndpointState]
    cold_ms: Sequence[int]
    models: Sequence[tuple[str, ...]]


_DECODER = msgspec.msgpack.Decoder(_Columns)


def pack_records(records: Iterable[EndpointRecord]) -> bytes:
    """Return records in compressed form, in the order of service, zone and address."""
    ordered = sorted(records, key=attrgetter("service", "zone", "address"))
    first_born = min((one.born for one in ordered), default=0)
    columns = _Columns(
        first_born=first_born,
        endpoint_ids=[one.endpoint_id for one in ordered],
        born=[one.born - first_born for one in ordered],
        sequences=[one.sequence for one in ordered],
        services=[one.service for one in ordered],
        addresses=[one.address for one in ordered],
        zones=[one.zone for one in ordered],
        software=[one.software for one in ordered],
        slots=[one.slots for one in ordered],
        states=[one.state for one in ordered],
        cold_ms=[round(one.cold_s * _MS_PER_S) for one in ordered],
        models=[one.models for one in ordered],
    )
    return pack_columns(columns)


def unpack_records(payload: bytes) -> Result[list[EndpointRecord], str]:
    """Return the records that ``pack_records`` was given; the error side says what is wrong."""
    return unpack_columns(payload, _DECODER, _join)


def _join(columns: _Columns) -> list[EndpointRecord]:
    rows = zip(
        columns.endpoint_ids,
        columns.born,
        columns.sequences,
        columns.services,
        columns.addresses,
        columns.zones,
        columns.software,
        columns.slots,
        columns.states,
        columns.cold_ms,
        columns.models,
        strict=True,
    )
    return [
        EndpointRecord(
            endpoint_id=endpoint_id,
            born=columns.first_born + born,
            sequence=sequence,
            service=service,
            address=address,
            zone=zone,
            software=software,
            slots=slots,
            state=state,
            cold_s=cold_ms / _MS_PER_S,
            models=models,
        )
        for (
            endpoint_id,
            born,
            sequence,
            service,
            address,
            zone,
            software,
            slots,
            state,
            cold_ms,
            models,
        ) in rows
    ]
