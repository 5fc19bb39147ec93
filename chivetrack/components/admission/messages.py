"""Messages between a router and the replica that schedules the slots of plain services."""

from enum import StrEnum

from chivetrack.helpers.codec import Message, Priority, message


class SlotState(StrEnum):
    """State of a request for a slot.

    ``NOT_LEADING``: the replica schedules nothing, and the router sends without a slot.
    """

    GRANTED = "granted"
    QUEUED = "queued"
    REFUSED = "refused"
    NOT_LEADING = "not_leading"


@message("admission.candidate", priority=Priority.URGENT)
class SlotCandidate(Message, frozen=True, array_like=True):
    """An endpoint that the router may use; ``cost_ms`` is its cost beside the service time."""

    endpoint_id: str
    slots: int
    cost_ms: float = 0.0


@message("admission.request", priority=Priority.URGENT)
class SlotRequest(Message, frozen=True, array_like=True):
    """Requests a slot of a service; ``number`` is unique among the requests of the router.

    ``target_s`` is the time left to answer within the route's latency target, ``hold_s`` the time
    left until the deadline. ``rank`` 0 is served first.
    """

    number: int
    service: str
    workspace: str
    rank: int
    target_s: float
    hold_s: float
    candidates: tuple[SlotCandidate, ...]


@message("admission.answer", priority=Priority.URGENT)
class SlotAnswer(Message, frozen=True, array_like=True):
    """State of a request for a slot; a queued one is answered again.

    ``wait_s`` is the expected wait of a queued request, and of a refused one the time after which
    the caller should return.
    """

    number: int
    state: SlotState
    endpoint_id: str = ""
    wait_s: float = 0.0


@message("admission.release", priority=Priority.URGENT)
class SlotRelease(Message, frozen=True, array_like=True):
    """Releases a slot, or withdraws a request that waits for one.

    ``took_s`` is how long the endpoint took for a whole answer, 0 if there was none.
    ``is_rejected``: the endpoint was full and did not run the request.
    """

    number: int
    service: str
    took_s: float = 0.0
    is_rejected: bool = False
