"""Messages between routers and replicas, and between replicas about endpoints."""

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.evacuation.models import Evacuations
from chivetrack.components.quarantine.models import CrashReport, Quarantine
from chivetrack.helpers.codec import Message, message


@message("distribution.load")
class EndpointLoad(Message, frozen=True, array_like=True):
    """How much of an endpoint some routers use, and how their last tries there ended.

    ``running`` are requests in flight, ``tokens`` prompt tokens sent and not yet
    answered by a first event. ``answered`` and ``failed`` are of the last 1.2 s.
    """

    endpoint_id: str
    running: int
    tokens: int = 0
    answered: int = 0
    failed: int = 0


@message("distribution.placed")
class PlacedPart(Message, frozen=True, array_like=True):
    """A part of a prompt that was sent to an endpoint ``age_s`` seconds ago."""

    part: str
    endpoint_id: str
    age_s: float


@message("distribution.follow")
class Follow(Message, frozen=True, array_like=True):
    """A router tells a replica what it has, and is sent what it lacks.

    ``run`` and ``change`` say up to which change of which process of the replica the
    endpoints are known, ``placed_change`` the placements. ``is_assigned``: this replica is
    the one that hears of the router's load and tells it that of the others. ``document_address``
    is where the router hands out its document, ``host:port``. ``crash_reports`` are the
    router's recent crash reports, ``quarantine_revision`` is the revision of the quarantine
    that it has in force. ``is_partial``: up to ``change`` only departures are known.
    ``silent_revision`` is that of the list of silent endpoints held from this replica.
    ``is_stopping``: the router has got SIGTERM.
    """

    router: str
    run: str
    change: int
    version: int
    loads: tuple[EndpointLoad, ...] = ()
    placed: tuple[PlacedPart, ...] = ()
    is_assigned: bool = False
    placed_change: int = 0
    document_address: str = ""
    crash_reports: tuple[CrashReport, ...] = ()
    quarantine_revision: int = 0
    is_partial: bool = False
    silent_revision: int = 0
    is_stopping: bool = False


@message("distribution.view")
class View(Message, frozen=True, array_like=True):
    """What a replica knows: records after change ``base``, and the state of the fleet.

    ``version`` is that of the newest document applied there, ``evacuations`` are the zone
    orders applied there. With ``has_loads``, ``loads``
    are summed over all routers but the receiver, or ``None`` if they are many and come as
    ``LoadUpdate``, ``routers`` counts the routers, ``stopping`` those of them that stop, and
    ``placed`` are the placements after change ``placed_base``. ``quarantine`` is
    ``None`` if the router already has that revision. ``is_pending``: more endpoints have
    changed than fit; they follow as ``EndpointUpdate``. ``silent`` is ``None`` if the router
    has the newest list, or that is long and follows as ``SilentUpdate``; ``silent_revision``
    is the one that the router has then.
    """

    run: str
    base: int
    change: int
    version: int
    records: tuple[EndpointRecord, ...]
    replicas: tuple[str, ...]
    silent: tuple[str, ...] | None
    loads: tuple[EndpointLoad, ...] | None = ()
    routers: int = 0
    placed: tuple[PlacedPart, ...] = ()
    has_loads: bool = False
    placed_change: int = 0
    evacuations: Evacuations = Evacuations()
    quarantine: Quarantine | None = None
    is_pending: bool = False
    silent_revision: int = 0
    stopping: int = 0


@message("distribution.endpoints")
class EndpointUpdate(Message, frozen=True, array_like=True):
    """Many endpoints that changed at a replica between two numbered changes, packed.

    ``replica`` is the address of the replica and ``run`` names its process; both hold also
    where a router hands the update on. The receiver sends it to each of ``forward_to``.
    ``is_partial``: of the endpoints, only those that are leaving or have left.
    """

    replica: str
    run: str
    base: int
    change: int
    payload: bytes
    is_partial: bool = False
    forward_to: tuple[str, ...] = ()


@message("distribution.silent")
class SilentUpdate(Message, frozen=True, array_like=True):
    """The endpoints that a replica has not heard of lately, where they are many.

    ``replica``, ``run`` and ``forward_to`` are as in ``EndpointUpdate``.
    """

    replica: str
    run: str
    revision: int
    endpoint_ids: tuple[str, ...]
    forward_to: tuple[str, ...] = ()


@message("distribution.loads")
class LoadUpdate(Message, frozen=True, array_like=True):
    """The packed loads of all routers, the receiver among them.

    ``replica`` and ``forward_to`` are as in ``EndpointUpdate``.
    """

    replica: str
    payload: bytes
    forward_to: tuple[str, ...] = ()


@message("distribution.exchange")
class Exchange(Message, frozen=True, array_like=True):
    """What the routers that are close to one replica have in use and have sent lately.

    ``crash_reports`` are those that the replica first received recently. ``stopping`` of
    the ``routers`` stop.
    """

    routers: int
    loads: tuple[EndpointLoad, ...]
    placed: tuple[PlacedPart, ...]
    crash_reports: tuple[CrashReport, ...] = ()
    stopping: int = 0


@message("distribution.fetch")
class FetchDocument(Message, frozen=True, array_like=True):
    """Ask for the newest document."""

    held_version: int


@message("distribution.document")
class DocumentSent(Message, frozen=True, array_like=True):
    """A document, packed; with ``base_version``, a packed patch of that version."""

    version: int
    payload: bytes
    base_version: int = 0


@message("distribution.fetch_elsewhere")
class FetchElsewhere(Message, frozen=True, array_like=True):
    """The document of ``version`` is to be asked for at another router."""

    version: int
    holder: str


@message("distribution.spread")
class BroadcastRecords(Message, frozen=True, array_like=True):
    """Statements of endpoints that one replica passes on to the others."""

    number: int
    records: tuple[EndpointRecord, ...]


@message("distribution.spread_answer")
class RecordsAck(Message, frozen=True, array_like=True):
    """The statements of a ``BroadcastRecords`` are known here."""

    number: int


@message("distribution.heard")
class BroadcastHeartbeats(Message, frozen=True, array_like=True):
    """Heartbeats without news that a replica got, one in each place of the three sequences.

    ``checksums`` are those of the records, so that a replica that lacks one asks for it.
    """

    endpoint_ids: tuple[str, ...]
    sequences: tuple[int, ...]
    checksums: tuple[int, ...]


@message("distribution.ask_records")
class RecordsRequest(Message, frozen=True, array_like=True):
    """Ask another replica for the whole records of some endpoints."""

    endpoint_ids: tuple[str, ...]
