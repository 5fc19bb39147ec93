"""Tables that travel column by column: neighbours in a column are alike and compress well."""

import zlib
from collections.abc import Callable
from typing import TypeVar

import msgspec
from expression import Error, Ok, Result

MAX_UNPACKED_BYTES = 16 * 1024 * 1024

ColumnsT = TypeVar("ColumnsT", bound=msgspec.Struct)
RowT = TypeVar("RowT")

_ENCODER = msgspec.msgpack.Encoder()


def pack_columns(columns: msgspec.Struct) -> bytes:
    """Return a struct of columns in compressed form."""
    return zlib.compress(_ENCODER.encode(columns))


def unpack_columns(
    payload: bytes,
    decoder: msgspec.msgpack.Decoder[ColumnsT],
    join: Callable[[ColumnsT], list[RowT]],
) -> Result[list[RowT], str]:
    """Return the rows that ``join`` makes of packed columns; the error side says what is wrong.

    ``join`` may raise ``ValueError``, as for columns of different lengths.
    """
    # Bounded: a few bytes of a broken sender may stand for gigabytes.
    inflater = zlib.decompressobj()
    try:
        data = inflater.decompress(payload, MAX_UNPACKED_BYTES)
        if not inflater.eof:
            return Error("the packed columns are not whole or over the limit")
        return Ok(join(decoder.decode(data)))
    except (zlib.error, msgspec.MsgspecError, ValueError) as error:
        return Error(f"the packed columns can't be read: {error}")
