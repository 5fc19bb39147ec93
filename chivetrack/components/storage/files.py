"""Files that are synced before the caller goes on."""

import fcntl
import os
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from chivetrack.components.storage.const import LOCK_NAME, TEMPORARY_SUFFIX
from chivetrack.components.storage.exceptions import FolderLockedError


@dataclass(frozen=True, slots=True, kw_only=True)
class SystemCalls:
    """The system calls that may fail; a test hands in others."""

    write: Callable[[int, bytes], int] = os.write
    sync: Callable[[int], None] = os.fsync


def write_all(descriptor: int, data: bytes, calls: SystemCalls) -> None:
    """Write all of the data; a call may take only a part."""
    written = 0
    while written < len(data):
        written += calls.write(descriptor, data[written:] if written else data)


def sync_folder(path: Path, calls: SystemCalls) -> None:
    """Sync the names in a folder."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        calls.sync(descriptor)
    finally:
        os.close(descriptor)


def write_file(path: Path, parts: Iterable[bytes], calls: SystemCalls) -> None:
    """Create or replace a file as a whole: after a crash it is the old or the new one."""
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        for part in parts:
            write_all(descriptor, part, calls)
        calls.sync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(temporary, path)
    sync_folder(path.parent, calls)


def truncate_file(path: Path, size: int, calls: SystemCalls) -> None:
    """Cut a file off and sync it."""
    descriptor = os.open(path, os.O_WRONLY)
    try:
        os.ftruncate(descriptor, size)
        calls.sync(descriptor)
    finally:
        os.close(descriptor)


@contextmanager
def hold_lock(folder: Path) -> Iterator[None]:
    """Keep other processes out of a folder; the kernel frees it when this one dies.

    Two processes that append to one log would both be acknowledged and overwrite
    each other.
    """
    descriptor = os.open(folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        os.close(descriptor)
        raise FolderLockedError(folder) from error
    try:
        yield
    finally:
        os.close(descriptor)
