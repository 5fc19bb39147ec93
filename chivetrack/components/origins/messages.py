"""Messages about the origins of streams, between routers and replicas and among replicas."""

from chivetrack.components.origins.models import Origin
from chivetrack.helpers.codec import Message, Priority, message


@message("origins.group")
class OriginGroup(Message, frozen=True, array_like=True):
    """Ids of requests whose streams began at ``origin``; kept for ``ttl_s`` seconds.

    ``is_inferred``: callers took these streams up while no other version could have begun them.
    """

    origin: Origin
    requests: tuple[str, ...]
    ttl_s: float
    is_inferred: bool = False


@message("origins.records", priority=Priority.STATE)
class OriginRecords(Message, frozen=True, array_like=True):
    """Records of a router for replicas to keep."""

    groups: tuple[OriginGroup, ...]


@message("origins.query", priority=Priority.URGENT)
class OriginQuery(Message, frozen=True, array_like=True):
    """Ask a replica for the origins that it remembers; ``number`` assigns the answer.

    ``request`` is the id of a stream's first request, empty if none is looked up. ``services``
    are those whose versions are asked for, all if empty. ``registers`` are origins at which the
    sender is going to begin streams; the answer confirms that the replica remembers them.
    """

    number: int
    services: tuple[str, ...] = ()
    request: str = ""
    registers: tuple[Origin, ...] = ()


@message("origins.answer", priority=Priority.URGENT)
class OriginAnswer(Message, frozen=True, array_like=True):
    """What a replica remembers.

    ``members`` are the replicas of the log as far as the sender knows. ``is_complete``: no version
    that a majority of replicas was told is missing in ``origins`` because of a restart of the
    sender. ``found`` is the recorded origin of the request, ``age_s`` the age of the record;
    ``is_inferred`` as in ``OriginGroup``. ``lost`` are those of ``origins`` that are remembered for
    longer, since their endpoints were lost without a departure.
    """

    number: int
    members: tuple[str, ...]
    is_complete: bool
    origins: tuple[Origin, ...]
    found: Origin | None = None
    age_s: float = 0.0
    is_inferred: bool = False
    lost: tuple[Origin, ...] = ()
