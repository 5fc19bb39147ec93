"""Messages between replicas about operators' calls."""

from chivetrack.helpers.codec import Message, message


@message("document.forwarded")
class ForwardedPut(Message, frozen=True, array_like=True):
    """Commit a document on behalf of the sender; ``data`` is a packed ``StoredDocument``."""

    number: int
    data: bytes


@message("document.confirm")
class ConfirmVersion(Message, frozen=True, array_like=True):
    """Ask the leader for the newest version, confirmed by a quorum after this moment."""

    number: int


@message("document.leader_answer")
class LeaderAnswer(Message, frozen=True, array_like=True):
    """The answer to either; ``version`` is the one in force.

    Without ``is_done`` nothing is known of what became of the call.
    """

    number: int
    is_done: bool
    version: int = 0
