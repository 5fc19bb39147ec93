"""Backups, which hold the state at one index, and data folders created from them."""

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
    """Return a new replica id with a random part.

    ``random`` must use the system's random source, so that no id is ever used twice: a
    replica with an empty disk under a used id could vote twice in one term.
    """
    return f"{instance_id}.{random.getrandbits(_ID_BITS):012x}"


def make_first_snapshot(identity: Identity) -> Snapshot:
    """Return the first snapshot of a new log, whose only voter is this replica."""
    return Snapshot(index=1, term=1, members=_make_members(identity))


def _make_members(identity: Identity) -> Members:
    member = Member(replica_id=identity.replica_id, instance_id=identity.instance_id, voter=True)
    return Members(members=(member,))


def write_backup(path: Path, snapshot: Snapshot, *, calls: SystemCalls | None = None) -> None:
    """Write a snapshot as a backup file, which appears only once it is complete and synced."""
    try:
        write_snapshot(path, snapshot, calls or SystemCalls())
    except OSError as error:
        raise WriteFailedError(path, str(error)) from error


def read_backup(path: Path) -> Snapshot:
    """Read a backup; raise ``DamagedFileError`` if its content is damaged or incomplete."""
    return read_snapshot(path)


def restore_backup(
    path: Path, *, folder: Path, identity: Identity, calls: SystemCalls | None = None
) -> None:
    """Create a data folder from a backup, for a new replica that is the only voter.

    The log continues after the index of the backup, in a later term. The replicas of the
    previous log must stay stopped; further replicas are added as new learners.
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
    """Create a data folder from that of a stopped replica, for a new one that is the only voter.

    To be used if the disks of a majority are permanently lost. All entries in the source
    folder are kept, including uncommitted ones; entries that it lacks are lost. Choose the
    remaining replica with the highest last term, then the highest last index, which this
    function returns. All other replicas of the previous log must never be started again,
    since they could elect a leader of their own.
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
