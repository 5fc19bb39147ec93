"""Stores which software versions a replica has confirmed, over restarts and losses of power."""

from pathlib import Path

import msgspec
from gevent.threadpool import ThreadPool

from chivetrack.components.origins.models import Origin
from chivetrack.components.storage.files import SystemCalls, write_file
from chivetrack.helpers.events import EventLog

_FILE_NAME = "origins"


class StoredOrigins(msgspec.Struct, frozen=True, array_like=True):
    """The content of the file.

    ``is_complete``: no version confirmed before it is missing. ``lost`` are those of ``origins``
    whose endpoints were lost; files of earlier releases lack them.
    """

    is_complete: bool
    origins: frozenset[Origin] = frozenset()
    lost: frozenset[Origin] = frozenset()


class OriginFile:
    """A file that holds every version of which a replica has confirmed the registration."""

    def __init__(self, *, folder: Path, events: EventLog) -> None:
        """Set the folder of the file."""
        self._path = folder / _FILE_NAME
        self._events = events
        self._pool = ThreadPool(1)

    def load(self) -> StoredOrigins | None:
        """Return the content, ``None`` without a readable file."""
        try:
            return msgspec.msgpack.decode(self._path.read_bytes(), type=StoredOrigins)
        except FileNotFoundError:
            return None
        except (OSError, msgspec.MsgspecError) as error:
            self._events.write("origins_not_read", detail=str(error))
            return None

    def save(self, content: StoredOrigins) -> bool:
        """Write the file to the disk; return whether that succeeded."""
        try:
            self._pool.apply(
                write_file, (self._path, [msgspec.msgpack.encode(content)], SystemCalls())
            )
        except OSError as error:
            self._events.write("origins_not_written", detail=str(error))
            return False
        return True
