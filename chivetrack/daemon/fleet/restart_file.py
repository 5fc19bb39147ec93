"""Stores the state that routers need at once after all instances lost power."""

import time
from pathlib import Path

import gevent
import msgspec
from gevent.threadpool import ThreadPool

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.distribution.messages import PlacedPart
from chivetrack.components.distribution.placements import Placements
from chivetrack.components.storage.files import SystemCalls, write_file
from chivetrack.helpers.events import EventLog

_FILE_NAME = "restart"
# Changes within this time are written together; a disk sync takes a few milliseconds.
_WRITE_DELAY_S = 0.3


class _Content(msgspec.Struct, array_like=True):
    """The content of the file.

    ``written_at`` is the Unix time (s) of the write; the ages of placements are as of then.
    """

    written_at: float
    records: list[EndpointRecord]
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
        self._path = folder / _FILE_NAME
        self._table = table
        self._placements = placements
        self._events = events
        self._pool = ThreadPool(1)
        self._written = (0, 0)
        self._is_write_scheduled = False

    @property
    def exists(self) -> bool:
        """Return whether an earlier process of this replica has written the file."""
        return self._path.exists()

    def load(self, *, now: float) -> None:
        """Restore the content of the file; ``now`` is the monotonic time (s)."""
        try:
            content = msgspec.msgpack.decode(self._path.read_bytes(), type=_Content)
        except FileNotFoundError:
            return
        except (OSError, msgspec.MsgspecError) as error:
            self._events.write("restart_file_not_read", detail=str(error))
            return
        # The wall clock may have been set back since the write.
        passed_s = max(0.0, time.time() - content.written_at)
        placed = [
            msgspec.structs.replace(one, age_s=one.age_s + passed_s) for one in content.placed
        ]
        self._table.restore(content.records, now=now)
        self._placements.record(placed, now=now)
        self._events.write(
            "restart_file_read", endpoints=len(content.records), placements=len(placed)
        )

    def schedule_write(self) -> None:
        """Schedule a write after ``_WRITE_DELAY_S`` if the state has changed."""
        if not self._is_write_scheduled and self._get_state() != self._written:
            self._is_write_scheduled = True
            gevent.spawn_later(_WRITE_DELAY_S, self._write)

    def _get_state(self) -> tuple[int, int]:
        return (self._table.change, self._placements.change)

    def _write(self) -> None:
        self._is_write_scheduled = False
        self._written = self._get_state()
        placed, _ = self._placements.list_after(0, now=time.monotonic())
        content = _Content(
            written_at=time.time(),
            records=list(self._table.list_records()),
            placed=list(placed),
        )
        try:
            data = msgspec.msgpack.encode(content)
            self._pool.apply(write_file, (self._path, [data], SystemCalls()))
        except OSError as error:
            # The disk may be full. The copy is outdated then; no other component relies on it.
            self._events.write("restart_file_not_written", detail=str(error))
