"""Messages between routers about slots."""

from chivetrack.components.load.models import LoadCounts
from chivetrack.helpers.codec import Message, message


@message("routing.slot-request")
class SlotRequest(Message, frozen=True, array_like=True):
    """Ask an owner for a slot on the first of its endpoints that has room.

    ``limits`` go with ``endpoint_ids``. ``counts`` are the asker's own for the endpoints
    of this owner. Tickets of one router only rise.
    """

    ticket: int
    endpoint_ids: list[str]
    limits: list[float]
    counts: LoadCounts


@message("routing.slot-answer")
class SlotAnswer(Message, frozen=True, array_like=True):
    """Grant a slot on ``endpoint_id``, or none if it is empty."""

    ticket: int
    endpoint_id: str
