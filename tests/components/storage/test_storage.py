"""Tests of the data folder: recovery after crashes, and damage that is refused."""

import errno
import os
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from unittest import mock

from chivetrack.components.consensus.members import make_voters
from chivetrack.components.consensus.messages import Entry, EntryKind
from chivetrack.components.consensus.models import HardState, Persist, Recovered, Snapshot
from chivetrack.components.storage import create_folder, open_storage
from chivetrack.components.storage.backup import read_backup, restore_backup, write_backup
from chivetrack.components.storage.exceptions import (
    DamagedFileError,
    FolderEmptyError,
    FolderExistsError,
    FolderLockedError,
    WriteFailedError,
)
from chivetrack.components.storage.files import SystemCalls
from chivetrack.components.storage.frames import encode_frame
from chivetrack.components.storage.records import Identity, SnapshotPiece
from chivetrack.const import MEBIBYTE

IDENTITY = Identity(replica_id="a.1", instance_id="a")
FIRST = Snapshot(index=1, term=1, members=make_voters("a.1"))


def make_entries(first: int, last: int, *, term: int = 1) -> tuple[Entry, ...]:
    return tuple(
        Entry(index=one, term=term, kind=EntryKind.DATA, data=b"value-%d" % one)
        for one in range(first, last + 1)
    )


def make_persist(first: int, last: int, *, term: int = 1, cut: int | None = None) -> Persist:
    return Persist(
        hard_state=HardState(term=term, vote="b"),
        truncate_from=cut,
        entries=make_entries(first, last, term=term),
        last_index=last,
        last_term=term,
    )


def make_snapshot_persist(index: int, last: int, *, reset: bool, term: int = 1) -> Persist:
    snapshot = Snapshot(index=index, term=term, members=FIRST.members, data=b"state")
    return Persist(snapshot=snapshot, reset=reset, last_index=last, last_term=term)


class StorageTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        self.path = self.root / "data"
        create_folder(self.path, identity=IDENTITY, snapshot=FIRST)

    def save(self, *persists: Persist, calls: SystemCalls | None = None) -> None:
        with open_storage(path=self.path, calls=calls) as storage:
            for persist in persists:
                storage.save([persist])

    def recover(self) -> Recovered:
        with open_storage(path=self.path) as storage:
            return storage.pop_recovered()

    def get_last_segment(self) -> Path:
        return sorted(self.path.glob("log-*"))[-1]

    def test_saved_state_is_recovered(self) -> None:
        cases: dict[str, tuple[tuple[Persist, ...], tuple[Entry, ...]]] = {
            "nothing": ((), ()),
            "entries": ((make_persist(2, 5),), make_entries(2, 5)),
            "replaced": (
                (make_persist(2, 5), make_persist(3, 3, term=2, cut=3)),
                make_entries(2, 2) + make_entries(3, 3, term=2),
            ),
            "cut off": (
                (make_persist(2, 5), Persist(truncate_from=4, last_index=3, last_term=1)),
                make_entries(2, 3),
            ),
            "own snapshot": (
                (make_persist(2, 5), make_snapshot_persist(4, 5, reset=False), make_persist(6, 7)),
                make_entries(5, 7),
            ),
            "snapshot from the leader": (
                (
                    make_persist(2, 5),
                    make_snapshot_persist(4, 4, reset=True, term=3),
                    make_persist(5, 6, term=3),
                ),
                make_entries(5, 6, term=3),
            ),
        }
        for number, (name, (persists, entries)) in enumerate(cases.items()):
            with self.subTest(name):
                self.path = self.root / str(number)
                create_folder(self.path, identity=IDENTITY, snapshot=FIRST)
                self.save(*persists)
                recovered = self.recover()
                self.assertEqual(recovered.entries, entries)
                self.assertEqual(
                    self.recover(), recovered, "a second start recovers the same state"
                )
                if persists:
                    self.assertEqual(recovered.hard_state.vote, "b")

    def test_many_records_need_one_sync(self) -> None:
        syncs: list[int] = []
        calls = SystemCalls(sync=syncs.append)
        with open_storage(path=self.path, calls=calls) as storage:
            syncs.clear()
            storage.save([make_persist(2, 50), make_persist(51, 99)])
        self.assertEqual(len(syncs), 1)

    def test_torn_last_record_is_cut_off(self) -> None:
        """The process crashes during a write: the last frame is too short, or some of its
        sectors were never written and read as zeros. It was never acknowledged, so the
        next start must remove it and continue after the frame before it."""
        tears: dict[str, Callable[[bytes, int], bytes]] = {
            "a byte is missing": lambda data, at: data[:-1],
            "only a part of the header": lambda data, at: data[: at + 7],
            "only zeros": lambda data, at: data[:at] + bytes(len(data) - at),
            "zeros at the end": lambda data, at: data[:-600] + bytes(600),
        }
        for number, (name, tear) in enumerate(tears.items()):
            with self.subTest(name):
                self.path = self.root / f"torn{number}"
                create_folder(self.path, identity=IDENTITY, snapshot=FIRST)
                with open_storage(path=self.path) as storage:
                    storage.save([make_persist(2, 9)])
                    start = self.get_last_segment().stat().st_size
                    storage.save([make_persist(10, 99)])
                segment = self.get_last_segment()
                segment.write_bytes(tear(segment.read_bytes(), start))
                self.assertEqual(self.recover().entries, make_entries(2, 9))
                self.save(make_persist(10, 12))
                self.assertEqual(self.recover().entries, make_entries(2, 12))

    def test_flipped_byte_refuses_to_start(self) -> None:
        """A synced byte has changed, in the middle or in the last frame. The frame may have
        been acknowledged, so the start must be refused with the file and offset."""
        with open_storage(path=self.path) as storage:
            storage.save([make_persist(2, 9)])
            middle = self.get_last_segment().stat().st_size
            storage.save([make_persist(10, 60)])
        segment = self.get_last_segment()
        whole = segment.read_bytes()
        places = {
            "first frame": (20, 0),
            "payload": (middle + 30, middle),
            "length": (middle + 1, middle),
            "checksum": (middle + 9, middle),
            "last byte": (len(whole) - 1, middle),
        }
        for name, (place, offset) in places.items():
            with self.subTest(name):
                damaged = bytearray(whole)
                damaged[place] ^= 0x10
                segment.write_bytes(damaged)
                with self.assertRaises(DamagedFileError) as caught:
                    self.recover()
                self.assertEqual(
                    (caught.exception.path, caught.exception.offset), (segment, offset)
                )
        segment.write_bytes(whole[:-1])
        self.save(make_persist(10, 12))
        older = sorted(self.path.glob("log-*"))[0]
        older.write_bytes(older.read_bytes()[:-1])
        with self.assertRaises(DamagedFileError) as caught:
            self.recover()
        self.assertEqual(caught.exception.path, older)

    def test_missing_segment_refuses_to_start(self) -> None:
        """One of several segments is missing, in one case a segment that holds only a vote."""
        vote = Persist(hard_state=HardState(term=3, vote="c"), last_index=5, last_term=1)
        self.save(make_persist(2, 5))
        self.save(vote)
        self.save(make_persist(6, 7))
        self.save(make_persist(8, 9))
        for index in (0, 1, 2):
            with self.subTest(index):
                segment = sorted(self.path.glob("log-*"))[index]
                whole = segment.read_bytes()
                segment.unlink()
                with self.assertRaises(DamagedFileError):
                    self.recover()
                segment.write_bytes(whole)

    def test_missing_log_or_snapshot_refuses_to_start(self) -> None:
        """All segments or all snapshots are missing, but the identity exists. A start would
        lose the vote and entries that this replica id has acknowledged."""
        for pattern in ("log-*", "snapshot-*"):
            with self.subTest(pattern):
                path = self.root / pattern[:3]
                create_folder(path, identity=IDENTITY)
                for file in path.glob(pattern):
                    file.unlink()
                with self.assertRaises(DamagedFileError), open_storage(path=path):
                    pass
                with self.assertRaises(FolderExistsError):
                    create_folder(path, identity=IDENTITY)

    def test_damaged_snapshot_refuses_to_start(self) -> None:
        snapshot = next(self.path.glob("snapshot-*"))
        snapshot.write_bytes(snapshot.read_bytes()[:-1])
        with self.assertRaises(DamagedFileError):
            self.recover()

    def test_full_disk(self) -> None:
        """A write fails half-way because the disk is full. Every later write must fail too,
        even if there is space again, since the last frame is torn. After reopening, all
        acknowledged entries must exist and writes must succeed."""
        full = [False]

        def write(descriptor: int, data: bytes) -> int:
            if not full[0]:
                return os.write(descriptor, data)
            os.write(descriptor, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

        with open_storage(path=self.path, calls=SystemCalls(write=write)) as storage:
            storage.save([make_persist(2, 5)])
            full[0] = True
            with self.assertRaises(WriteFailedError):
                storage.save([make_persist(6, 7)])
            full[0] = False
            with self.assertRaises(WriteFailedError):
                storage.save([make_persist(6, 7)])
        self.assertEqual(self.recover().entries, make_entries(2, 5))
        self.save(make_persist(6, 8))
        self.assertEqual(self.recover().entries, make_entries(2, 8))

    def test_failed_sync_acknowledges_nothing_more(self) -> None:
        """After a failed sync the kernel may drop the pages and report success for the next
        sync. Every later write must fail too."""
        failing = mock.Mock(side_effect=OSError(errno.EIO, "I/O error"))
        with open_storage(path=self.path) as storage:
            patch = mock.patch.object(storage, "_calls", SystemCalls(sync=failing))
            with patch, self.assertRaises(WriteFailedError):
                storage.save([make_persist(2, 5)])
            with self.assertRaises(WriteFailedError):
                storage.save([make_persist(2, 5)])

    def test_crash_between_snapshot_and_new_segment(self) -> None:
        """A snapshot from the leader replaces a conflicting log. A crash right after the
        snapshot file was renamed leaves the old entries in the folder. They must not be
        recovered, neither at the next start nor after a later snapshot."""
        self.save(make_persist(2, 30))
        persist = make_snapshot_persist(10, 10, reset=True, term=3)
        with open_storage(path=self.path) as storage:
            patch = mock.patch.object(storage, "_begin_segment", side_effect=OSError("crash"))
            with patch, self.assertRaises(WriteFailedError):
                storage.save([persist])
        self.assertEqual(self.recover().entries, ())
        self.save(make_persist(11, 14, term=3), make_snapshot_persist(12, 14, reset=False, term=3))
        self.assertEqual(self.recover().entries, make_entries(13, 14, term=3))

    def test_compaction_drops_segments(self) -> None:
        with open_storage(path=self.path) as storage:
            for start in range(2, 102, 10):
                end = start + 9
                storage.save([make_persist(start, end)])
                storage.save([make_snapshot_persist(end, end, reset=False)])
        self.assertEqual(len(list(self.path.glob("log-*"))), 1)
        self.assertEqual(len(list(self.path.glob("snapshot-*"))), 1)

    def test_folder_has_one_owner(self) -> None:
        """Two processes on one folder would overwrite each other's acknowledged entries.
        An empty folder must be refused, since its disk may have been lost."""
        with open_storage(path=self.path), self.assertRaises(FolderLockedError):
            self.recover()
        joining = self.root / "joining"
        create_folder(joining, identity=IDENTITY)
        for path in (self.path, joining):
            with self.assertRaises(FolderExistsError):
                create_folder(path, identity=IDENTITY)
        empty = self.root / "empty"
        empty.mkdir()
        with self.assertRaises(FolderEmptyError), open_storage(path=empty):
            pass
        with open_storage(path=self.path) as storage:
            self.assertEqual(storage.identity, IDENTITY)

    def test_backup_and_restore(self) -> None:
        """A backup is restored as a log of one new replica with the same state and index; a
        backup with a changed byte must be refused."""
        backup = self.root / "backup"
        write_backup(backup, Snapshot(index=70, term=4, members=FIRST.members, data=b"state"))
        folder = self.root / "restored"
        identity = Identity(replica_id="z.9", instance_id="z")
        restore_backup(backup, folder=folder, identity=identity)
        with open_storage(path=folder) as storage:
            recovered = storage.pop_recovered()
        self.assertEqual((recovered.snapshot.index, recovered.snapshot.data), (70, b"state"))
        self.assertEqual(recovered.snapshot.members.list_voters(), ["z.9"])
        self.assertGreater(recovered.hard_state.term, 4)
        damaged = bytearray(backup.read_bytes())
        damaged[-3] ^= 1
        backup.write_bytes(damaged)
        with self.assertRaises(DamagedFileError):
            read_backup(backup)

    def test_backup_that_ends_between_frames(self) -> None:
        """A copy of a backup is cut at the end of a frame: all checksums are correct, but
        the end of the state is missing."""
        backup = self.root / "backup"
        large = Snapshot(index=7, term=1, members=FIRST.members, data=bytes(3 * MEBIBYTE))
        write_backup(backup, large)
        self.assertEqual(read_backup(backup), large)
        whole = backup.read_bytes()
        backup.write_bytes(whole[: -len(whole) // 3])
        with self.assertRaises(DamagedFileError):
            read_backup(backup)
        last = len(encode_frame([SnapshotPiece(data=bytes(MEBIBYTE))]))
        backup.write_bytes(whole[:-last])
        with self.assertRaises(DamagedFileError):
            read_backup(backup)


if __name__ == "__main__":
    unittest.main()
