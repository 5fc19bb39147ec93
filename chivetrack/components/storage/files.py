"""File operations that return only after the data is synced."""

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
    """The system calls that may fail, replaceable by tests."""

    write: Callable[[int, bytes], int] = os.write
    sync: Callable[[int], None] = os.fsync


def write_all(descriptor: int, data: bytes, calls: SystemCalls) -> None:
    """Write all of the data, with further calls after a partial write."""
    written = 0
    while written < len(data):
        written += calls.write(descriptor, data[written:] if written else data)


def sync_folder(path: Path, calls: SystemCalls) -> None:
    """Sync the directory entries of a folder."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        calls.sync(descriptor)
    finally:
        os.close(descriptor)


def write_file(path: Path, parts: Iterable[bytes], calls: SystemCalls) -> None:
    """Create or replace a file atomically: after a crash it has the old or the new content."""
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
    """Truncate a file to ``size`` bytes and sync it."""
    descriptor = os.open(path, os.O_WRONLY)
    try:
        os.ftruncate(descriptor, size)
        calls.sync(descriptor)
    finally:
        os.close(descriptor)


@contextmanager
def hold_lock(folder: Path) -> Iterator[None]:
    """Hold an exclusive lock on a folder, which the kernel releases if the process dies.

    Raises ``FolderLockedError`` if another process holds the lock. Without a lock, two
    processes could append to one log and overwrite each other's acknowledged entries.
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
