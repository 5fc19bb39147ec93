"""Keeps in a file what routers need at once after all instances were lost."""

import time
from pathlib import Path

import gevent
import msgspec
from gevent.threadpool import ThreadPool

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.distribution.messages import PlacedPart
from chivetrack.components.distribution.placements import Placements
from chivetrack.components.storage.files import Calls, write_file
from chivetrack.helpers.events import EventLog

_FILE_NAME = "restart"
# Changes within so long are written together; a disk takes a sync in some ms.
_WRITE_DELAY_S = 0.3


class _Content(msgspec.Struct, array_like=True):
    """``written_at`` is the time of day in seconds; ages of placements count from it."""

    written_at: float
    records: list[EndpointRecord]
    placed: list[PlacedPart]


class RestartFile:
    """A copy that may be old: endpoints hold only until they are heard again.

    After all replicas lost power, routers would know of no endpoint until the next
    heartbeats, more than a second later than of the configuration, and of no cached
    prompt at all: a tenth of what engines read in a minute was read again by them.
    """

    def __init__(
        self, *, folder: Path, table: EndpointTable, placements: Placements, events: EventLog
    ) -> None:
        """Take the folder and what is kept."""
        self._path = folder / _FILE_NAME
        self._table = table
        self._placements = placements
        self._events = events
        self._pool = ThreadPool(1)
        self._written = (0, 0)
        self._is_write_scheduled = False

    def load(self, *, now: float) -> None:
        """Take over what the file holds; ``now`` is of the steady clock."""
        try:
            content = msgspec.msgpack.decode(self._path.read_bytes(), type=_Content)
        except FileNotFoundError:
            return
        except (OSError, msgspec.MsgspecError) as error:
            self._events.write("restart_file_not_read", detail=str(error))
            return
        # The time of day may have jumped back meanwhile.
        passed_s = max(0.0, time.time() - content.written_at)
        placed = [
            msgspec.structs.replace(one, age_s=one.age_s + passed_s) for one in content.placed
        ]
        self._table.restore(content.records, now=now)
        self._placements.note(placed, now=now)
        self._events.write(
            "restart_file_read", endpoints=len(content.records), placements=len(placed)
        )

    def schedule_write(self) -> None:
        """Write after a moment, if anything has changed."""
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
            self._pool.apply(write_file, (self._path, [data], Calls()))
        except OSError as error:
            # A full disk; the copy is old then, and nothing else depends on it.
            self._events.write("restart_file_not_written", detail=str(error))
