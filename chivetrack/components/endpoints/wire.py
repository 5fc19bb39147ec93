"""Messages that routers exchange about endpoints."""

import zlib

from chivetrack.components.endpoints.models import AnnouncedState, Announcement, EndpointKind
from chivetrack.helpers.codec import Message, message


@message("endpoints.body")
class EndpointBody(Message, frozen=True, array_like=True):
    """Announcement of an endpoint, sent once for each change."""

    endpoint_id: str
    incarnation: int
    address: str
    kind: str
    service: str
    region: str
    zone: str
    capacity: int
    lease_s: float
    leaving: bool
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""
    checks_fencing: bool = False


class Renewal(Message, frozen=True, array_like=True):
    """Hash of an endpoint that announced itself ``age_ds`` tenths of a second ago."""

    endpoint_hash: int
    age_ds: int


@message("endpoints.renewals")
class Renewals(Message, frozen=True, array_like=True):
    """Renewals of endpoints whose latest announcement was received by the sender.

    The full announcements of a region every few seconds would exceed the gossip budget;
    hashes with ages fit.
    """

    renewals: tuple[Renewal, ...]


def hash_endpoint(endpoint_id: str, incarnation: int, *, leaving: bool) -> int:
    """Return a 32-bit hash of an endpoint's id, incarnation and announced state.

    Without the state, renewals from routers that know that the endpoint is leaving would
    keep it ready on a router that does not know this yet.
    """
    return zlib.crc32(f"{endpoint_id}\0{incarnation}\0{leaving}".encode())


def make_body(announcement: Announcement) -> EndpointBody:
    """Return the wire message of an announcement."""
    return EndpointBody(
        announcement.endpoint_id,
        announcement.incarnation,
        announcement.address,
        announcement.kind.value,
        announcement.service,
        announcement.region,
        announcement.zone,
        announcement.capacity,
        announcement.lease_s,
        announcement.state is AnnouncedState.LEAVING,
        announcement.models,
        announcement.adapters,
        announcement.version,
        announcement.role,
        announcement.checks_fencing,
    )


def read_body(body: EndpointBody) -> Announcement:
    """Return the announcement in a wire message.

    Raises ``ValueError`` for an unknown kind of endpoint.
    """
    return Announcement(
        endpoint_id=body.endpoint_id,
        incarnation=body.incarnation,
        address=body.address,
        kind=EndpointKind(body.kind),
        service=body.service,
        region=body.region,
        zone=body.zone,
        capacity=body.capacity,
        lease_s=body.lease_s,
        state=AnnouncedState.LEAVING if body.leaving else AnnouncedState.READY,
        models=body.models,
        adapters=body.adapters,
        version=body.version,
        role=body.role,
        checks_fencing=body.checks_fencing,
    )
