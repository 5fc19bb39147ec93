"""Decides how documents reach routers: as patches, paced, from each other; free of I/O."""

from dataclasses import dataclass, field

from chivetrack.components.distribution.const import (
    BULK_BYTES_PER_S,
    DOCUMENT_RESEND_S,
    MAX_DIRECT_DELAY_S,
)
from chivetrack.components.distribution.messages import (
    DocumentSent,
    FetchDocument,
    FetchElsewhere,
)
from chivetrack.components.distribution.pacing import Pacer
from chivetrack.components.distribution.relays import RelaySelector
from chivetrack.components.document.history import DocumentHistory, DocumentUpdate


@dataclass(frozen=True, slots=True, kw_only=True)
class PacedDocument:
    """A document, or who has it, that goes to a router after ``delay_s`` seconds."""

    target: str
    message: DocumentSent | FetchElsewhere
    delay_s: float


@dataclass(frozen=True, slots=True)
class _ScheduledDocument:
    """Which version a router is being sent, and until when asking again brings nothing."""

    version: int
    resend_at: float


@dataclass(slots=True, kw_only=True)
class DocumentFeed:
    """Answers routers that ask for the newest document."""

    history: DocumentHistory
    pacer: Pacer
    _scheduled: dict[str, _ScheduledDocument] = field(default_factory=dict)
    _relays: RelaySelector = field(default_factory=RelaySelector)

    def record_version(self, router: str, version: int, *, is_stopping: bool, now: float) -> None:
        """Note which version a router has, 0 if none, and whether it can hand it on."""
        if is_stopping or version < self.history.version:
            self._relays.remove_holder(router, now=now)
        else:
            self._relays.record_holder(router, version, since=now)

    def remove_router(self, router: str) -> None:
        """Drop a router that has gone."""
        self._scheduled.pop(router, None)

    def handle_fetch(
        self, source: str, fetch: FetchDocument, *, now: float
    ) -> tuple[PacedDocument, ...]:
        """Send the newest document to a router that lacks it, when it is its turn."""
        update = self.history.make_update(fetch.held_version)
        if update is None:
            return ()
        due = self._scheduled.get(source)
        is_again = due is not None and due.version == update.version
        if due is not None and is_again and now < due.resend_at:
            return ()
        paced = None if is_again else self._redirect(source, update, now)
        paced = paced or self._send_update(source, update, now)
        self._scheduled[source] = _ScheduledDocument(
            update.version, now + paced.delay_s + DOCUMENT_RESEND_S
        )
        return (paced,)

    def _redirect(self, source: str, update: DocumentUpdate, now: float) -> PacedDocument | None:
        """Name a router that hands the document on; one that asks again is not referred."""
        if self.pacer.find_delay(now=now) <= MAX_DIRECT_DELAY_S:
            return None
        size = len(update.payload)
        relay = self._relays.choose(source, update.version, size=size, now=now)
        if relay is None:
            return None
        elsewhere = FetchElsewhere(version=update.version, holder=relay.holder)
        return PacedDocument(target=source, message=elsewhere, delay_s=relay.delay_s)

    def _send_update(self, source: str, update: DocumentUpdate, now: float) -> PacedDocument:
        size = len(update.payload)
        delay_s = self.pacer.reserve(size, now=now)
        since = now + delay_s + size / BULK_BYTES_PER_S
        self._relays.record_holder(source, update.version, since=since)
        sent = DocumentSent(
            version=update.version, payload=update.payload, base_version=update.base_version
        )
        return PacedDocument(target=source, message=sent, delay_s=delay_s)
