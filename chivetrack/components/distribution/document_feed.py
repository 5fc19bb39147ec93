"""Decides how documents reach routers: as patches, a few at a time, via each other; free of I/O."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from chivetrack.components.distribution.const import (
    BULK_BYTES_PER_S,
    DELIVERY_STALLED_S,
    DOCUMENT_RESEND_S,
)
from chivetrack.components.distribution.messages import (
    DocumentSent,
    FetchDocument,
    FetchElsewhere,
)
from chivetrack.components.distribution.pacing import Pacer
from chivetrack.components.distribution.relays import RelaySelector, fits_in_flight
from chivetrack.components.document.history import DocumentHistory, DocumentUpdate
from chivetrack.core import SendMessage


@dataclass(frozen=True, slots=True, kw_only=True)
class _Delivery:
    """A document on its way to a router, from the router ``holder`` or, if empty, from here."""

    version: int
    held_version: int
    size: int
    holder: str
    expires_at: float


@dataclass(slots=True, kw_only=True)
class DocumentFeed:
    """Brings the newest document to the routers that lack it.

    A copy counts as in flight until its receiver confirms it or its time is over. What this replica
    and each router that relays have in flight is bounded, and each confirmation makes room for the
    next copies. So the rate follows the links and the processors, whatever the size of a document.
    """

    history: DocumentHistory
    pacer: Pacer
    _lacking: dict[str, int] = field(default_factory=dict)
    """Version held by each router that waits for its turn, in the order of the turns."""
    _deliveries: dict[str, _Delivery] = field(default_factory=dict)
    _first_sent_at: dict[str, float] = field(default_factory=dict)
    """When the first copy was sent to a router since it last confirmed one."""
    _without_relay: set[str] = field(default_factory=set)
    """Routers that a relay has not reached."""
    _relays: RelaySelector = field(default_factory=RelaySelector)
    _direct_bytes: int = 0
    _version: int = 0

    @property
    def is_outdated(self) -> bool:
        """Return whether there is a document that ``begin_version`` was not called for."""
        return self._version != self.history.version

    def begin_version(self, routers: Mapping[str, int]) -> None:
        """Start with a new document; ``routers`` are those to serve, with the version of each."""
        self._version = self.history.version
        self._relays.clear()
        self._without_relay.clear()
        for router, version in routers.items():
            self._add_lacking(router, version)

    def record_version(self, router: str, version: int, *, is_stopping: bool, now: float) -> None:
        """Record which version a router has, 0 if none, and whether it can relay it."""
        self._end_expired(now)
        delivery = self._deliveries.get(router)
        is_confirmed = delivery is not None and version >= delivery.version
        if is_confirmed:
            self._end_delivery(router)
        if is_confirmed or version >= self.history.version:
            # A copy may be confirmed after it was given up.
            self._first_sent_at.pop(router, None)
        if version < self.history.version or is_stopping:
            self._relays.remove(router)
        else:
            self._relays.add(router)
        self._add_lacking(router, version)

    def remove_router(self, router: str) -> None:
        """Remove a router that has not polled for a long time."""
        self._end_delivery(router)
        self._lacking.pop(router, None)
        self._first_sent_at.pop(router, None)
        self._relays.remove(router)

    def handle_fetch(self, source: str, fetch: FetchDocument, *, now: float) -> None:
        """Record that a router requests the newest document.

        A router that could not apply a patch requests the whole document.
        """
        self._end_expired(now)
        delivery = self._deliveries.get(source)
        if delivery is not None and fetch.held_version < delivery.held_version:
            self._end_delivery(source)
        self._add_lacking(source, fetch.held_version)

    def is_stalled(self, router: str, *, now: float) -> bool:
        """Return whether a router was sent documents for a long time and confirms none."""
        return now - self._first_sent_at.get(router, now) > DELIVERY_STALLED_S

    def serve(self, *, now: float) -> list[SendMessage]:
        """Return documents and redirects for the routers whose turn it is."""
        self._end_expired(now)
        messages: list[SendMessage] = []
        for router, held_version in list(self._lacking.items()):
            update = self.history.make_update(held_version)
            message = None if update is None else self._deliver(router, held_version, update, now)
            if update is None or message is not None:
                del self._lacking[router]
            if message is not None:
                messages.append(message)
        return messages

    def _add_lacking(self, router: str, version: int) -> None:
        if version >= self.history.version:
            self._lacking.pop(router, None)
        elif router not in self._deliveries:
            self._lacking[router] = min(version, self._lacking.get(router, version))

    def _deliver(
        self, router: str, held_version: int, update: DocumentUpdate, now: float
    ) -> SendMessage | None:
        """Return a document or a redirect to a holder, ``None`` if no sender has room."""
        size = len(update.payload)
        message: DocumentSent | FetchElsewhere
        if fits_in_flight(self._direct_bytes, size):
            holder = ""
            self._direct_bytes += size
            in_flight = self._direct_bytes
            self.pacer.reserve(size, now=now)
            message = DocumentSent(
                version=update.version, payload=update.payload, base_version=update.base_version
            )
        else:
            holder = "" if router in self._without_relay else self._relays.choose(size)
            if not holder:
                return None
            in_flight = self._relays.record_start(holder, size)
            message = FetchElsewhere(version=update.version, holder=holder)
        self._first_sent_at.setdefault(router, now)
        self._deliveries[router] = _Delivery(
            version=update.version,
            held_version=held_version,
            size=size,
            holder=holder,
            expires_at=now + DOCUMENT_RESEND_S + in_flight / BULK_BYTES_PER_S,
        )
        return SendMessage(target=router, message=message)

    def _end_delivery(self, router: str) -> None:
        delivery = self._deliveries.pop(router, None)
        if delivery is None:
            return
        if delivery.holder:
            self._relays.record_end(delivery.holder, delivery.size)
        else:
            self._direct_bytes -= delivery.size

    def _end_expired(self, now: float) -> None:
        """Give up the deliveries that are overdue; a router that polls gets its next turn.

        Either end may be gone, so the holder relays nothing more until its next poll.
        """
        expired = [name for name, one in self._deliveries.items() if one.expires_at <= now]
        for router in expired:
            holder = self._deliveries[router].holder
            self._end_delivery(router)
            if holder:
                self._without_relay.add(router)
                self._relays.remove(holder)
