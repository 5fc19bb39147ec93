"""Columnar encoding of tables: similar values stand next to each other and compress well."""

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
    """Return structs of one type in compressed form.

    The result is smaller when similar rows are adjacent.
    """
    columns = list(zip(*map(msgspec.structs.astuple, rows), strict=True))
    return zlib.compress(_ENCODER.encode(columns))


def unpack_rows(payload: bytes, row_type: type[RowT]) -> Result[list[RowT], str]:
    """Decode the output of ``pack_rows``; the error side says what is wrong."""
    # The size is limited, since a few bytes of a faulty sender can inflate to gigabytes.
    inflater = zlib.decompressobj()
    try:
        data = inflater.decompress(payload, MAX_UNPACKED_BYTES)
        if not inflater.eof:
            return Error("the packed rows are incomplete or exceed the size limit")
        rows = list(zip(*_DECODER.decode(data), strict=True))
        return Ok(msgspec.convert(rows, list[row_type]))  # type: ignore[valid-type]
    except (zlib.error, msgspec.MsgspecError, ValueError) as error:
        return Error(f"the packed rows cannot be decoded: {error}")
