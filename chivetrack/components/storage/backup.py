"""A backup: the state at one index in one checksummed file, and a folder made from it."""

from pathlib import Path
from random import Random

from chivetrack.components.consensus.members import Member, Members
from chivetrack.components.consensus.messages import Entry, EntryKind
from chivetrack.components.consensus.models import HardState, Persist, Snapshot
from chivetrack.components.storage.exceptions import WriteFailedError
from chivetrack.components.storage.files import SystemCalls
from chivetrack.components.storage.records import Identity
from chivetrack.components.storage.snapshots import read_snapshot, write_snapshot
from chivetrack.components.storage.storage import create_folder, open_storage
from chivetrack.helpers.codec import pack

_ID_BITS = 48


def make_replica_id(*, instance_id: str, random: Random) -> str:
    """Return an id that no replica had before.

    The random part must come from the system's source: an empty disk under the id
    of the one before it could vote twice in one term.
    """
    return f"{instance_id}.{random.getrandbits(_ID_BITS):012x}"


def make_first_snapshot(identity: Identity) -> Snapshot:
    """Return the start of a new system, whose only voter is this replica."""
    return Snapshot(index=1, term=1, members=_make_members(identity))


def _make_members(identity: Identity) -> Members:
    member = Member(replica_id=identity.replica_id, instance_id=identity.instance_id, voter=True)
    return Members(members=(member,))


def write_backup(path: Path, snapshot: Snapshot, *, calls: SystemCalls | None = None) -> None:
    """Write a snapshot as a backup; the file appears only when it is whole and synced."""
    try:
        write_snapshot(path, snapshot, calls or SystemCalls())
    except OSError as error:
        raise WriteFailedError(path, str(error)) from error


def read_backup(path: Path) -> Snapshot:
    """Read a backup; raise ``DamagedFileError`` if a byte of it is wrong."""
    return read_snapshot(path)


def restore_backup(
    path: Path, *, folder: Path, identity: Identity, calls: SystemCalls | None = None
) -> None:
    """Make a folder with the state of a backup for a new replica, the only voter.

    The log goes on after the index of the backup, in a later term. The replicas of
    the system before must stay stopped; the others are added anew as learners.
    """
    backup = read_backup(path)
    snapshot = Snapshot(
        index=backup.index,
        term=backup.term + 1,
        members=_make_members(identity),
        data=backup.data,
    )
    create_folder(folder, identity=identity, snapshot=snapshot, calls=calls)


def rescue_folder(
    source: Path, *, folder: Path, identity: Identity, calls: SystemCalls | None = None
) -> int:
    """Make a folder for a new replica, the only voter, from that of a stopped survivor.

    For a majority whose disks are lost for good. All entries of the survivor are kept,
    also those that were never committed; what it lacks is lost. Take the survivor with
    the highest last term, then the highest last index (the return value). All other
    replicas of the system before must stay stopped for ever: they could elect a
    leader of their own.
    """
    calls = calls or SystemCalls()
    with open_storage(path=source) as storage:
        recovered = storage.pop_recovered()
    last = recovered.entries[-1].index if recovered.entries else recovered.snapshot.index
    term = recovered.hard_state.term + 1
    entry = Entry(
        index=last + 1, term=term, kind=EntryKind.MEMBERS, data=pack(_make_members(identity))
    )
    persist = Persist(
        hard_state=HardState(term=term),
        entries=(*recovered.entries, entry),
        last_index=last + 1,
        last_term=term,
    )
    create_folder(folder, identity=identity, snapshot=recovered.snapshot, calls=calls)
    with open_storage(path=folder, calls=calls) as storage:
        storage.save([persist])
    return last
