"""Members of the log: voters, learners and the retired ids of removed replicas."""

from collections.abc import Collection
from enum import StrEnum

from chivetrack.helpers.codec import Message, message


class ChangeKind(StrEnum):
    """Kinds of member changes; each change is one log entry."""

    ADD_LEARNER = "add_learner"
    PROMOTE = "promote"
    DEMOTE = "demote"
    REMOVE = "remove"


@message("log.member")
class Member(Message, frozen=True, array_like=True):
    """A replica and the instance on which it runs."""

    replica_id: str
    instance_id: str
    voter: bool


@message("log.members")
class Members(Message, frozen=True, array_like=True):
    """All members at one index of the log.

    ``retired`` are the ids of removed replicas. They can't be added again: a replica
    that lost its disk, and with it its votes, could return under such an id.
    """

    members: tuple[Member, ...] = ()
    retired: tuple[str, ...] = ()

    def find(self, replica_id: str) -> Member | None:
        """Return the member with this id, or ``None``."""
        return next((one for one in self.members if one.replica_id == replica_id), None)

    def is_voter(self, replica_id: str) -> bool:
        """Return whether this replica is a voter."""
        member = self.find(replica_id)
        return member is not None and member.voter

    def list_voters(self) -> list[str]:
        """Return the ids of the voters."""
        return [one.replica_id for one in self.members if one.voter]

    def get_majority(self) -> int:
        """Return the number of voters in a quorum."""
        return len(self.list_voters()) // 2 + 1

    def has_quorum(self, replica_ids: Collection[str]) -> bool:
        """Return whether these replicas include a majority of the voters."""
        voters = self.list_voters()
        count = sum(1 for voter in voters if voter in replica_ids)
        return bool(voters) and count >= self.get_majority()

    def change(self, kind: ChangeKind, member: Member) -> "Members":
        """Return the members after one change."""
        others = tuple(one for one in self.members if one.replica_id != member.replica_id)
        if kind is ChangeKind.REMOVE:
            return Members(members=others, retired=(*self.retired, member.replica_id))
        voter = kind is ChangeKind.PROMOTE
        changed = Member(replica_id=member.replica_id, instance_id=member.instance_id, voter=voter)
        return Members(members=(*others, changed), retired=self.retired)


def make_voters(*replica_ids: str) -> Members:
    """Return members that are all voters, each on the instance with the same id."""
    return Members(
        members=tuple(Member(replica_id=one, instance_id=one, voter=True) for one in replica_ids)
    )
