"""Stores the state that routers need at once after all instances lost power."""

import time
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.announcements.soundness import RecordFault, UnsoundRecord
from chivetrack.components.announcements.table import RESTART_FILE, EndpointTable
from chivetrack.components.distribution.messages import PlacedPart
from chivetrack.components.distribution.placements import Placements
from chivetrack.daemon.fleet.state_file import StateContent, StateFile
from chivetrack.helpers.codec import DecodeError, decode_as, encode
from chivetrack.helpers.events import EventLog

_FILE_NAME = "restart"
# Changes within this time are written together; a disk sync takes a few milliseconds.
_WRITE_DELAY_S = 0.3


class _Content(StateContent, array_like=True):
    """The content of the file; the ages of placements are as of the write.

    Each record is decoded by itself, so that one which can't be read leaves the others.
    """

    records: list[msgspec.Raw]
    placed: list[PlacedPart]


class RestartFile:
    """A possibly outdated copy of endpoints and placements.

    Restored endpoints must be confirmed by a heartbeat. Without the file, after a power loss
    of all replicas routers would know no endpoints until the next heartbeats, more than a
    second after the configuration, and no cached prompts at all: engines had to process a
    tenth of the prompt tokens of a minute a second time.
    """

    def __init__(
        self, *, folder: Path, table: EndpointTable, placements: Placements, events: EventLog
    ) -> None:
        """Set the folder of the file and the state to store."""
        self._table = table
        self._placements = placements
        self._events = events
        self._file = StateFile(
            folder=folder,
            name=_FILE_NAME,
            content_type=_Content,
            write_delay_s=_WRITE_DELAY_S,
            get_change=lambda: (table.change, placements.change),
            make_content=self._make_content,
            events=events,
        )
        self.schedule_write = self._file.schedule_write

    @property
    def exists(self) -> bool:
        """Return whether an earlier process of this replica has written the file."""
        return self._file.exists

    def load(self, *, now: float) -> None:
        """Restore the content of the file; ``now`` is the monotonic time (s)."""
        content = self._file.load()
        if content is None:
            return
        passed_s = content.get_age()
        placed = [
            msgspec.structs.replace(one, age_s=one.age_s + passed_s) for one in content.placed
        ]
        self._table.restore(self._read_records(content.records), now=now)
        self._placements.record(placed, now=now)
        self._events.write(
            "restart_file_read", endpoints=len(content.records), placements=len(placed)
        )

    def _read_records(self, encoded: Iterable[msgspec.Raw]) -> Iterator[EndpointRecord]:
        for one in encoded:
            try:
                yield decode_as(EndpointRecord, bytes(one))
            except DecodeError as error:
                fault = RecordFault("body", str(error))
                self._table.report_unsound(
                    UnsoundRecord(writer=RESTART_FILE, endpoint_id="", fault=fault)
                )

    def _make_content(self) -> _Content:
        placed, _ = self._placements.list_after(0, now=time.monotonic())
        return _Content(
            written_at=time.time(),
            records=[msgspec.Raw(encode(one)) for one in self._table.list_records()],
            placed=list(placed),
        )
