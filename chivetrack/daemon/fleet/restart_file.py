"""Keeps the endpoints that a replica knows in a file, for the time after a restart."""

from pathlib import Path

import gevent
import msgspec
from gevent.threadpool import ThreadPool

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.storage.files import Calls, write_file
from chivetrack.helpers.events import EventLog

_FILE_NAME = "endpoints"
# Changes within so long are written together; a disk takes a sync in some ms.
_WRITE_AFTER_S = 0.3


class EndpointFile:
    """A copy that may be old: what it says holds only until endpoints are heard again.

    After all replicas lost power, routers would know of no endpoint until the next
    heartbeats, more than a second later than of the configuration.
    """

    def __init__(self, *, folder: Path, table: EndpointTable, events: EventLog) -> None:
        """Take the folder and the table that is kept."""
        self._path = folder / _FILE_NAME
        self._table = table
        self._events = events
        self._pool = ThreadPool(1)
        self._written = 0
        self._is_due = False

    def load(self, *, now: float) -> None:
        """Put what the file holds into the table."""
        try:
            data = self._path.read_bytes()
            records = msgspec.msgpack.decode(data, type=list[EndpointRecord])
        except FileNotFoundError:
            return
        except (OSError, msgspec.MsgspecError) as error:
            self._events.write("endpoints_not_read", detail=str(error))
            return
        self._table.restore(records, now=now)
        self._events.write("endpoints_restored", count=len(records))

    def write_soon(self) -> None:
        """Write the table after a moment, if it has changed."""
        if not self._is_due and self._table.change != self._written:
            self._is_due = True
            gevent.spawn_later(_WRITE_AFTER_S, self._write)

    def _write(self) -> None:
        self._is_due = False
        self._written = self._table.change
        data = msgspec.msgpack.encode(list(self._table.list_records()))
        try:
            self._pool.apply(write_file, (self._path, [data], Calls()))
        except OSError as error:
            # A full disk; the copy is old then, and nothing else depends on it.
            self._events.write("endpoints_not_written", detail=str(error))
