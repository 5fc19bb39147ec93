"""What a record of an endpoint may say, whoever has written it; performs no I/O."""

from collections.abc import Iterator
from dataclasses import dataclass

from chivetrack.components.announcements.models import EndpointRecord, EndpointState
from chivetrack.helpers.addresses import read_address

_LIVE_STATES = (EndpointState.READY, EndpointState.DRAINING)
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

    A record of an endpoint that has left or is lost may come from a departure alone, which names no
    address.
    """
    return next(_list_faults(record), None)


def _list_faults(record: EndpointRecord) -> Iterator[RecordFault]:
    is_live = record.state in _LIVE_STATES
    if (record.address or is_live) and read_address(record.address) is None:
        yield RecordFault("address", f"{record.address[:_MAX_LOGGED_TEXT]!r} is no IP:PORT")
