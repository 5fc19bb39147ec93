"""Tells configuration, proposals and the load book which instances live."""

from collections.abc import Sequence

from chivetrack.components.configuration.configuration import Configuration
from chivetrack.components.configuration.models import PeersChanged
from chivetrack.components.fleet.models import ROLE_REPLICA
from chivetrack.components.load.book import LoadBook
from chivetrack.components.membership.membership import Membership
from chivetrack.components.membership.models import Instance, InstanceStatus
from chivetrack.components.proposals.client import ProposalClient
from chivetrack.core import Effect, Event

_LIVING = frozenset({InstanceStatus.ALIVE, InstanceStatus.SUSPECT})


class Roster:
    """Looks at the membership when it has changed, or when the leader has.

    ``replicas`` are known from the settings; they are asked until membership knows
    better, so that the first start does not wait for gossip.
    """

    def __init__(
        self,
        *,
        own: Instance,
        replicas: Sequence[str],
        membership: Membership,
        configuration: Configuration,
        proposals: ProposalClient,
        load: LoadBook,
    ) -> None:
        """Listen to the membership."""
        self._own = own
        self._initial = tuple(replicas)
        self._membership = membership
        self._configuration = configuration
        self._proposals = proposals
        self._load = load
        self._changed = True
        self._leader = ""
        membership.subscribe(self._note_change)

    def _note_change(self, instance: Instance) -> None:
        self._changed = True
        if instance.status not in _LIVING:
            self._load.drop_router(instance.instance_id, instance.state_version.incarnation)

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Pass on what has changed; cheap when nothing has."""
        if not self._changed and self._proposals.leader == self._leader:
            return []
        self._changed = False
        self._leader = self._proposals.leader
        living = [each for each in self._membership.list_instances() if each.status in _LIVING]
        replicas = self._find_replicas(living)
        self._proposals.set_replicas(replicas)
        peers = PeersChanged(
            leader=self._leader,
            replicas=replicas,
            zone_peers=tuple(each.instance_id for each in living if each.zone == self._own.zone),
        )
        return self._configuration.handle(peers, now=now)

    def _find_replicas(self, living: Sequence[Instance]) -> tuple[str, ...]:
        found = [each.instance_id for each in living if ROLE_REPLICA in each.roles]
        return tuple(found) or self._initial
