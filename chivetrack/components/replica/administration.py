"""Administrative requests to the replicated log, sent like commands and queries."""

from chivetrack.components.consensus.members import ChangeKind
from chivetrack.exceptions import Fault, Ran
from chivetrack.helpers.codec import DecodeError, Message, message, pack, unpack


@message("replica.change")
class ChangeReplica(Message, frozen=True, array_like=True):
    """Add a replica as a learner, or remove one permanently."""

    kind: ChangeKind
    replica_id: str


@message("replica.backup")
class TakeBackup(Message, frozen=True, array_like=True):
    """Request the whole state, in the form of a backup file."""


@message("replica.status")
class ReadLogStatus(Message, frozen=True, array_like=True):
    """Request the status of all replicas as known to the leader, as JSON."""


def get_instance_id(replica_id: str) -> str:
    """Return the instance part of a replica id: everything before the last dot."""
    return replica_id.rpartition(".")[0]


@message("replica.refusal")
class LeaderRefusal(Message, frozen=True, array_like=True):
    """A refusal by the leader that a retry would not change."""

    code: str
    text: str
    status: int


def pack_refusal(fault: Fault) -> bytes:
    """Return the fault as the packed result of a submission."""
    return pack(LeaderRefusal(fault.code, fault.message, fault.status))


def find_refusal(result: bytes) -> Fault | None:
    """Return the fault that the result of a submission reports; ``None`` for an answer."""
    try:
        refusal = unpack(result)
    except DecodeError:
        return None
    if not isinstance(refusal, LeaderRefusal):
        return None
    return Fault(code=refusal.code, message=refusal.text, status=refusal.status, ran=Ran.NO)
