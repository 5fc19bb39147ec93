"""Messages with which a router leases a retry from the lender, and the answer."""

from chivetrack.helpers.codec import Message, Priority, message


@message("retries.lease", priority=Priority.URGENT)
class LeaseRequest(Message, frozen=True, array_like=True):
    """Requests one retry of a service; ``number`` assigns the answer to its request."""

    number: int
    service: str


@message("retries.lease_answer", priority=Priority.URGENT)
class LeaseAnswer(Message, frozen=True, array_like=True):
    """Leases the retry if ``wait_s`` is 0, else there may be one after ``wait_s`` seconds."""

    number: int
    wait_s: float = 0.0
