"""What a replica works with, and what it answers."""

from dataclasses import dataclass
from typing import Protocol

from chivetrack.components.consensus.models import ConsensusStatus, Outcome, Refusal
from chivetrack.core import Effect
from chivetrack.exceptions import Fault


class StateMachine(Protocol):
    """What the log replicates; the same entries must give the same state everywhere."""

    def apply(self, index: int, data: bytes) -> bytes:
        """Apply one committed entry and return the answer to whoever proposed it."""
        ...

    def take_snapshot(self) -> bytes:
        """Return the whole state."""
        ...

    def restore_snapshot(self, data: bytes) -> None:
        """Replace the whole state; no bytes mean the empty state."""
        ...


class Waiter(Protocol):
    """The part of ``threading.Event`` and ``gevent.event.Event`` that is used."""

    def set(self) -> None:
        """Wake whoever waits."""
        ...

    def clear(self) -> None:
        """Let the next ``wait`` wait."""
        ...

    def wait(self, timeout: float | None = None) -> bool:
        """Wait up to ``timeout`` seconds; return whether it is set."""
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class ProposalAnswered(Effect):
    """A proposal ended; if committed, ``data`` is what the state machine answered."""

    proposal_id: int
    outcome: Outcome
    index: int = 0
    data: bytes = b""
    refusal: Refusal = Refusal.NONE
    leader: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class NotLeaderFault(Fault):
    """This replica does not lead; ``leader`` is the instance that may, or empty."""

    leader: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaStatus:
    """What ``chivetrack status`` shows of a replica; ages in seconds."""

    consensus: ConsensusStatus
    applied_index: int
    snapshot_age_s: float | None
    failure: str
