"""What routers tell each other about endpoints."""

import zlib

from chivetrack.components.endpoints.models import AnnouncedState, Announcement, EndpointKind
from chivetrack.helpers.codec import Message, message


@message("endpoints.body")
class EndpointBody(Message, frozen=True, array_like=True):
    """An announcement, spread once for each change of it."""

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
    """An endpoint, as a hash, that announced itself ``age_ds`` tenths of a second ago."""

    endpoint_hash: int
    age_ds: int


@message("endpoints.renewals")
class Renewals(Message, frozen=True, array_like=True):
    """All endpoints whose latest announcement came to the sender.

    The full announcements of a region would not fit into the budget every few
    seconds; a hash and an age do.
    """

    renewals: tuple[Renewal, ...]


def hash_endpoint(endpoint_id: str, incarnation: int, *, leaving: bool) -> int:
    """Return the 32-bit name of an incarnation of an endpoint and of what it says.

    Without the latter, renewals by those who know that it leaves would keep it ready at
    a router that does not know yet.
    """
    return zlib.crc32(f"{endpoint_id}\0{incarnation}\0{leaving}".encode())


def make_body(announcement: Announcement) -> EndpointBody:
    """Return an announcement's form on the wire."""
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
    """Return the announcement behind its form on the wire.

    Raises ``ValueError`` for a kind of endpoint that this version does not know.
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
