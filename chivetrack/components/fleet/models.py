"""Messages and events about the leader of the log."""

from dataclasses import dataclass

from chivetrack.core import Event
from chivetrack.helpers.codec import Message, message

TOPIC_LEADER = "leader"
ROLE_REPLICA = "replica"


@message("fleet.leader")
class LeaderRecord(Message, frozen=True, array_like=True):
    """The publishing instance leads in this term and holds this revision."""

    term: int
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LeadershipStatus(Event):
    """Leader and term as known to the replica of this instance; ``leads``: it is the leader."""

    term: int
    leader: str
    leads: bool
