"""Events, effects and actions of the controllers."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from chivetrack.components.store.commands import (
    AddFinalizer,
    Command,
    RemoveFinalizer,
    Stamp,
    UpdateStatus,
)
from chivetrack.core import Effect, Event
from chivetrack.exceptions import Fault


@dataclass(frozen=True, slots=True, kw_only=True)
class Propose(Effect):
    """Propose a packed command to the log; answered by ``ProposalEnded``."""

    submission_id: str
    data: bytes
    deadline: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfirmRevision(Effect):
    """Query a quorum for the newest revision; answered by ``ProposalEnded``."""

    submission_id: str
    deadline: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ProposalEnded(Event):
    """A ``Propose`` or ``ConfirmRevision`` ended with a result, a revision or a fault."""

    submission_id: str
    result: bytes = b""
    revision: int = 0
    fault: Fault | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Action(ABC):
    """A write that a controller requests to the resource ``kind``/``name``."""

    kind: str
    name: str

    @abstractmethod
    def make_command(self, stamp: Stamp) -> Command:
        """Return the command with a stamp that carries the fencing number."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteStatus(Action):
    """Replace a status; refused if the resource changed after revision ``precondition``."""

    status: bytes
    precondition: int

    def make_command(self, stamp: Stamp) -> Command:
        """Return the command."""
        return UpdateStatus(stamp, self.kind, self.name, self.status, self.precondition)


@dataclass(frozen=True, slots=True, kw_only=True)
class AttachFinalizer(Action):
    """Block the deletion of a resource until this controller has cleaned up."""

    finalizer: str

    def make_command(self, stamp: Stamp) -> Command:
        """Return the command."""
        return AddFinalizer(stamp, self.kind, self.name, self.finalizer)


@dataclass(frozen=True, slots=True, kw_only=True)
class DetachFinalizer(Action):
    """Unblock the deletion of a resource after this controller has cleaned up."""

    finalizer: str

    def make_command(self, stamp: Stamp) -> Command:
        """Return the command."""
        return RemoveFinalizer(stamp, self.kind, self.name, self.finalizer)


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """The result of a reconciliation: writes, and the latest time of the next one."""

    actions: tuple[Action, ...] = ()
    reconcile_again_at: float = float("inf")
