"""Snapshot and backup files: a header frame, then frames with pieces of the state.

Writing in pieces limits the memory needed in addition to the state itself.
"""

from collections.abc import Iterator
from pathlib import Path

from chivetrack.components.consensus.models import Snapshot
from chivetrack.components.storage.const import SNAPSHOT_FRAME_BYTES
from chivetrack.components.storage.exceptions import DamagedFileError
from chivetrack.components.storage.files import SystemCalls, write_file
from chivetrack.components.storage.frames import encode_frame, scan_frames
from chivetrack.components.storage.records import SnapshotHeader, SnapshotPiece


def write_snapshot(path: Path, snapshot: Snapshot, calls: SystemCalls) -> None:
    """Write a snapshot file, which appears only once it is complete and synced."""
    write_file(path, encode_snapshot(snapshot), calls)


def encode_snapshot(snapshot: Snapshot) -> Iterator[bytes]:
    """Yield the content of a snapshot file, frame by frame."""
    data = snapshot.data
    header = SnapshotHeader(
        index=snapshot.index, term=snapshot.term, members=snapshot.members, size=len(data)
    )
    yield encode_frame([header])
    for start in range(0, len(data), SNAPSHOT_FRAME_BYTES):
        yield encode_frame([SnapshotPiece(data=data[start : start + SNAPSHOT_FRAME_BYTES])])


def read_snapshot(path: Path) -> Snapshot:
    """Read a snapshot; raise ``DamagedFileError`` if its content is damaged or incomplete."""
    records = scan_frames(path.read_bytes(), path=path, may_be_torn=False).records
    header = records[0] if records else None
    if not isinstance(header, SnapshotHeader):
        raise DamagedFileError(path, 0, "not a snapshot")
    data = b"".join(one.data for one in records[1:] if isinstance(one, SnapshotPiece))
    if len(data) != header.size:
        raise DamagedFileError(path, path.stat().st_size, "the end is missing")
    return Snapshot(index=header.index, term=header.term, members=header.members, data=data)
