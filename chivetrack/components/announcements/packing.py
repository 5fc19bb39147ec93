"""Packs many records of endpoints into few bytes, column by column."""

import zlib
from collections.abc import Iterable, Sequence
from operator import attrgetter

import msgspec
from expression import Error, Ok, Result

from chivetrack.components.announcements.models import EndpointRecord, EndpointState

_MAX_UNPACKED_BYTES = 16 * 1024 * 1024
_MS_PER_S = 1000.0


class _Columns(msgspec.Struct, array_like=True, frozen=True):
    """One sequence for each field; ``born`` counts from ``first_born``, ``cold_ms`` in ms.

    Neighbours in a column are alike, so that it compresses to a fraction of the same values
    spread over records.
    """

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


_ENCODER = msgspec.msgpack.Encoder()
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
    return zlib.compress(_ENCODER.encode(columns))


def unpack_records(payload: bytes) -> Result[list[EndpointRecord], str]:
    """Return the records that ``pack_records`` was given; the error side says what is wrong."""
    # Bounded: a few bytes of a broken sender may stand for gigabytes.
    decoder = zlib.decompressobj()
    try:
        data = decoder.decompress(payload, _MAX_UNPACKED_BYTES)
        if not decoder.eof:
            return Error("the packed records are not whole or over the limit")
        return Ok(_join(_DECODER.decode(data)))
    except (zlib.error, msgspec.MsgspecError, ValueError) as error:
        return Error(f"the packed records can't be read: {error}")


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
