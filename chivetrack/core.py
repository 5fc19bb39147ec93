"""Base types of the decision components: events, effects and the component protocol.

A decision component does no I/O: it takes an event and the current time and returns
effects. The daemon executes the effects; tests and benchmarks may execute them differently.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from chivetrack.helpers.codec import Message

Unsubscribe = Callable[[], None]


@dataclass(frozen=True, slots=True)
class Event:
    """Base of the inputs of a decision component."""


@dataclass(frozen=True, slots=True)
class Effect:
    """Base of the outputs of a decision component: actions for the daemon to execute."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MessageReceived(Event):
    """A message from another instance has arrived."""

    source: str
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class TimeReached(Event):
    """The time of a ``WakeAt`` has come; early and repeated events are harmless."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SendMessage(Effect):
    """Send a message to an instance; it may be lost, delayed, duplicated or reordered."""

    target: str
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class WakeAt(Effect):
    """Request a ``TimeReached`` event at time ``at`` (seconds on the clock of ``now``)."""

    at: float


class Component(Protocol):
    """The interface of every decision component."""

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Process one event and return the effects; ``now`` is monotonic time in seconds."""
        ...
