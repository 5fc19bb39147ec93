"""The records in the data folder, besides entries, hard states and snapshots."""

from chivetrack.components.consensus.members import Members
from chivetrack.components.consensus.models import HardState
from chivetrack.helpers.codec import Message, message


@message("storage.identity")
class Identity(Message, frozen=True, array_like=True):
    """Whose folder it is.

    ``founders`` are the instances that were to found the log together, in a folder that was
    made at the first start of the deployment.
    """

    replica_id: str
    instance_id: str
    bootstrap_instances: tuple[str, ...] = ()


@message("storage.segment_header")
class SegmentHeader(Message, frozen=True, array_like=True):
    """The first record of a segment: what held when it was begun.

    ``base_index`` and ``base_term`` are the end of the log before it.
    """

    hard_state: HardState
    base_index: int
    base_term: int


@message("storage.snapshot_header")
class SnapshotHeader(Message, frozen=True, array_like=True):
    """The first record of a snapshot file; ``size`` bytes of state follow in pieces."""

    index: int
    term: int
    members: Members
    size: int


@message("storage.snapshot_piece")
class SnapshotPiece(Message, frozen=True, array_like=True):
    """The next bytes of the state."""

    data: bytes


@message("storage.truncation")
class Truncation(Message, frozen=True, array_like=True):
    """All entries from ``index`` on are dropped."""

    index: int
