"""Messages between routers and replicas, and between replicas about endpoints."""

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.evacuation.models import Evacuations
from chivetrack.components.quarantine.models import AnsweredReport, CrashReport, Quarantine
from chivetrack.helpers.codec import Message, Priority, message


@message("distribution.load")
class EndpointLoad(Message, frozen=True, array_like=True):
    """Load of one endpoint by one or more routers, and results of their recent attempts there.

    ``running`` counts requests in flight, ``tokens`` the prompt tokens that were sent and not yet
    answered by a first event. ``answered`` and ``failed`` count the attempts of the last 1.2 s.
    """

    endpoint_id: str
    running: int
    tokens: int = 0
    answered: int = 0
    failed: int = 0


@message("distribution.placed")
class PlacedPart(Message, frozen=True, array_like=True):
    """Placement of a prompt part: it was sent to an endpoint ``age_s`` seconds ago."""

    part: str
    endpoint_id: str
    age_s: float


@message("distribution.carrier")
class Carrier(Message, frozen=True, array_like=True):
    """A router that carries connections to endpoints, except to ``lost_services``."""

    address: str
    lost_services: tuple[str, ...] = ()


@message("distribution.follow")
class Follow(Message, frozen=True, array_like=True):
    """Poll of a replica by a router: states what the router has and requests what it lacks.

    ``run`` identifies the process of the replica whose change numbers are meant; ``change`` is the
    last endpoint change known from it, and ``placed_change`` the last placement change.
    ``is_assigned``: this replica is the one that collects the router's load and returns the load of
    the other routers. ``document_address`` is the ``host:port`` where the router serves its
    document. ``crash_reports`` are the router's recent crash reports, ``quarantine_revision`` is
    the revision of the quarantine that it has in force. ``is_partial``: up to ``change`` only
    departures are known. ``silent_revision`` is the revision of the list of silent endpoints held
    from this replica. ``is_stopping``: the router has received SIGTERM. ``can_carry``: it carries
    connections to endpoints for others, except to ``lost_services``, to which its own paths are
    broken. ``needs_carriers``: it needs such routers. ``polled_at`` is the time of the poll by the
    boot clock of the router (s). ``answered`` tells of the suspects in the last view when answers
    to them began here.
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
    can_carry: bool = False
    needs_carriers: bool = False
    lost_services: tuple[str, ...] = ()
    polled_at: float = 0.0
    answered: tuple[AnsweredReport, ...] = ()


@message("distribution.view")
class View(Message, frozen=True, array_like=True):
    """Answer of a replica to a router: records changed after ``base``, and the fleet's state.

    ``version`` is the version of the newest document applied by the replica, ``evacuations`` are
    the zone orders applied by it. With ``has_loads``, the fields for assigned routers are valid:
    ``loads`` are the loads summed over all routers but the receiver, or ``None`` if there are so
    many that they are sent as ``LoadUpdate``; ``routers`` counts the routers, ``stopping`` those of
    them that are stopping; ``placed`` are the placements after the router's ``placed_change``.
    ``quarantine`` is ``None`` if the router already has that revision. ``is_pending``: more
    endpoints have changed than fit; they follow as ``EndpointUpdate``. ``silent`` is ``None`` if
    the router has the newest list, or if the list is long and follows as ``SilentUpdate``;
    ``silent_revision`` is the revision that the router holds after this message.
    ``acknowledged`` is the highest version that an operator was acknowledged, as far as known.
    ``carriers`` are routers that carry connections to endpoints, if the receiver needs any.
    ``keeps_origins``: the replica remembers versions and the origins of streams; replicas of
    earlier releases do not. ``polled_at`` is that of the poll which this answers, 0 if it answers
    none. ``lender`` is the replica that lends the slack of the retry budgets, as far as known.
    ``suspects`` are fingerprints of what was running during several crashes.
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
    acknowledged: int = 0
    carriers: tuple[Carrier, ...] = ()
    keeps_origins: bool = False
    polled_at: float = 0.0
    lender: str = ""
    suspects: tuple[bytes, ...] = ()


