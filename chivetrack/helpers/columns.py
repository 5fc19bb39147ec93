"""Tables that travel column by column: neighbours in a column are alike and compress well."""

import zlib
from collections.abc import Iterable
from typing import TypeVar

import msgspec
from expression import Error, Ok, Result

MAX_UNPACKED_BYTES = 16 * 1024 * 1024

RowT = TypeVar("RowT", bound=msgspec.Struct)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(list[list[object]])


def pack_rows(rows: Iterable[msgspec.Struct]) -> bytes:
    """Return structs of one type in compressed form; rows that are alike belong side by side."""
    columns = list(zip(*map(msgspec.structs.astuple, rows), strict=True))
    return zlib.compress(_ENCODER.encode(columns))


def unpack_rows(payload: bytes, row_type: type[RowT]) -> Result[list[RowT], str]:
    """Return the structs that ``pack_rows`` was given; the error side says what is wrong."""
    # Bounded: a few bytes of a broken sender may stand for gigabytes.
    inflater = zlib.decompressobj()
    try:
        data = inflater.decompress(payload, MAX_UNPACKED_BYTES)
        if not inflater.eof:
            return Error("the packed rows are not whole or over the limit")
        rows = list(zip(*_DECODER.decode(data), strict=True))
        return Ok(msgspec.convert(rows, list[row_type]))  # type: ignore[valid-type]
    except (zlib.error, msgspec.MsgspecError, ValueError) as error:
        return Error(f"the packed rows can't be read: {error}")
