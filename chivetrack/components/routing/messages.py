"""Messages between routers that request and grant slots."""

from chivetrack.components.load.models import LoadCounts
from chivetrack.helpers.codec import Message, message


@message("routing.slot-request")
class SlotRequest(Message, frozen=True, array_like=True):
    """Request a slot from an owner, on the first of the endpoints that is below its limit.

    ``limits`` are in the order of ``endpoint_ids``. ``counts`` are the sender's own counts
    for the endpoints of this owner. The tickets of one router strictly increase.
    """

    ticket: int
    endpoint_ids: list[str]
    limits: list[float]
    counts: LoadCounts


@message("routing.slot-answer")
class SlotAnswer(Message, frozen=True, array_like=True):
    """Grant a slot on ``endpoint_id``, or refuse the request if that is empty."""

    ticket: int
    endpoint_id: str
