"""The state machine that keeps the document with the highest version."""

import zlib
from collections.abc import Callable
from typing import Final

from chivetrack.helpers.codec import Message, decode_as, encode, message

PACK_LEVEL: Final = 6
"""A document of 600 routes, 90 kB, becomes 15 kB."""

Listener = Callable[["StoredDocument"], None]


@message("document.stored")
class StoredDocument(Message, frozen=True, array_like=True):
    """One version of the configuration; ``payload`` is what the operator sent, packed.

    Version 0 stands for a deployment without any configuration.
    """

    version: int = 0
    payload: bytes = b""


@message("document.outcome")
class PutOutcome(Message, frozen=True, array_like=True):
    """What became of a document: ``version`` is the one in force afterwards."""

    version: int
    is_applied: bool


def pack_document(body: bytes) -> bytes:
    """Return a document as it is kept and sent."""
    return zlib.compress(body, PACK_LEVEL)


def unpack_document(payload: bytes) -> bytes:
    """Return a document as the operator sent it; raise ``zlib.error`` for other bytes."""
    return zlib.decompress(payload)


class DocumentStore:
    """Applies documents in the order of the log; only a higher version takes effect.

    A document that arrives again, late or under a version that is taken changes
    nothing, so a resend needs no memory of earlier requests.
    """

    def __init__(self) -> None:
        """Start without a document."""
        self.current = StoredDocument()
        self._listeners: list[Listener] = []

    def listen(self, listener: Listener) -> None:
        """Tell a listener of each document that takes effect."""
        self._listeners.append(listener)

    def apply(self, index: int, data: bytes) -> bytes:
        """Apply one committed document."""
        document = decode_as(StoredDocument, data)
        is_applied = document.version > self.current.version
        if is_applied:
            self._replace(document)
        return encode(PutOutcome(version=self.current.version, is_applied=is_applied))

    def take_snapshot(self) -> bytes:
        """Return the document in force."""
        return encode(self.current)

    def restore_snapshot(self, data: bytes) -> None:
        """Take over a snapshot; a replica never goes back to a lower version."""
        document = decode_as(StoredDocument, data) if data else StoredDocument()
        if document.version > self.current.version:
            self._replace(document)

    def _replace(self, document: StoredDocument) -> None:
        self.current = document
        for listener in self._listeners:
            listener(document)
