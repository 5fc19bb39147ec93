"""A fleet of ``Membership`` components on the in-memory network."""

import random

from chivetrack.components.gossip.gossip import Gossip
from chivetrack.components.membership.const import FLEET_TOPICS
from chivetrack.components.membership.membership import Membership
from chivetrack.components.membership.models import Instance, InstanceStatus, Seed, StateVersion
from tests.components.network import Network


class MembershipFleet:
    """Routers in zones, with two seeds per region, and every status change they reported."""

    def __init__(self, zones: list[int], *, seed: int = 1, region: str = "kyushu") -> None:
        self.network = Network(seed=seed)
        self.seed = seed
        self.zone_of: dict[str, str] = {}
        self.region_of: dict[str, str] = {}
        self.memberships: dict[str, Membership] = {}
        self.gossips: dict[str, Gossip] = {}
        self.reported: list[tuple[float, str, Instance]] = []
        self.seeds: list[Seed] = []
        self.add_region(region, zones)
        for name in self.zone_of:
            self.start(name, incarnation=1)

    def add_region(self, region: str, zones: list[int]) -> list[str]:
        names: list[str] = []
        for zone, size in enumerate(zones):
            names.extend(f"{region}-{zone}-{index}" for index in range(size))
        for name in names:
            self.zone_of[name] = f"{region}-zone-{name.split('-')[1]}"
            self.region_of[name] = region
        self.seeds.extend(
            Seed(instance_id=name, address=f"{name}:1", region=region) for name in names[:2]
        )
        return names

    def start(self, name: str, *, incarnation: int) -> None:
        stream = random.Random(f"{self.seed}{name}{incarnation}")
        region = self.region_of[name]
        gossip = Gossip(
            instance_id=name,
            incarnation=incarnation,
            random=stream,
            region=region,
            fleet_topics=FLEET_TOPICS,
        )
        own = Instance(
            instance_id=name,
            address=f"{name}:1",
            region=region,
            zone=self.zone_of[name],
            roles=("router",),
            state_version=StateVersion(incarnation, 0),
        )
        membership = Membership(gossip=gossip, own=own, seeds=self.seeds, random=stream)
        membership.subscribe(lambda change: self.reported.append((self.network.now, name, change)))
        self.memberships[name], self.gossips[name] = membership, gossip
        self.network.start(name, [gossip, membership])

    def get_status(self, viewer: str, target: str) -> InstanceStatus | None:
        listed = self.memberships[viewer].list_instances()
        return next((i.status for i in listed if i.instance_id == target), None)

    def find_viewers(self, target: str, status: InstanceStatus | None) -> list[str]:
        return [
            viewer
            for viewer in self.memberships
            if viewer != target and self.get_status(viewer, target) is status
        ]

    def list_reported_dead(self) -> set[str]:
        return {i.instance_id for _, _, i in self.reported if i.status is InstanceStatus.DEAD}
