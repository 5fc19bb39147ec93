"""Status document of the replicated log."""

from typing import Any

from chivetrack.components.consensus.models import ReplicaStatus as MemberStatus
from chivetrack.components.replica.models import ReplicaStatus

Document = dict[str, Any]


def describe_log(status: ReplicaStatus) -> Document:
    """Return the state of the log as seen by a replica.

    Only the leader fills ``replicas``.
    """
    consensus = status.consensus
    return {
        "replica": consensus.replica_id,
        "role": consensus.role.value,
        "term": consensus.term,
        "leader": consensus.leader_instance,
        "commit_index": consensus.commit_index,
        "applied_index": status.applied_index,
        "snapshot_index": consensus.snapshot_index,
        "snapshot_age_s": _round(status.snapshot_age_s),
        "members": [
            {"replica": member.replica_id, "voter": member.voter}
            for member in consensus.members.members
        ],
        "replicas": [_describe_member(each, consensus.last_index) for each in consensus.replicas],
        "failure": status.failure,
    }


def _describe_member(member: MemberStatus, last_index: int) -> Document:
    return {
        "replica": member.replica_id,
        "instance": member.instance_id,
        "voter": member.voter,
        "lag_entries": last_index - member.match_index,
        "last_contact_s": _round(member.last_contact_age_s),
        "lost_entries": member.regressed,
    }


def _round(value: float | None) -> float | None:
    return None if value is None or value == float("inf") else round(value, 3)
