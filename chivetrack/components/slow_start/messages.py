"""Messages with which a router requests a permit from a replica, and the answer."""

from chivetrack.helpers.codec import Message, Priority, message


@message("slow_start.ask", priority=Priority.URGENT)
class PermitRequest(Message, frozen=True, array_like=True):
    """Requests a permit to send one request to a cold endpoint.

    ``per_s`` is the limit in requests per second from the whole fleet. ``number`` assigns
    the answer to its request.
    """

    number: int
    endpoint_id: str
    per_s: float


@message("slow_start.answer", priority=Priority.URGENT)
class PermitAnswer(Message, frozen=True, array_like=True):
    """Grants the permit if ``wait_s`` is 0, else asks to retry after ``wait_s`` seconds."""

    number: int
    wait_s: float = 0.0
