"""Messages, events and effects of the proposals component."""

from dataclasses import dataclass
from enum import StrEnum

from chivetrack.core import Effect, Event
from chivetrack.exceptions import Fault
from chivetrack.helpers.codec import Message, message


class Verdict(StrEnum):
    """What the asked replica says of a submission.

    ``REFUSED`` is a promise that this try is in no log and never will be.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@message("proposals.forward")
class ForwardProposal(Message, frozen=True, array_like=True):
    """Propose a command, on behalf of the sender; ``number`` names the try."""

    number: int
    data: bytes


@message("proposals.read")
class ForwardRead(Message, frozen=True, array_like=True):
    """Confirm with a quorum what the newest revision is, and answer a query as of it."""

    number: int
    data: bytes = b""


@message("proposals.answer")
class ProposalAnswer(Message, frozen=True, array_like=True):
    """The answer to either; ``leader`` is the instance to ask instead, if known."""

    number: int
    verdict: Verdict
    result: bytes = b""
    revision: int = 0
    leader: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Submit(Event):
    """Bring a command to the log.

    The command must carry a request id of its own: it may be sent more than once.
    ``deadline`` is on the clock of ``now``.
    """

    submission_id: str
    data: bytes
    deadline: float


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmitRead(Event):
    """Ask for the newest revision, confirmed by a quorum after this moment.

    ``data`` may hold a packed query, which is answered as of that revision.
    """

    submission_id: str
    deadline: float
    data: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmissionEnded(Effect):
    """A submission ended: with a result or revision, or with a fault.

    The fault's ``ran`` tells whether the command can have been accepted.
    """

    submission_id: str
    result: bytes = b""
    revision: int = 0
    fault: Fault | None = None
