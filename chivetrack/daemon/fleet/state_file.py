"""A replica's copy of state on its disk, from which it goes on after a restart."""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Generic, TypeVar

import gevent
import msgspec
from gevent.threadpool import ThreadPool

from chivetrack.components.storage.files import SystemCalls, write_file
from chivetrack.helpers.codec import EncodeError
from chivetrack.helpers.events import EventLog


class StateContent(msgspec.Struct, array_like=True):
    """The content of a file; ``written_at`` is the Unix time (s) of the write."""

    written_at: float

    def get_age(self) -> float:
        """Return the time since the write (s); the wall clock may have been set back since."""
        return max(0.0, time.time() - self.written_at)


ContentT = TypeVar("ContentT", bound=StateContent)


class StateFile(Generic[ContentT]):
    """A possibly outdated copy of state, written some time after the state has changed.

    ``name`` is that of the file and the first part of the names of its events.
    """

    def __init__(
        self,
        *,
        folder: Path,
        name: str,
        content_type: type[ContentT],
        write_delay_s: float,
        get_change: Callable[[], tuple[int, ...]],
        make_content: Callable[[], ContentT],
        events: EventLog,
    ) -> None:
        """Set the file and the callbacks.

        ``get_change`` returns counters of the changes of the state, ``make_content`` the state.
        """
        self._path = folder / name
        self._name = name
        self._decoder = msgspec.msgpack.Decoder(content_type)
        self._write_delay_s = write_delay_s
        self._get_change = get_change
        self._make_content = make_content
        self._events = events
        self._pool = ThreadPool(1)
        self._written = get_change()
        self._is_scheduled = False
        self._is_writing = False
        self._is_requested = False

    @property
    def exists(self) -> bool:
        """Return whether an earlier process of this replica has written the file."""
        return self._path.exists()

    @property
    def is_outdated(self) -> bool:
        """Return whether the last change has not been written yet."""
        is_under_way = self._is_scheduled or self._is_writing
        return is_under_way or self._get_change() != self._written

    def load(self) -> ContentT | None:
        """Return the content, ``None`` without a readable file."""
        try:
            return self._decoder.decode(self._path.read_bytes())
        except FileNotFoundError:
            return None
        except (OSError, msgspec.MsgspecError) as error:
            self._events.write(f"{self._name}_file_not_read", detail=str(error))
            return None

    def schedule_write(self) -> None:
        """Schedule a write if the state has changed; only one is under way at a time."""
        if self._is_scheduled or self._get_change() == self._written:
            return
        if self._is_writing:
            self._is_requested = True
            return
        self._is_scheduled = True
        gevent.spawn_later(self._write_delay_s, self._write)

    def _write(self) -> None:
        self._is_scheduled = False
        self._is_writing = True
        self._written = self._get_change()
        try:
            data = msgspec.msgpack.encode(self._make_content())
            self._pool.apply(write_file, (self._path, [data], SystemCalls()))
        except (OSError, OverflowError, EncodeError) as error:
            # The disk may be full, or a number too wide to be written. The copy is outdated
            # then; no other component relies on it.
            self._events.write(f"{self._name}_file_not_written", detail=str(error))
        finally:
            self._is_writing = False
        # State that changes all the time is written as often as that is asked for, not more often.
        if self._is_requested:
            self._is_requested = False
            self.schedule_write()
