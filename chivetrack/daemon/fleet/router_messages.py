"""Messages of replicas and of other routers, as a router handles them."""

import time
from collections.abc import Callable, Iterator
from typing import Any

from chivetrack.components.admission.messages import SlotAnswer
from chivetrack.components.distribution.messages import (
    DocumentApplied,
    DocumentSent,
    EndpointUpdate,
    FetchDocument,
    FetchElsewhere,
    LoadUpdate,
    SilentUpdate,
    View,
)
from chivetrack.components.distribution.subscriber import Subscriber
from chivetrack.components.origins.messages import OriginAnswer
from chivetrack.components.peers.links import LinkTransport
from chivetrack.components.retries.messages import LeaseAnswer
from chivetrack.components.slow_start.messages import PermitAnswer
from chivetrack.daemon.fleet.admission import AdmissionClient
from chivetrack.daemon.fleet.fleet_view import FleetView
from chivetrack.daemon.fleet.origins import OriginClient
from chivetrack.daemon.fleet.paths import EndpointPaths
from chivetrack.daemon.fleet.peering import send_all
from chivetrack.daemon.fleet.permits import PermitClient
from chivetrack.daemon.fleet.retry_budget import RetryBudgetClient
from chivetrack.helpers.codec import Message
from chivetrack.helpers.events import EventLog


class RouterMessages:
    """Hand each message to the component that it is for, and send what follows from it."""

    def __init__(
        self,
        *,
        subscriber: Subscriber,
        view: FleetView,
        paths: EndpointPaths,
        origins: OriginClient,
        permits: PermitClient,
        admission: AdmissionClient,
        retry_budget: RetryBudgetClient,
        transport: LinkTransport,
        events: EventLog,
    ) -> None:
        """Store the components that messages are for."""
        self._subscriber = subscriber
        self._view = view
        self._paths = paths
        self._origins = origins
        self._permits = permits
        self._admission = admission
        self._retry_budget = retry_budget
        self._transport = transport
        self._events = events
        self._handlers = dict(self._list_handlers())

    def handle(self, source: str, message: Message) -> None:
        """Apply a message of the process at ``source``; those of unknown types are ignored."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(source, message)

    def _list_handlers(self) -> Iterator[tuple[type[Message], Callable[[str, Any], None]]]:
        yield View, self._handle_view
        yield EndpointUpdate, self._handle_endpoints
        yield SilentUpdate, self._handle_silent
        yield LoadUpdate, self._handle_loads
        yield OriginAnswer, lambda source, answer: self._origins.handle_answer(source, answer)
        yield PermitAnswer, lambda source, answer: self._permits.handle_answer(answer)
        yield SlotAnswer, lambda source, answer: self._admission.handle_answer(answer)
        yield LeaseAnswer, lambda source, answer: self._retry_budget.handle_answer(answer)
        yield DocumentSent, self._handle_document
        yield FetchElsewhere, self._handle_referral
        yield FetchDocument, self._answer_fetch

    def _handle_view(self, source: str, view: View) -> None:
        """Apply the view of a replica."""
        self._subscriber.handle_view(source, view, now=time.monotonic())
        self._origins.handle_view(
            keeps_origins=self._subscriber.do_replicas_keep_origins,
            restart_count=self._subscriber.restart_count,
        )
        self._view.handle_view(view, viewed_at=self._subscriber.viewed_at)
        self._view.quarantine.handle_replica_restarts(self._subscriber.restart_count)
        self._paths.handle_carriers(view.carriers)

    def _handle_endpoints(self, _source: str, update: EndpointUpdate) -> None:
        effects = self._subscriber.handle_endpoints(update, now=time.monotonic())
        self._view.apply_endpoints(is_partial=update.is_partial)
        self._events.write(
            "endpoints_taken",
            replica=update.replica,
            base=update.base,
            change=update.change,
            is_partial=update.is_partial,
            bytes=len(update.payload),
            handed_on=len(update.forward_to),
        )
        send_all(self._transport.send, effects)

    def _handle_silent(self, _source: str, update: SilentUpdate) -> None:
        if update.replica == self._subscriber.assigned_replica:
            self._view.update_silent_endpoints(update.endpoint_ids)
        send_all(self._transport.send, self._subscriber.handle_silent(update))

    def _handle_loads(self, _source: str, update: LoadUpdate) -> None:
        if update.replica == self._subscriber.assigned_replica:
            self._view.handle_loads(update.payload)
        send_all(self._transport.send, self._subscriber.forward_update(update))

    def _handle_document(self, source: str, sent: DocumentSent) -> None:
        receipt = self._subscriber.documents.handle_document(sent, now=time.monotonic())
        if receipt is None:
            return
        self._events.write(
            "configuration_received",
            version=receipt.version,
            base=receipt.base_version,
            bytes=receipt.size,
            source=source,
            behind_s=round(receipt.behind_s, 3),
        )
        applied = DocumentApplied(version=receipt.version)
        self._transport.send(self._subscriber.assigned_replica, applied)

    def _handle_referral(self, _source: str, referral: FetchElsewhere) -> None:
        self._events.write(
            "configuration_asked_elsewhere", version=referral.version, holder=referral.holder
        )
        send_all(self._transport.send, self._subscriber.documents.handle_redirect(referral))

    def _answer_fetch(self, source: str, fetch: FetchDocument) -> None:
        send_all(self._transport.answer, self._subscriber.documents.handle_fetch(source, fetch))
