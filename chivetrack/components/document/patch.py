"""Patches between two versions of a document."""

import re
import zlib
from collections.abc import Iterator

from expression import Error, Ok, Result

from chivetrack.components.document.store import pack_document, unpack_document
from chivetrack.helpers.codec import DecodeError, Message, decode_as, encode, message

# Splits a JSON text after each object, since a change usually affects only some objects.
_PIECE = re.compile(rb"(?<=\})")


@message("document.copied")
class Copied(Message, frozen=True, array_like=True):
    """Copies ``count`` pieces of the older version, from piece number ``start`` on."""

    start: int
    count: int


@message("document.patch")
class Patch(Message, frozen=True, array_like=True):
    """A newer version as copied pieces of an older version and new bytes between them.

    ``checksum`` is the CRC-32 of the newer version.
    """

    pieces: tuple[Copied | bytes, ...]
    checksum: int


class PatchError(Exception):
    """A patch can't be decoded, or its result does not match the checksum."""


def make_patch(old: bytes, new: bytes) -> bytes:
    """Return a packed patch from version ``old`` to version ``new``."""
    pieces = tuple(_find_differences(_PIECE.split(old), _PIECE.split(new)))
    patch = Patch(pieces=pieces, checksum=zlib.crc32(new))
    return pack_document(encode(patch))


def _find_differences(old: list[bytes], new: list[bytes]) -> Iterator[Copied | bytes]:
    """Yield runs of pieces that both versions contain, and the new pieces between them."""
    places: dict[bytes, int] = {}
    for number, piece in enumerate(old):
        places.setdefault(piece, number)
    position = 0
    while position < len(new):
        start = places.get(new[position])
        if start is None:
            yield new[position]
            position += 1
            continue
        count = 1
        while (
            position + count < len(new)
            and start + count < len(old)
            and new[position + count] == old[start + count]
        ):
            count += 1
        yield Copied(start=start, count=count)
        position += count


def apply_patch(old: bytes, patch: bytes) -> Result[bytes, PatchError]:
    """Return the newer version, or a ``PatchError``."""
    try:
        decoded = decode_as(Patch, unpack_document(patch))
    except (zlib.error, DecodeError) as error:
        return Error(PatchError(f"not a patch: {error}"))
    parts = _PIECE.split(old)
    body = b"".join(
        b"".join(parts[one.start : one.start + one.count]) if isinstance(one, Copied) else one
        for one in decoded.pieces
    )
    if zlib.crc32(body) != decoded.checksum:
        return Error(PatchError("the checksum of the patched document is wrong"))
    return Ok(body)
