"""Frames: the checksummed, length-prefixed units of the files in the data folder.

A frame is a header of 16 bytes (little-endian: u32 payload length, u32 checksum of
the length, u64 checksum of the payload) and the payload, a msgpack array of records.
Each sync covers one frame, so a write that is torn by a crash damages only the last frame.
"""

import struct
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec
import xxhash

from chivetrack.components.storage.const import SECTOR_BYTES
from chivetrack.components.storage.exceptions import DamagedFileError
from chivetrack.helpers.codec import DecodeError, Message, pack, unpack

_HEADER = struct.Struct("<IIQ")
_LENGTH = struct.Struct("<I")
_PAYLOAD = msgspec.msgpack.Decoder(list[bytes])


@dataclass(frozen=True, slots=True, kw_only=True)
class ScanResult:
    """The records of a file; ``end`` is the offset after the last complete frame."""

    records: list[Message]
    end: int


def encode_frame(records: Sequence[Message]) -> bytes:
    """Return one frame with these records."""
    payload = msgspec.msgpack.encode([pack(one) for one in records])
    length = _LENGTH.pack(len(payload))
    header = _HEADER.pack(
        len(payload), xxhash.xxh32_intdigest(length), xxhash.xxh3_64_intdigest(payload)
    )
    return header + payload


def scan_frames(data: bytes, *, path: Path, may_be_torn: bool) -> ScanResult:
    """Read all frames; with ``may_be_torn``, stop before a torn last frame.

    Raises ``DamagedFileError`` for any other damage. A last frame of full length with a
    wrong checksum counts as torn only if one of its sectors was never written. Otherwise
    a byte has changed after the sync: the frame may have been acknowledged, and dropping
    it could lose a vote or a committed entry.
    """
    records: list[Message] = []
    offset = 0
    while offset < len(data):
        end = _find_end(data, offset)
        reason = _find_damage(data, offset, end)
        if not reason:
            records += _decode_payload(data, offset, end, path)
            offset = end
            continue
        if may_be_torn and _is_torn(data, offset, end):
            break
        raise DamagedFileError(path, offset, reason)
    return ScanResult(records=records, end=offset)


def _find_end(data: bytes, offset: int) -> int:
    """Return the end offset of a frame, or one past the data if its header is unusable."""
    if len(data) - offset < _HEADER.size:
        return len(data) + 1
    length, check, _ = _HEADER.unpack_from(data, offset)
    if check != xxhash.xxh32_intdigest(_LENGTH.pack(length)):
        return len(data) + 1
    return offset + _HEADER.size + int(length)


def _find_damage(data: bytes, offset: int, end: int) -> str:
    if end > len(data):
        return "the frame is incomplete"
    _, _, checksum = _HEADER.unpack_from(data, offset)
    if checksum != xxhash.xxh3_64_intdigest(data[offset + _HEADER.size : end]):
        return "the checksum is wrong"
    return ""


def _is_torn(data: bytes, offset: int, end: int) -> bool:
    if len(data) - offset < _HEADER.size:
        return True
    length, check, _ = _HEADER.unpack_from(data, offset)
    if check == xxhash.xxh32_intdigest(_LENGTH.pack(length)) and end > len(data):
        return True
    if end < len(data):
        return False
    if end > len(data):
        # The header is damaged; the frame is torn only if part of the header was not written.
        end = offset + _HEADER.size
    return _has_unwritten_sector(data, offset, end)


def _has_unwritten_sector(data: bytes, offset: int, end: int) -> bool:
    while offset < end:
        sector_end = min((offset // SECTOR_BYTES + 1) * SECTOR_BYTES, end)
        if not any(data[offset:sector_end]):
            return True
        offset = sector_end
    return False


def _decode_payload(data: bytes, offset: int, end: int, path: Path) -> list[Message]:
    try:
        return [unpack(one) for one in _PAYLOAD.decode(data[offset + _HEADER.size : end])]
    except (msgspec.MsgspecError, DecodeError) as error:
        raise DamagedFileError(path, offset, str(error)) from error
