"""Router side of documents: what a router holds, requests and relays; free of I/O."""

import zlib
from collections.abc import Callable
from dataclasses import dataclass

from expression import Error, Ok, Result

from chivetrack.components.distribution.const import (
    ASSIGNED_NAMED_S,
    FETCH_RETRY_S,
    MAX_FETCH_RETRY_S,
    OUTDATED_GRACE_S,
)
from chivetrack.components.distribution.messages import (
    DocumentSent,
    FetchDocument,
    FetchElsewhere,
)
from chivetrack.components.document.patch import PatchError, apply_patch
from chivetrack.components.document.store import pack_document, unpack_document
from chivetrack.core import Effect, SendMessage


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentReceipt:
    """A document that took effect: its size on the link, and for how long this router lacked it.

    ``behind_s`` counts from the moment at which the router learned of a newer version than its own.
    ``base_version`` is 0 if the whole document was received, or the version that was patched.
    """

    version: int
    base_version: int
    size: int
    behind_s: float


class DocumentReceiver:
    """Holds the newest document received, requests newer ones, and sends it to other routers.

    A document is applied only if its version is higher than the one held, so a replica that lags or
    has been cut off can't set a router back to an old version.
    """

    def __init__(
        self,
        *,
        apply: Callable[[int, bytes], None],
        on_unreadable: Callable[[int, str], None],
    ) -> None:
        """Start without a document.

        ``apply`` gets the version and the document as the operator sent it, ``on_unreadable`` the
        version and a description of the fault in a received document.
        """
        self._apply = apply
        self._on_unreadable = on_unreadable
        self._next_fetch = float("inf")
        self._fetch_backoff_s = FETCH_RETRY_S
        self._body = b""
        self._last_received: DocumentSent | None = None
        self._behind_since: float | None = None
        self._source = ""
        self._assigned_named_at = float("-inf")
        self._acknowledged = 0
        self._outdated_since: float | None = None
        self.version = 0

    def handle_version(self, source: str, version: int, *, is_assigned: bool, now: float) -> None:
        """Record that the replica ``source`` has ``version``.

        The assigned replica sends a newer document by itself. It is requested only if it does not
        come, from another replica if the assigned one lacks it.
        """
        if version <= self.version:
            return
        if self._behind_since is None:
            self._behind_since = now
            self._next_fetch = now + self._fetch_backoff_s
        if is_assigned:
            self._assigned_named_at = now
        if is_assigned or now - self._assigned_named_at > ASSIGNED_NAMED_S:
            self._source = source

    def record_acknowledged(self, version: int, *, now: float) -> None:
        """Record that operators were acknowledged ``version``."""
        self._acknowledged = max(self._acknowledged, version)
        if self._outdated_since is None and self.is_outdated:
            self._outdated_since = now

    @property
    def is_outdated(self) -> bool:
        """Return whether operators were acknowledged a newer version than the one held."""
        return self.version < self._acknowledged

    def is_long_outdated(self, now: float) -> bool:
        """Return whether this router has lacked an acknowledged version for too long to serve."""
        since = self._outdated_since
        return since is not None and now - since > OUTDATED_GRACE_S

    def request_due(self, *, now: float) -> list[Effect]:
        """Return a request for the newest document if it did not come by itself."""
        if self._behind_since is None or not self._source or now < self._next_fetch:
            return []
        self._fetch_backoff_s = min(MAX_FETCH_RETRY_S, 2 * self._fetch_backoff_s)
        self._next_fetch = now + self._fetch_backoff_s
        return [SendMessage(target=self._source, message=self._make_fetch())]

    def _make_fetch(self) -> FetchDocument:
        return FetchDocument(held_version=self.version if self._body else 0)

    def handle_document(self, sent: DocumentSent, *, now: float) -> DocumentReceipt | None:
        """Apply a newer document and return its receipt; drop an older one."""
        if sent.version <= self.version:
            return None
        if sent.base_version and sent.base_version != self.version:
            # The patch was made for the version held at the time of the request, since replaced.
            return None
        body = self._read(sent)
        self._fetch_backoff_s = FETCH_RETRY_S
        if body.is_error():
            # Without the body, the next request is for the whole document.
            self._body = b""
            self._behind_since = now
            self._next_fetch = now
            self._on_unreadable(sent.version, str(body.error))
            return None
        behind_since, self._behind_since = self._behind_since, None
        self.version = sent.version
        if not self.is_outdated:
            self._outdated_since = None
        self._body = body.ok
        self._last_received = sent
        self._apply(sent.version, body.ok)
        return DocumentReceipt(
            version=sent.version,
            base_version=sent.base_version,
            size=len(sent.payload),
            behind_s=0.0 if behind_since is None else now - behind_since,
        )

    def _read(self, sent: DocumentSent) -> Result[bytes, PatchError]:
        if sent.base_version:
            return apply_patch(self._body, sent.payload)
        try:
            return Ok(unpack_document(sent.payload))
        except zlib.error as error:
            return Error(PatchError(f"not a packed document: {error}"))

    def handle_redirect(self, redirect: FetchElsewhere) -> list[Effect]:
        """Request the document from another router, to which a replica has redirected."""
        if redirect.version <= self.version:
            return []
        return [SendMessage(target=redirect.holder, message=self._make_fetch())]

    def handle_fetch(self, source: str, fetch: FetchDocument) -> list[Effect]:
        """Send the document to another router that holds an older one."""
        if self._last_received is None or fetch.held_version >= self.version:
            return []
        if self._last_received.base_version not in (0, fetch.held_version):
            # The patch received here does not apply to the version held by the other router.
            self._last_received = DocumentSent(
                version=self.version, payload=pack_document(self._body)
            )
        return [SendMessage(target=source, message=self._last_received)]

    def find_body(self, min_version: int) -> bytes | None:
        """Return the document held, as the operator sent it, if its version is high enough."""
        return self._body if self._body and self.version >= min_version else None
