"""Interfaces that a replica uses, and models of its results."""

from dataclasses import dataclass
from typing import Protocol

from chivetrack.components.consensus.models import ConsensusStatus, Outcome, Refusal
from chivetrack.core import Effect
from chivetrack.exceptions import Fault


class StateMachine(Protocol):
    """A replicated state machine; the same entries must produce the same state everywhere."""

    def apply(self, index: int, data: bytes) -> bytes:
        """Apply one committed entry and return the answer for its proposer."""
        ...

    def take_snapshot(self) -> bytes:
        """Return the whole state in encoded form."""
        ...

    def restore_snapshot(self, data: bytes) -> None:
        """Replace the whole state; empty ``data`` stands for the initial state."""
        ...


class Waiter(Protocol):
    """The part of ``threading.Event`` and ``gevent.event.Event`` that is used."""

    def set(self) -> None:
        """Wake the waiting threads."""
        ...

    def clear(self) -> None:
        """Reset the flag, so that the next ``wait`` blocks."""
        ...

    def wait(self, timeout: float | None = None) -> bool:
        """Wait up to ``timeout`` seconds; return whether the flag is set."""
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class ProposalAnswered(Effect):
    """A proposal ended; if committed, ``data`` is the answer of the state machine."""

    proposal_id: int
    outcome: Outcome
    index: int = 0
    data: bytes = b""
    refusal: Refusal = Refusal.NONE
    leader: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class NotLeaderFault(Fault):
    """This replica is not the leader; ``leader`` is the last known leader's instance."""

    leader: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaStatus:
    """Status of a replica for ``chivetrack status``; ages in seconds."""

    consensus: ConsensusStatus
    applied_index: int
    snapshot_age_s: float | None
    failure: str
