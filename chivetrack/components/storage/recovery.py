"""Recovery of the log from the segments of a folder."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

from chivetrack.components.consensus.messages import Entry
from chivetrack.components.consensus.models import HardState, Snapshot
from chivetrack.components.storage.exceptions import DamagedFileError
from chivetrack.components.storage.frames import ScanResult, scan_frames
from chivetrack.components.storage.records import SegmentHeader, Truncation
from chivetrack.helpers.codec import Message

UNKNOWN_TERM: Final = -1


@dataclass(slots=True, kw_only=True)
class Segment:
    """A segment file; ``last_index`` is the highest index of an entry in it."""

    path: Path
    number: int
    last_index: int = 0


@dataclass(slots=True, kw_only=True)
class RecoveredLog:
    """The part of the log that has been read: the entries after ``base_index``."""

    hard_state: HardState = HardState()
    base_index: int = 0
    base_term: int = 0
    entries: list[Entry] = field(default_factory=list)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self.entries)

    def find_term(self, index: int) -> int | None:
        """Return the term of the entry at ``index``, or ``None`` if it was not read."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def truncate(self, index: int) -> None:
        """Drop the entries from ``index`` on.

        ``index`` may precede the base if its segment was deleted. A later snapshot then
        covers that part of the log, and the unknown term is never needed.
        """
        if index <= self.base_index:
            self.base_index = index - 1
            self.base_term = UNKNOWN_TERM
        del self.entries[max(0, index - self.base_index - 1) :]

    def restart(self, header: SegmentHeader) -> None:
        """Drop all entries and continue after the base of a segment."""
        self.entries.clear()
        self.base_index = header.base_index
        self.base_term = header.base_term


def read_segment(path: Path, *, is_last: bool) -> ScanResult:
    """Read one segment; only the last one may end with a torn frame."""
    return scan_frames(path.read_bytes(), path=path, may_be_torn=is_last)


class SegmentReader:
    """Rebuilds the log from the records of segments, which must be read in order."""

    def __init__(self, *, snapshot: Snapshot) -> None:
        """Start before the first segment; ``snapshot`` is the latest one in the folder."""
        self._snapshot = snapshot
        self._is_first = True
        self._replaced_before = 0
        self.recovered_log = RecoveredLog()

    def read(self, segment: Segment, records: Sequence[Message]) -> None:
        """Add the records of the next segment."""
        if not records or not isinstance(records[0], SegmentHeader):
            raise DamagedFileError(segment.path, 0, "the segment has no header")
        self._read_header(segment, records[0])
        for record in records[1:]:
            self._read_record(segment, record)

    def _read_header(self, segment: Segment, header: SegmentHeader) -> None:
        recovered_log = self.recovered_log
        follows = (recovered_log.last_index, recovered_log.find_term(recovered_log.last_index)) == (
            header.base_index,
            header.base_term,
        )
        # A snapshot from the leader replaced the log, but older segments were left by a crash.
        replaced = (self._snapshot.index, self._snapshot.term) == (
            header.base_index,
            header.base_term,
        )
        if not (self._is_first or follows or replaced):
            raise DamagedFileError(segment.path, 0, "the segment does not follow the one before")
        if not follows:
            recovered_log.restart(header)
            self._replaced_before = segment.number
        self._is_first = False
        recovered_log.hard_state = header.hard_state

    def _read_record(self, segment: Segment, record: Message) -> None:
        recovered_log = self.recovered_log
        match record:
            case HardState():
                recovered_log.hard_state = record
            case Truncation():
                recovered_log.truncate(record.index)
            case Entry():
                self._append_entry(segment, record)
            case _:
                raise DamagedFileError(segment.path, 0, f"a {type(record).__name__} in the log")

    def _append_entry(self, segment: Segment, entry: Entry) -> None:
        if entry.index != self.recovered_log.last_index + 1:
            raise DamagedFileError(segment.path, 0, f"entry {entry.index} does not follow")
        self.recovered_log.entries.append(entry)
        segment.last_index = max(segment.last_index, entry.index)

    @property
    def includes_snapshot(self) -> bool:
        """Return whether the log contains the snapshot's last entry.

        Otherwise the snapshot came from the leader, and a crash happened before it could
        replace the log.
        """
        return self.recovered_log.find_term(self._snapshot.index) == self._snapshot.term

    def is_replaced(self, segment: Segment) -> bool:
        """Return whether a segment belongs to a log that a snapshot has replaced."""
        return not self.includes_snapshot or segment.number < self._replaced_before

    def list_entries(self) -> tuple[Entry, ...]:
        """Return the entries after the snapshot."""
        recovered_log = self.recovered_log
        if not self.includes_snapshot:
            return ()
        return tuple(recovered_log.entries[self._snapshot.index - recovered_log.base_index :])
