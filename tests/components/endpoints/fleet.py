"""Fleet of routers with endpoint registries on the in-memory network."""

from dataclasses import replace

from chivetrack.components.endpoints.models import (
    AnnouncedState,
    Announcement,
    Availability,
    EndpointKind,
)
from chivetrack.components.endpoints.registry import EndpointRegistry
from tests.components.gossip.fleet import GossipFleet

SERVICE = "valuation"


def make_announcement(name: str, **changes: object) -> Announcement:
    base = Announcement(
        endpoint_id=name,
        incarnation=1,
        address="http://10.0.0.1:8000",
        kind=EndpointKind.ENGINE,
        service=SERVICE,
        region="kyushu",
        zone="fukuoka-hall",
        capacity=8,
        lease_s=6.0,
    )
    return replace(base, **changes)


LEAVING = AnnouncedState.LEAVING


class EndpointFleet(GossipFleet):
    """Routers to which endpoints announce themselves."""

    def __init__(self, size: int, *, seed: int = 1) -> None:
        self.registries: dict[str, EndpointRegistry] = {}
        super().__init__(size, seed=seed)

    def start(self, name: str, *, incarnation: int, clock_offset_s: float = 0.0):
        gossip = super().start(name, incarnation=incarnation, clock_offset_s=clock_offset_s)
        self.registries[name] = EndpointRegistry(gossip=gossip, instance_id=name)
        self.network.start(name, [gossip, self.registries[name]], clock_offset_s=clock_offset_s)
        return gossip

    def announce(self, router: str, announcement: Announcement):
        return self.registries[router].announce(announcement, now=self.network.now)

    def list_availability(self, router: str) -> dict[str, Availability]:
        listed = self.registries[router].list_endpoints(SERVICE)
        return {state.endpoint_id: state.availability for state in listed}
