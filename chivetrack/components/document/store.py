"""The replicated state machine: document in force, evacuated zones, quarantined requests."""

import zlib
from collections.abc import Callable
from typing import Final

from chivetrack.components.evacuation.models import Evacuations, OrderOutcome, ZoneOrder
from chivetrack.components.quarantine.models import (
    Quarantine,
    QuarantineOrder,
    QuarantineOutcome,
    ReleaseOrder,
)
from chivetrack.helpers.codec import (
    DecodeError,
    Message,
    decode_as,
    encode,
    message,
    pack,
    unpack,
)

COMPRESSION_LEVEL: Final = 6
"""zlib level; compresses a document with 600 routes from 90 kB to 15 kB."""

Listener = Callable[["StoredDocument"], None]
EvacuationListener = Callable[[Evacuations], None]
QuarantineListener = Callable[[Quarantine], None]


@message("document.stored")
class StoredDocument(Message, frozen=True, array_like=True):
    """One version of the configuration; ``payload`` is the operator's document, packed.

    Version 0 stands for a deployment without a configuration.
    """

    version: int = 0
    payload: bytes = b""


@message("document.outcome")
class PutOutcome(Message, frozen=True, array_like=True):
    """Outcome of a stored document; ``version`` is the one in force afterwards."""

    version: int
    is_applied: bool


@message("document.state")
class StoredState(Message, frozen=True, array_like=True):
    """A snapshot; its first fields equal ``StoredDocument``, the snapshot of older releases."""

    version: int = 0
    payload: bytes = b""
    evacuations: Evacuations = Evacuations()
    quarantine: Quarantine = Quarantine()


Command = StoredDocument | ZoneOrder | QuarantineOrder | ReleaseOrder


def encode_command(command: Command) -> bytes:
    """Encode a command as a log entry.

    The entry of a document has no kind prefix, for compatibility with existing logs.
    """
    return encode(command) if isinstance(command, StoredDocument) else pack(command)


def decode_command(data: bytes) -> Command:
    """Decode a log entry; raise ``DecodeError`` for other data."""
    try:
        command = unpack(data)
    except DecodeError:
        return decode_as(StoredDocument, data)
    if not isinstance(command, ZoneOrder | QuarantineOrder | ReleaseOrder):
        raise DecodeError(f"{type(command).__name__} is not a command")
    return command


def pack_document(body: bytes) -> bytes:
    """Compress a document for storage and transfer."""
    return zlib.compress(body, COMPRESSION_LEVEL)


def unpack_document(payload: bytes) -> bytes:
    """Decompress a document; raise ``zlib.error`` for other data."""
    return zlib.decompress(payload)


class DocumentStore:
    """Applies commands in log order; of documents, only a higher version takes effect.

    A document that is a duplicate, arrives late or reuses a version changes nothing. So
    resends are idempotent without a record of earlier requests.
    """

    def __init__(self) -> None:
        """Start without a document."""
        self.current = StoredDocument()
        self.evacuations = Evacuations()
        self._listeners: list[Listener] = []
        self.quarantine = Quarantine()
        self._evacuation_listeners: list[EvacuationListener] = []
        self._quarantine_listeners: list[QuarantineListener] = []

    def listen(self, listener: Listener) -> None:
        """Call a listener with each document that takes effect."""
        self._listeners.append(listener)

    def listen_to_evacuations(self, listener: EvacuationListener) -> None:
        """Call a listener at each change of the evacuated zones."""
        self._evacuation_listeners.append(listener)

    def listen_to_quarantine(self, listener: QuarantineListener) -> None:
        """Call a listener at each change of the quarantined requests."""
        self._quarantine_listeners.append(listener)

    def apply(self, index: int, data: bytes) -> bytes:
        """Apply one committed command and return its outcome."""
        command = decode_command(data)
        if isinstance(command, ZoneOrder):
            return encode(self._apply_order(index, command))
        if isinstance(command, QuarantineOrder | ReleaseOrder):
            return encode(self._apply_to_quarantine(index, command))
        return encode(self._apply_document(command))

    def _apply_order(self, index: int, order: ZoneOrder) -> OrderOutcome:
        evacuations, outcome = self.evacuations.apply(order, index)
        self._replace_evacuations(evacuations)
        return outcome

    def _apply_to_quarantine(
        self, index: int, order: QuarantineOrder | ReleaseOrder
    ) -> QuarantineOutcome:
        quarantine, outcome = self.quarantine.apply(order, index)
        self._replace_quarantine(quarantine)
        return outcome

    def _apply_document(self, document: StoredDocument) -> PutOutcome:
        is_applied = document.version > self.current.version
        if is_applied:
            self._replace(document)
        return PutOutcome(version=self.current.version, is_applied=is_applied)

    def take_snapshot(self) -> bytes:
        """Return the document, the zone orders and the quarantine in force, encoded."""
        return encode(
            StoredState(
                version=self.current.version,
                payload=self.current.payload,
                evacuations=self.evacuations,
                quarantine=self.quarantine,
            )
        )

    def restore_snapshot(self, data: bytes) -> None:
        """Restore a snapshot; parts of it that are older than the current state are ignored."""
        state = decode_as(StoredState, data) if data else StoredState()
        if state.version > self.current.version:
            self._replace(StoredDocument(version=state.version, payload=state.payload))
        self._replace_evacuations(state.evacuations)
        self._replace_quarantine(state.quarantine)

    def _replace_evacuations(self, evacuations: Evacuations) -> None:
        if evacuations.revision <= self.evacuations.revision:
            return
        self.evacuations = evacuations
        for listener in self._evacuation_listeners:
            listener(evacuations)

    def _replace_quarantine(self, quarantine: Quarantine) -> None:
        if quarantine.revision <= self.quarantine.revision:
            return
        self.quarantine = quarantine
        for listener in self._quarantine_listeners:
            listener(quarantine)

    def _replace(self, document: StoredDocument) -> None:
        self.current = document
        for listener in self._listeners:
            listener(document)
