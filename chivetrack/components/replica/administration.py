"""What operators ask of the log itself, in the place of a command or a query."""

from chivetrack.components.consensus.members import ChangeKind
from chivetrack.helpers.codec import Message, message


@message("replica.change")
class ChangeReplica(Message, frozen=True, array_like=True):
    """Add a replica as a learner, or remove one for good."""

    kind: ChangeKind
    replica_id: str


@message("replica.backup")
class TakeBackup(Message, frozen=True, array_like=True):
    """Return the whole state as a backup file's content."""


@message("replica.status")
class ReadLogStatus(Message, frozen=True, array_like=True):
    """Return what the leader knows of the replicas, as JSON."""


def get_instance_id(replica_id: str) -> str:
    """Return the instance that a replica id was made for."""
    return replica_id.rpartition(".")[0]


@message("replica.refusal")
class LeaderRefusal(Message, frozen=True, array_like=True):
    """The leader refused for good; another try would be refused too."""

    code: str
    text: str
    status: int
