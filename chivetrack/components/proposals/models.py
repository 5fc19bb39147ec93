"""Messages, events and effects of the proposals component."""

from dataclasses import dataclass
from enum import StrEnum

from chivetrack.core import Effect, Event
from chivetrack.exceptions import Fault
from chivetrack.helpers.codec import Message, Priority, message


class Verdict(StrEnum):
    """Result of one attempt, as reported by the replica that received it.

    ``REFUSED`` guarantees that this attempt is in no log and never will be.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@message("proposals.forward", priority=Priority.LOG)
class ForwardProposal(Message, frozen=True, array_like=True):
    """Propose a command on behalf of the sender; ``number`` identifies the attempt."""

    number: int
    data: bytes


@message("proposals.read", priority=Priority.URGENT)
class ForwardRead(Message, frozen=True, array_like=True):
    """Request the newest revision, confirmed by a quorum, and the answer to a query as of it.

    ``data`` is the packed query, or empty if only the revision is needed.
    """

    number: int
    data: bytes = b""


@message("proposals.answer", priority=Priority.URGENT)
class ProposalAnswer(Message, frozen=True, array_like=True):
    """Answer a ``ForwardProposal`` or ``ForwardRead``; ``leader`` is the leader, if known."""

    number: int
    verdict: Verdict
    result: bytes = b""
    revision: int = 0
    leader: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Submit(Event):
    """Submit a command to the log.

    The command must contain a unique request id, since it may be sent more than once.
    ``deadline`` is a time of the clock of ``now``, in seconds.
    """

    submission_id: str
    data: bytes
    deadline: float


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmitRead(Event):
    """Request the newest revision, confirmed by a quorum after this event.

    ``data`` may hold a packed query, which is answered as of that revision.
    """

    submission_id: str
    deadline: float
    data: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmissionEnded(Effect):
    """A submission ended, with a result and revision or with a fault.

    ``ran`` of the fault says whether the command may have been accepted.
    """

    submission_id: str
    result: bytes = b""
    revision: int = 0
    fault: Fault | None = None
