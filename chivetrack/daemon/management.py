"""Connects the operators' routes with the instance."""

from collections.abc import Callable
from dataclasses import asdict
from typing import Any

from expression import Error, Result

from chivetrack.assembly import Router
from chivetrack.components.management.models import ManagementPorts
from chivetrack.daemon.explanations import Explanations
from chivetrack.daemon.submissions import Submissions
from chivetrack.exceptions import Fault, Ran
from chivetrack.helpers.keys import KeyRing

Document = dict[str, Any]


class Management:
    """Answers for this instance; what concerns the log is asked of the leader."""

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
        """Take what the answers come from."""
        self._instance_id = instance_id
        self._router = router
        self._submissions = submissions
        self._explanations = explanations
        self._operators = operators
        self._read_clock = read_clock

    def make_ports(self) -> ManagementPorts:
        """Return the ways from the routes into this instance."""
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
        """Return what this instance knows of itself and the fleet."""
        now = self._read_clock()
        view = self._router.configuration.view
        in_force = self._router.configuration.compute_in_force([self._instance_id], now=now)
        return {
            "instance": self._instance_id,
            "leader": self._router.proposals.leader,
            "configuration": {
                "revision": view.revision,
                "confirmed_for_s": round(view.confirmed_until - now, 3),
                "in_force": asdict(in_force),
            },
            "requests_in_flight": self._router.flow.open_count,
        }

    def add_replica(self, replica_id: str, address: str) -> Result[None, Fault]:
        """Add a replica."""
        return Error(_not_here())

    def remove_replica(self, replica_id: str) -> Result[None, Fault]:
        """Remove a replica."""
        return Error(_not_here())

    def read_backup(self) -> Result[bytes, Fault]:
        """Return the durable state."""
        return Error(_not_here())


def _not_here() -> Fault:
    return Fault(code="not_implemented", message="not available yet", status=501, ran=Ran.NO)
