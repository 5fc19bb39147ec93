"""Storage of the log, the vote and the snapshot of one replica in its data folder."""

import os
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

from chivetrack.components.consensus.models import HardState, Persist, Recovered, Snapshot
from chivetrack.components.storage.const import (
    IDENTITY_NAME,
    SEGMENT_BYTES,
    SEGMENT_PREFIX,
    SNAPSHOT_PREFIX,
    TEMPORARY_SUFFIX,
)
from chivetrack.components.storage.exceptions import (
    DamagedFileError,
    FolderEmptyError,
    FolderExistsError,
    WriteFailedError,
)
from chivetrack.components.storage.files import (
    SystemCalls,
    hold_lock,
    sync_folder,
    truncate_file,
    write_all,
    write_file,
)
from chivetrack.components.storage.frames import encode_frame, scan_frames
from chivetrack.components.storage.records import Identity, SegmentHeader, Truncation
from chivetrack.components.storage.recovery import Segment, SegmentReader, read_segment
from chivetrack.components.storage.snapshots import read_snapshot, write_snapshot
from chivetrack.helpers.codec import Message


def create_folder(
    path: Path,
    *,
    identity: Identity,
    snapshot: Snapshot | None = None,
    calls: SystemCalls | None = None,
) -> None:
    """Create the data folder of a new replica.

    Without a snapshot, the replica waits to be added as a learner. With a snapshot, whose
    members must include the replica, it starts a new log, possibly from a backup. The
    replica id must never have been used before; see ``make_replica_id``.
    """
    calls = calls or SystemCalls()
    path.mkdir(parents=True, exist_ok=True)
    with hold_lock(path):
        if (path / IDENTITY_NAME).exists():
            raise FolderExistsError(path)
        for leftover in _list_files(path, SNAPSHOT_PREFIX):
            raise FolderExistsError(leftover)
        try:
            first = snapshot or Snapshot()
            _save_snapshot(path, first, calls)
            _write_header(path, 1, HardState(term=first.term), (first.index, first.term), calls)
            write_file(path / IDENTITY_NAME, [encode_frame([identity])], calls)
            sync_folder(path.parent, calls)
        except OSError as error:
            raise WriteFailedError(path, str(error)) from error


@contextmanager
def open_storage(*, path: Path, calls: SystemCalls | None = None) -> Iterator["Storage"]:
    """Lock a folder, recover its state, and close it at the end of the context.

    Raises ``FolderEmptyError`` for a folder without identity, ``FolderLockedError``,
    ``DamagedFileError`` or ``WriteFailedError``.
    """
    if not path.is_dir():
        raise FolderEmptyError(path)
    with hold_lock(path):
        try:
            storage = Storage(path=path, calls=calls or SystemCalls())
        except OSError as error:
            raise WriteFailedError(path, str(error)) from error
        try:
            yield storage
        finally:
            storage.close()


def _list_files(path: Path, prefix: str) -> list[Path]:
    names = sorted(path.glob(f"{prefix}*"))
    return [one for one in names if one.suffix != TEMPORARY_SUFFIX]


def _get_number(path: Path, prefix: str) -> int:
    return int(path.name.removeprefix(prefix))


def _save_snapshot(path: Path, snapshot: Snapshot, calls: SystemCalls) -> None:
    name = f"{SNAPSHOT_PREFIX}{snapshot.index:020d}"
    write_snapshot(path / name, snapshot, calls)
    for old in _list_files(path, SNAPSHOT_PREFIX):
        if old.name < name:
            old.unlink()


def _write_header(
    folder: Path, number: int, hard_state: HardState, end: tuple[int, int], calls: SystemCalls
) -> Path:
    path = folder / f"{SEGMENT_PREFIX}{number:016d}"
    header = SegmentHeader(hard_state=hard_state, base_index=end[0], base_term=end[1])
    write_file(path, [encode_frame([header])], calls)
    return path


def _find_end(recovered: Recovered) -> tuple[int, int]:
    if recovered.entries:
        return (recovered.entries[-1].index, recovered.entries[-1].term)
    return (recovered.snapshot.index, recovered.snapshot.term)


def _read_single_record(path: Path) -> Message:
    records = scan_frames(path.read_bytes(), path=path, may_be_torn=False).records
    if len(records) != 1:
        raise DamagedFileError(path, 0, "expected exactly one record")
    return records[0]


