"""Errors of a data folder."""

from pathlib import Path

from chivetrack.exceptions import ChivetrackError


class StorageError(ChivetrackError):
    """Base class of the errors of a data folder."""


class FolderLockedError(StorageError):
    """Another process uses the folder."""

    def __init__(self, path: Path) -> None:
        """Name the folder."""
        super().__init__(f"{path} is in use by another process")


class FolderExistsError(StorageError):
    """The folder already belongs to a replica."""

    def __init__(self, path: Path) -> None:
        """Name the folder."""
        super().__init__(f"{path} already belongs to a replica")


class FolderEmptyError(StorageError):
    """The folder belongs to no replica: it is new, or its disk was lost."""

    def __init__(self, path: Path) -> None:
        """Name the folder."""
        super().__init__(f"{path} belongs to no replica; add a new one under a new id")


class DamagedFileError(StorageError):
    """The content of a file differs from what was synced."""

    def __init__(self, path: Path, offset: int, reason: str) -> None:
        """Name the file, the byte offset in it and the kind of damage."""
        super().__init__(f"{path} is damaged at offset {offset}: {reason}")
        self.path = path
        self.offset = offset


class WriteFailedError(StorageError):
    """A write or sync failed; all further writes fail until the folder is reopened.

    After a failed sync the kernel may have dropped the dirty pages and report success for
    the next sync, so a retry could acknowledge data that is not on disk.
    """

    def __init__(self, path: Path, reason: str) -> None:
        """Name the file or folder and the cause."""
        super().__init__(f"writing {path} failed: {reason}")
        self.path = path
