"""Decides how documents reach routers: as patches, rate-limited, via other routers; free of I/O."""

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
    """A document, or a redirect to a router that holds it, to be sent after ``delay_s`` seconds."""

    target: str
    message: DocumentSent | FetchElsewhere
    delay_s: float


@dataclass(frozen=True, slots=True)
class _ScheduledDocument:
    """Version last sent to a router, and from when on it is sent again on request."""

    version: int
    resend_at: float


@dataclass(slots=True, kw_only=True)
class DocumentFeed:
    """Answers routers that request the newest document."""

    history: DocumentHistory
    pacer: Pacer
    _scheduled: dict[str, _ScheduledDocument] = field(default_factory=dict)
    _relays: RelaySelector = field(default_factory=RelaySelector)

    def record_version(self, router: str, version: int, *, is_stopping: bool, now: float) -> None:
        """Record which version a router has, 0 if none, and whether it can relay it."""
        if is_stopping or version < self.history.version:
            self._relays.remove_holder(router, now=now)
        else:
            self._relays.record_holder(router, version, since=now)

    def remove_router(self, router: str) -> None:
        """Remove a router that has not polled for a long time."""
        self._scheduled.pop(router, None)

    def handle_fetch(
        self, source: str, fetch: FetchDocument, *, now: float
    ) -> tuple[PacedDocument, ...]:
        """Return the newest document, or a redirect, for a router that lacks it.

        Returns nothing if the router is up to date, or if the document was sent to it so recently
        that it may still be in flight.
        """
        update = self.history.make_update(fetch.held_version)
        if update is None:
            return ()
        scheduled = self._scheduled.get(source)
        is_repeated = scheduled is not None and scheduled.version == update.version
        if scheduled is not None and is_repeated and now < scheduled.resend_at:
            return ()
        paced = None if is_repeated else self._redirect(source, update, now)
        paced = paced or self._send_update(source, update, now)
        self._scheduled[source] = _ScheduledDocument(
            update.version, now + paced.delay_s + DOCUMENT_RESEND_S
        )
        return (paced,)

    def _redirect(self, source: str, update: DocumentUpdate, now: float) -> PacedDocument | None:
        """Return a redirect to a holder of the document, ``None`` to send it directly."""
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
