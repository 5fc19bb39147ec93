"""Management functions of an instance for operators."""

import math
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

import msgspec
from expression import Result

from chivetrack.assembly import Router
from chivetrack.components.consensus.members import ChangeKind
from chivetrack.components.management.models import ManagementPorts
from chivetrack.components.membership.models import Instance, InstanceStatus
from chivetrack.components.replica.administration import (
    ChangeReplica,
    ReadLogStatus,
    TakeBackup,
)
from chivetrack.daemon.explanations import Explanations
from chivetrack.daemon.submissions import Submissions
from chivetrack.exceptions import Fault
from chivetrack.helpers.codec import pack
from chivetrack.helpers.keys import KeyRing

STATUS_TIMEOUT_S = 1.5
CHANGE_TIMEOUT_S = 10.0
BACKUP_TIMEOUT_S = 30.0
_LIVE_STATUSES = frozenset({InstanceStatus.ALIVE, InstanceStatus.SUSPECT})

Document = dict[str, Any]


class Management:
    """Answers management requests of operators on this instance.

    Requests that concern the log are forwarded to the leader.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        router: Router,
        submissions: Submissions,
        explanations: Explanations,
        operators: KeyRing,
        read_clock: Callable[[], float],
    ) -> None:
        """Store the parts that the answers are built from."""
        self._instance_id = instance_id
        self._router = router
        self._submissions = submissions
        self._explanations = explanations
        self._operators = operators
        self._read_clock = read_clock

    def make_ports(self) -> ManagementPorts:
        """Return the functions that the management routes call."""
        return ManagementPorts(
            check_operator=lambda key: self._operators.find_holder(key) is not None,
            read_status=self.read_status,
            explain_request=self._explanations.explain_request,
            explain_endpoint=self._explanations.explain_endpoint,
            add_replica=self.add_replica,
            remove_replica=self.remove_replica,
            read_backup=self.read_backup,
        )

    def read_status(self) -> Document:
        """Return the status of this instance, the fleet and the log."""
        now = self._read_clock()
        view = self._router.configuration.view
        instances = self._router.membership.list_instances()
        document: Document = {
            "instance": self._instance_id,
            "leader": self._router.proposals.leader,
            "configuration": {
                "revision": view.revision,
                "confirmed_for_s": _round(view.confirmed_until - now),
            },
            "requests_in_flight": self._router.flow.open_count,
            "instances": [_describe_instance(each, now) for each in instances],
        }
        log = self._submissions.read(pack(ReadLogStatus()), timeout_s=STATUS_TIMEOUT_S)
        if log.is_error():
            document["log"] = {"error": log.error.code}
        else:
            document["log"] = msgspec.json.decode(log.ok.result)
        document["in_force"] = self._describe_in_force(now)
        return document

    def _describe_in_force(self, now: float) -> Document:
        """Return where the newest revision is in force; only the leader has all reports."""
        instances = self._router.membership.list_instances()
        expected = [each.instance_id for each in instances if each.status in _LIVE_STATUSES]
        report = self._router.configuration.compute_rollout_status(expected, now=now)
        return {
            "as_seen_by": self._instance_id,
            "revision": report.revision,
            "expected": report.expected,
            "applied": report.applied,
            "missing": [asdict(each) for each in report.missing],
            "elapsed_s": _round(report.elapsed_s),
        }

    def add_replica(self, replica_id: str) -> Result[None, Fault]:
        """Add a replica as a learner; it becomes a voter once it has caught up."""
        return self._change(ChangeReplica(ChangeKind.ADD_LEARNER, replica_id))

    def remove_replica(self, replica_id: str) -> Result[None, Fault]:
        """Remove a replica permanently."""
        return self._change(ChangeReplica(ChangeKind.REMOVE, replica_id))

    def _change(self, change: ChangeReplica) -> Result[None, Fault]:
        result = self._submissions.submit(pack(change), timeout_s=CHANGE_TIMEOUT_S)
        return result.map(lambda outcome: None)

    def read_backup(self) -> Result[bytes, Fault]:
        """Return the durable state as the content of a backup file."""
        result = self._submissions.read(pack(TakeBackup()), timeout_s=BACKUP_TIMEOUT_S)
        return result.map(lambda ended: ended.result)


def _describe_instance(instance: Instance, now: float) -> Document:
    return {
        "id": instance.instance_id,
        "zone": instance.zone,
        "roles": list(instance.roles),
        "status": instance.status.value,
        "since_s": _round(now - instance.since),
        "reason": instance.reason,
    }


def _round(value: float | None) -> float | None:
    if value is None or not math.isfinite(value):
        return None
    return round(value, 3)
