"""Informs configuration, proposals and the load tracker of the live instances."""

from collections.abc import Sequence

from chivetrack.components.configuration.configuration import Configuration
from chivetrack.components.configuration.models import PeersChanged
from chivetrack.components.fleet.models import ROLE_REPLICA
from chivetrack.components.load.tracker import LoadTracker
from chivetrack.components.membership.membership import Membership
from chivetrack.components.membership.models import Instance, InstanceStatus
from chivetrack.components.proposals.client import ProposalClient
from chivetrack.core import Effect, Event

_LIVE_STATUSES = frozenset({InstanceStatus.ALIVE, InstanceStatus.SUSPECT})


class Roster:
    """Reports live instances when the membership or the leader has changed.

    ``replicas`` are the replicas from the settings. They are used until membership knows of any, so
    that the first start does not wait for gossip.
    """

    def __init__(
        self,
        *,
        own: Instance,
        replicas: Sequence[str],
        membership: Membership,
        configuration: Configuration,
        proposals: ProposalClient,
        load: LoadTracker,
    ) -> None:
        """Subscribe to the membership."""
        self._own = own
        self._initial_replicas = tuple(replicas)
        self._membership = membership
        self._configuration = configuration
        self._proposals = proposals
        self._load = load
        self._changed = True
        self._leader = ""
        membership.subscribe(self._handle_instance_change)

    def _handle_instance_change(self, instance: Instance) -> None:
        self._changed = True
        if instance.status not in _LIVE_STATUSES:
            self._load.drop_router(instance.instance_id, instance.state_version.incarnation)

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Report changes to the other components; returns at once if there are none."""
        if not self._changed and self._proposals.leader == self._leader:
            return []
        self._changed = False
        self._leader = self._proposals.leader
        live = [
            instance
            for instance in self._membership.list_instances()
            if instance.status in _LIVE_STATUSES
        ]
        replicas = self._find_replicas(live)
        self._proposals.set_replicas(replicas)
        peers = PeersChanged(
            leader=self._leader,
            replicas=replicas,
            zone_peers=tuple(
                instance.instance_id for instance in live if instance.zone == self._own.zone
            ),
        )
        return self._configuration.handle(peers, now=now)

    def _find_replicas(self, live: Sequence[Instance]) -> tuple[str, ...]:
        found = [instance.instance_id for instance in live if ROLE_REPLICA in instance.roles]
        return tuple(found) or self._initial_replicas
