"""Records in the data folder, in addition to entries, hard states and snapshots."""

from chivetrack.components.consensus.members import Members
from chivetrack.components.consensus.models import HardState
from chivetrack.helpers.codec import Message, message


@message("storage.identity")
class Identity(Message, frozen=True, array_like=True):
    """The replica to which a folder belongs.

    ``bootstrap_instances`` are the instances that create the first log together. They are
    set only in a folder that was created at the first start of the deployment.
    """

    replica_id: str
    instance_id: str
    bootstrap_instances: tuple[str, ...] = ()


@message("storage.segment_header")
class SegmentHeader(Message, frozen=True, array_like=True):
    """The first record of a segment, with the state when the segment was created.

    ``base_index`` and ``base_term`` are those of the last entry before the segment.
    """

    hard_state: HardState
    base_index: int
    base_term: int


@message("storage.snapshot_header")
class SnapshotHeader(Message, frozen=True, array_like=True):
    """The first record of a snapshot file; ``SnapshotPiece`` records with ``size`` bytes follow."""

    index: int
    term: int
    members: Members
    size: int


@message("storage.snapshot_piece")
class SnapshotPiece(Message, frozen=True, array_like=True):
    """The next part of the state in a snapshot file."""

    data: bytes


@message("storage.truncation")
class Truncation(Message, frozen=True, array_like=True):
    """Marks all entries from ``index`` on as dropped."""

    index: int