@message("distribution.endpoints")
class EndpointUpdate(Message, frozen=True, array_like=True):
    """Packed records of the endpoints that changed at a replica after ``base`` up to ``change``.

    ``replica`` is the address of the replica and ``run`` identifies its process, also where a
    router forwards the update. The receiver forwards it to each router in ``forward_to``.
    ``is_partial``: it holds only endpoints that are leaving or have left.
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
    """Long list of the endpoints from which a replica has recently received no heartbeat.

    ``replica``, ``run`` and ``forward_to`` are as in ``EndpointUpdate``.
    """

    replica: str
    run: str
    revision: int
    endpoint_ids: tuple[str, ...]
    forward_to: tuple[str, ...] = ()


@message("distribution.loads")
class LoadUpdate(Message, frozen=True, array_like=True):
    """Packed loads of all routers, including the receiver.

    ``replica`` and ``forward_to`` are as in ``EndpointUpdate``.
    """

    replica: str
    payload: bytes
    forward_to: tuple[str, ...] = ()


@message("distribution.exchange", priority=Priority.STATE)
class Exchange(Message, frozen=True, array_like=True):
    """Summed loads and new placements of the routers assigned to the sending replica.

    ``routers`` counts these routers, ``stopping`` those of them that are stopping.
    ``crash_reports`` and ``answered`` are those that the replica first received recently,
    ``carriers`` some of these routers that carry connections to endpoints for others.
    """

    routers: int
    loads: tuple[EndpointLoad, ...]
    placed: tuple[PlacedPart, ...]
    crash_reports: tuple[CrashReport, ...] = ()
    stopping: int = 0
    carriers: tuple[Carrier, ...] = ()
    answered: tuple[AnsweredReport, ...] = ()


@message("distribution.fetch")
class FetchDocument(Message, frozen=True, array_like=True):
    """Request the newest document; ``held_version`` is the version that the sender has, or 0."""

    held_version: int


@message("distribution.document")
class DocumentSent(Message, frozen=True, array_like=True):
    """A packed document or, with ``base_version``, a packed patch of that version."""

    version: int
    payload: bytes
    base_version: int = 0


@message("distribution.fetch_elsewhere")
class FetchElsewhere(Message, frozen=True, array_like=True):
    """Redirect: fetch the document of ``version`` from the router ``holder``."""

    version: int
    holder: str


@message("distribution.document_applied", priority=Priority.URGENT)
class DocumentApplied(Message, frozen=True, array_like=True):
    """Confirm to the assigned replica that the document of ``version`` is in force here."""

    version: int


@message("distribution.rollout", priority=Priority.URGENT)
class RolloutState(Message, frozen=True, array_like=True):
    """How far documents have got, told by one replica to the others.

    ``in_force`` is the lowest version in force on the routers assigned to the sender, ``None`` if
    it has no router to wait for. ``acknowledged`` is the highest version that an operator was
    acknowledged.
    """

    in_force: int | None
    acknowledged: int


@message("distribution.spread", priority=Priority.STATE)
class BroadcastRecords(Message, frozen=True, array_like=True):
    """Endpoint records that one replica sends to the others."""

    number: int
    records: tuple[EndpointRecord, ...]


@message("distribution.spread_answer", priority=Priority.URGENT)
class RecordsAck(Message, frozen=True, array_like=True):
    """Acknowledgement that the records of a ``BroadcastRecords`` message are known."""

    number: int


@message("distribution.heard", priority=Priority.STATE)
class BroadcastHeartbeats(Message, frozen=True, array_like=True):
    """Heartbeats without changes that a replica received; the three sequences are parallel.

    ``checksums`` are the checksums of the records, so that a replica that lacks a record requests
    it.
    """

    endpoint_ids: tuple[str, ...]
    sequences: tuple[int, ...]
    checksums: tuple[int, ...]


@message("distribution.ask_records", priority=Priority.STATE)
class RecordsRequest(Message, frozen=True, array_like=True):
    """Request the whole records of some endpoints from another replica."""

    endpoint_ids: tuple[str, ...]
