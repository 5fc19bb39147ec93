"""The shapes that every decision component shares.

A decision component does no I/O: it takes events with the time handed in and returns
effects. The daemon carries them out; a test or a bench may do so in its own way.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from chivetrack.helpers.codec import Message

Unsubscribe = Callable[[], None]


@dataclass(frozen=True, slots=True)
class Event:
    """Something that happened, as input to a decision component."""


@dataclass(frozen=True, slots=True)
class Effect:
    """Something to be done, as output of a decision component."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MessageReceived(Event):
    """A message came in from another instance."""

    source: str
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class TimeReached(Event):
    """The time of a ``WakeAt`` has come; an early or a repeated one does no harm."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SendMessage(Effect):
    """Send a message to an instance; it may be lost, late, doubled or reordered."""

    target: str
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class WakeAt(Effect):
    """Hand in a ``TimeReached`` at this time (seconds, the clock of ``now``)."""

    at: float


class Component(Protocol):
    """What every decision component offers to whoever drives it."""

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Take one event at time ``now`` (seconds, never going back)."""
        ...
