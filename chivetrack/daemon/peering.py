"""Hands each message to the part it is for."""

from collections.abc import Callable
from typing import Protocol

from chivetrack.core import Event, MessageReceived
from chivetrack.helpers.codec import Message


class ReplicaMessageHandler(Protocol):
    """The replica of this instance, if it has one."""

    def takes(self, message: Message) -> bool:
        """Return whether a message is for the replica."""
        ...

    def take(self, source: str, message: Message) -> None:
        """Take a message; must not block."""
        ...


class MessageDispatcher:
    """Gives messages for the replicated log to the replica, the others to the router."""

    def __init__(self, *, post: Callable[[Event], None]) -> None:
        """Take the decisions' entry; the replica is set when there is one."""
        self._post = post
        self.replica: ReplicaMessageHandler | None = None

    def take(self, source: str, message: Message) -> None:
        """Take a message from another instance, or from this one."""
        if self.replica is not None and self.replica.takes(message):
            self.replica.take(source, message)
            return
        self._post(MessageReceived(source=source, message=message))
