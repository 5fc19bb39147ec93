"""Packs the loads of many endpoints into few bytes, column by column."""

from collections.abc import Iterable, Sequence

import msgspec
from expression import Result

from chivetrack.components.distribution.messages import EndpointLoad
from chivetrack.helpers.columns import pack_columns, unpack_columns


class _Columns(msgspec.Struct, array_like=True, frozen=True):
    """One sequence for each field of ``EndpointLoad``."""

    endpoint_ids: Sequence[str]
    running: Sequence[int]
    tokens: Sequence[int]
    answered: Sequence[int]
    failed: Sequence[int]


_DECODER = msgspec.msgpack.Decoder(_Columns)


def pack_loads(loads: Iterable[EndpointLoad]) -> bytes:
    """Return loads in compressed form, in the order of their ids."""
    ordered = sorted(loads, key=lambda one: one.endpoint_id)
    columns = _Columns(
        endpoint_ids=[one.endpoint_id for one in ordered],
        running=[one.running for one in ordered],
        tokens=[one.tokens for one in ordered],
        answered=[one.answered for one in ordered],
        failed=[one.failed for one in ordered],
    )
    return pack_columns(columns)


def unpack_loads(payload: bytes) -> Result[list[EndpointLoad], str]:
    """Return the loads that ``pack_loads`` was given; the error side says what is wrong."""
    return unpack_columns(payload, _DECODER, _join)


def _join(columns: _Columns) -> list[EndpointLoad]:
    rows = zip(
        columns.endpoint_ids,
        columns.running,
        columns.tokens,
        columns.answered,
        columns.failed,
        strict=True,
    )
    return [EndpointLoad(*row) for row in rows]


def subtract_load(total: EndpointLoad, part: EndpointLoad | None) -> EndpointLoad:
    """Return a load without one router's part, which may be a little newer than the total."""
    if part is None:
        return total
    return EndpointLoad(
        endpoint_id=total.endpoint_id,
        running=max(0, total.running - part.running),
        tokens=max(0, total.tokens - part.tokens),
        answered=max(0, total.answered - part.answered),
        failed=max(0, total.failed - part.failed),
    )
