"""Dispatch of messages from other instances."""

from collections.abc import Callable
from typing import Protocol

from chivetrack.core import Event, MessageReceived
from chivetrack.helpers.codec import Message


class ReplicaMessageHandler(Protocol):
    """Interface of the replica that receives messages."""

    def accepts(self, message: Message) -> bool:
        """Return whether a message is addressed to the replica."""
        ...

    def handle_message(self, source: str, message: Message) -> None:
        """Handle a message without blocking."""
        ...


class MessageDispatcher:
    """Forwards messages for the replicated log to the replica, all others to the router."""

    def __init__(self, *, post: Callable[[Event], None]) -> None:
        """Create a dispatcher; ``post`` sends an event to the decision logic of the router.

        ``replica`` is set on instances that have one.
        """
        self._post = post
        self.replica: ReplicaMessageHandler | None = None

    def dispatch(self, source: str, message: Message) -> None:
        """Dispatch a message from another instance or from this instance."""
        if self.replica is not None and self.replica.accepts(message):
            self.replica.handle_message(source, message)
            return
        self._post(MessageReceived(source=source, message=message))
