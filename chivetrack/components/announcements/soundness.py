"""What a record of an endpoint may say, whoever has written it; performs no I/O."""

import re
from collections.abc import Iterator
from dataclasses import dataclass

from chivetrack.components.announcements.models import (
    LAST_SEQUENCE,
    EndpointRecord,
    EndpointState,
)
from chivetrack.helpers.addresses import read_address

# Every JSON library carries whole numbers up to this one exactly.
MAX_BORN_MS = 2**53 - 1
MAX_SLOTS = 65_535
MAX_COLD_S = 86_400.0
MAX_ID_LENGTH = 128
MAX_TEXT_LENGTH = 128
MAX_MODELS = 64

# Ids stand in paths and in lines of HTTP heads.
_ID = re.compile(f"[!-~]{{1,{MAX_ID_LENGTH}}}")
_LIVE_STATES = (EndpointState.READY, EndpointState.DRAINING)
_NO_TEXT = f"it is no text of up to {MAX_TEXT_LENGTH} printable characters, or missing"
_MAX_LOGGED_ID = 64
_MAX_LOGGED_TEXT = 120


@dataclass(frozen=True, slots=True)
class RecordFault:
    """What makes a record unsound: the name of its field, and what is wrong there."""

    field: str
    detail: str


@dataclass(frozen=True, slots=True, kw_only=True)
class UnsoundRecord:
    """A record that was left out; ``writer`` is the address or the file that it came from."""

    writer: str
    endpoint_id: str
    fault: RecordFault

    def describe(self) -> dict[str, str]:
        """Return the fields of the line that tells of the record, each of bounded length."""
        return {
            "writer": self.writer[:_MAX_LOGGED_ID],
            "endpoint": self.endpoint_id[:_MAX_LOGGED_ID],
            "field": self.fault.field,
            "detail": self.fault.detail[:_MAX_LOGGED_TEXT],
        }


def find_fault(record: EndpointRecord) -> RecordFault | None:
    """Return what makes a record unsound, ``None`` if it can be used.

    A record of an endpoint that has left or is lost may come from a departure alone, which names
    nothing but the id.
    """
    return next(_list_faults(record), None)


def find_id_fault(endpoint_id: str) -> RecordFault | None:
    """Return what makes an endpoint's id unsound, ``None`` if it can be used."""
    if _ID.fullmatch(endpoint_id):
        return None
    return RecordFault("endpoint_id", f"it is no id of 1 to {MAX_ID_LENGTH} ASCII characters")


def find_born_fault(born: int) -> RecordFault | None:
    """Return what makes a start time (Unix ms) unsound, ``None`` if it can be used."""
    if 0 <= born <= MAX_BORN_MS:
        return None
    return RecordFault("born", f"it is not from 0 to {MAX_BORN_MS}")


def _list_faults(record: EndpointRecord) -> Iterator[RecordFault]:
    is_live = record.state in _LIVE_STATES
    for fault in (find_id_fault(record.endpoint_id), find_born_fault(record.born)):
        if fault is not None:
            yield fault
    yield from _list_number_faults(record, is_live=is_live)
    yield from _list_text_faults(record, is_live=is_live)
    if (record.address or is_live) and read_address(record.address) is None:
        yield RecordFault("address", f"{record.address[:_MAX_LOGGED_TEXT]!r} is no IP:PORT")


def _list_number_faults(record: EndpointRecord, *, is_live: bool) -> Iterator[RecordFault]:
    """Yield the numbers out of bounds; the bounds are narrower than any encoding of them."""
    max_sequence = LAST_SEQUENCE - 1 if is_live else LAST_SEQUENCE
    if not 0 <= record.sequence <= max_sequence:
        yield RecordFault("sequence", f"it is not from 0 to {max_sequence}")
    min_slots = int(is_live)
    if not min_slots <= record.slots <= MAX_SLOTS:
        yield RecordFault("slots", f"it is not from {min_slots} to {MAX_SLOTS}")
    # Not a number compares as false.
    if not 0.0 <= record.cold_s <= MAX_COLD_S:
        yield RecordFault("cold_s", f"it is not from 0 to {MAX_COLD_S:g}")


def _list_text_faults(record: EndpointRecord, *, is_live: bool) -> Iterator[RecordFault]:
    if not _is_text(record.service, min_length=int(is_live)):
        yield RecordFault("service", _NO_TEXT)
    if not _is_text(record.zone, min_length=int(is_live)):
        yield RecordFault("zone", _NO_TEXT)
    # Empty where a lifetime has announced two versions.
    if not _is_text(record.software):
        yield RecordFault("software", _NO_TEXT)
    if len(record.models) > MAX_MODELS:
        yield RecordFault("models", f"there are more than {MAX_MODELS}")
    elif not all(_is_text(name, min_length=1) for name in record.models):
        yield RecordFault("models", _NO_TEXT)


def _is_text(text: str, *, min_length: int = 0) -> bool:
    return min_length <= len(text) <= MAX_TEXT_LENGTH and text.isprintable()