class Storage:
    """An open data folder, created by ``open_storage``, which holds the lock."""

    def __init__(self, *, path: Path, calls: SystemCalls) -> None:
        """Recover the state, remove a torn last frame and begin a new segment."""
        self._path = path
        self._calls = calls
        self._failed = ""
        self._segments: list[Segment] = []
        self._descriptor = -1
        self._size = 0
        self._replaced_segments = 0
        self.identity = self._read_identity()
        recovered = self._recover()
        self._recovered: Recovered | None = recovered
        self._hard_state = recovered.hard_state
        self._snapshot_index = recovered.snapshot.index
        self._end = _find_end(recovered)
        self._begin_segment()
        self._drop_segments(self._replaced_segments)
        self._drop_covered_segments()

    @property
    def failed(self) -> str:
        """Return the reason of a failed write, or an empty string."""
        return self._failed

    def pop_recovered(self) -> Recovered:
        """Return the recovered state and drop it, so that memory holds no second copy.

        Raises ``ValueError`` at a second call.
        """
        recovered, self._recovered = self._recovered, None
        if recovered is None:
            raise ValueError("the recovered state was taken before")
        return recovered

    def close(self) -> None:
        """Close the current segment."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def save(self, persists: Sequence[Persist]) -> None:
        """Write and sync all changes in order, with as few syncs as possible.

        Raises ``WriteFailedError`` if a write fails, and at every later call.
        """
        if self._failed:
            raise WriteFailedError(self._path, f"{self._failed}; reopen the folder")
        try:
            self._save(persists)
        except OSError as error:
            self._failed = str(error)
            raise WriteFailedError(self._path, str(error)) from error

    def _save(self, persists: Sequence[Persist]) -> None:
        records: list[Message] = []
        for persist in persists:
            if persist.snapshot is not None:
                self._write(records)
                records = []
                self._install_snapshot(persist.snapshot, reset=persist.reset)
            records += self._make_records(persist)
            self._end = (persist.last_index, persist.last_term)
        self._write(records)
        if self._size >= SEGMENT_BYTES:
            self._begin_segment()

    def _make_records(self, persist: Persist) -> list[Message]:
        records: list[Message] = []
        if persist.hard_state is not None:
            self._hard_state = persist.hard_state
            records.append(persist.hard_state)
        if persist.truncate_from is not None:
            records.append(Truncation(index=persist.truncate_from))
        if persist.entries:
            last = max(self._segments[-1].last_index, persist.entries[-1].index)
            self._segments[-1].last_index = last
        return [*records, *persist.entries]

    def _write(self, records: list[Message]) -> None:
        if not records:
            return
        frame = encode_frame(records)
        write_all(self._descriptor, frame, self._calls)
        self._calls.sync(self._descriptor)
        self._size += len(frame)

    def _install_snapshot(self, snapshot: Snapshot, *, reset: bool) -> None:
        _save_snapshot(self._path, snapshot, self._calls)
        self._snapshot_index = snapshot.index
        before = len(self._segments)
        if reset:
            self._end = (snapshot.index, snapshot.term)
        self._begin_segment()
        self._drop_segments(before if reset else 0)
        self._drop_covered_segments()

    def _begin_segment(self) -> None:
        """Begin a segment, whose file appears only once its header is synced."""
        number = self._segments[-1].number + 1
        path = _write_header(self._path, number, self._hard_state, self._end, self._calls)
        self.close()
        self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND)
        self._size = 0
        self._segments.append(Segment(path=path, number=number))

    def _drop_covered_segments(self) -> None:
        """Delete the oldest segments whose entries are all covered by the snapshot."""
        while len(self._segments) > 1 and self._segments[0].last_index <= self._snapshot_index:
            self._drop_segments(1)

    def _drop_segments(self, count: int) -> None:
        """Delete the oldest segments, and sync each deletion before the next.

        If an older segment reappeared after a crash and a later one did not, the gap would
        be reported as damage.
        """
        for segment in self._segments[:count]:
            segment.path.unlink()
            sync_folder(self._path, self._calls)
        del self._segments[:count]

    def _read_identity(self) -> Identity:
        path = self._path / IDENTITY_NAME
        if not path.exists():
            raise FolderEmptyError(self._path)
        identity = _read_single_record(path)
        if not isinstance(identity, Identity):
            raise DamagedFileError(path, 0, "the file holds no identity")
        return identity

    def _recover(self) -> Recovered:
        snapshot = self.load_snapshot()
        reader = SegmentReader(snapshot=snapshot)
        self._segments = self._list_segments()
        for segment in self._segments:
            is_last = segment is self._segments[-1]
            scan = read_segment(segment.path, is_last=is_last)
            if scan.end < segment.path.stat().st_size:
                truncate_file(segment.path, scan.end, self._calls)
            reader.read(segment, scan.records)
        if reader.recovered_log.base_index > snapshot.index:
            path = self._segments[0].path
            raise DamagedFileError(path, 0, "entries before this segment are missing")
        self._replaced_segments = sum(1 for one in self._segments if reader.is_replaced(one))
        hard_state = reader.recovered_log.hard_state
        if hard_state.term < snapshot.term:
            hard_state = HardState(term=snapshot.term)
        return Recovered(hard_state=hard_state, snapshot=snapshot, entries=reader.list_entries())

    def load_snapshot(self) -> Snapshot:
        """Return the latest snapshot."""
        paths = _list_files(self._path, SNAPSHOT_PREFIX)
        if not paths:
            raise DamagedFileError(self._path, 0, "the snapshot is missing")
        return read_snapshot(paths[-1])

    def _list_segments(self) -> list[Segment]:
        paths = _list_files(self._path, SEGMENT_PREFIX)
        if not paths:
            raise DamagedFileError(self._path, 0, "the log is missing")
        segments = [Segment(path=one, number=_get_number(one, SEGMENT_PREFIX)) for one in paths]
        for before, after in zip(segments, segments[1:], strict=False):
            if after.number != before.number + 1:
                raise DamagedFileError(after.path, 0, "the segment before it is missing")
        return segments
