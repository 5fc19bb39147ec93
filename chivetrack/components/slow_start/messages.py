"""A router's question for one request to a cold endpoint, and the answer."""

from chivetrack.helpers.codec import Message, message


@message("slow_start.ask")
class PermitRequest(Message, frozen=True, array_like=True):
    """May one request go to a cold endpoint, of which all together may send ``per_s``?"""

    number: int
    endpoint_id: str
    per_s: float


@message("slow_start.answer")
class PermitAnswer(Message, frozen=True, array_like=True):
    """The answer: yes without ``wait_s``, otherwise ask again after that many seconds."""

    number: int
    wait_s: float = 0.0
