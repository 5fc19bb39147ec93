"""Handles the control API calls of operators and endpoints at a replica."""

import time
from collections.abc import Callable, Collection, Iterable

from expression import Error, Ok, Result
from gevent.event import Event as Signal

from chivetrack.components.announcements.models import (
    LAST_SEQUENCE,
    EndpointRecord,
    EndpointState,
)
from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.distribution.broadcast import EndpointBroadcaster
from chivetrack.components.distribution.messages import (
    BroadcastHeartbeats,
    BroadcastRecords,
    RecordsAck,
    RecordsRequest,
)
from chivetrack.components.document.store import StoredDocument
from chivetrack.components.evacuation.models import Evacuations
from chivetrack.components.quarantine.models import Quarantine
from chivetrack.components.traffic.models import Document
from chivetrack.daemon.fleet.const import BROADCAST_WAIT_S
from chivetrack.daemon.fleet.documents import (
    DocumentHandler,
    make_stopping,
    make_unavailable,
)
from chivetrack.daemon.fleet.pending_requests import count_requests
from chivetrack.exceptions import Fault
from chivetrack.helpers.codec import Message
from chivetrack.helpers.events import EventLog
from chivetrack.platform.control_api import RedirectTo


class _PendingBroadcast:
    """A record that was sent to the other replicas and awaits ``needed`` acknowledgements."""

    def __init__(self, needed: int) -> None:
        self.done = Signal()
        self.needed = needed
        self.acknowledged_by: set[str] = set()

    def handle_ack(self, source: str) -> None:
        self.acknowledged_by.add(source)
        if len(self.acknowledged_by) >= self.needed:
            self.done.set()


class ControlHandler:
    """Answer operators from the log and endpoints from the table of announcements."""

    def __init__(
        self,
        *,
        instance_id: str,
        documents: DocumentHandler,
        zones: Collection[str],
        list_replicas: Callable[[], tuple[str, ...]],
        table: EndpointTable,
        send: Callable[[str, Message], None],
        push: Callable[[], None],
        events: EventLog,
    ) -> None:
        """Store the components; ``push`` schedules an update to the routers.

        ``zones`` are the zones of the deployment; if empty, orders may name any zone.
        """
        self._instance_id = instance_id
        self._documents = documents
        self._zones = frozenset(zones)
        self._list_replicas = list_replicas
        self._table = table
        self._send = send
        self._push = push
        self._events = events
        self._endpoint_broadcaster = EndpointBroadcaster(table=table)
        self._numbers = count_requests()
        self._pending_broadcasts: dict[int, _PendingBroadcast] = {}
        self._is_stopping = False

    def begin_stop(self) -> None:
        """Refuse what would have to be sent to other replicas; what is in progress goes on."""
        self._is_stopping = True
        self._documents.begin_stop()

    def put(self, document: Document, body: bytes) -> Result[int, Fault | RedirectTo]:
        """Commit a document and return the version in force."""
        return self._documents.put(document, body)

    def read(self) -> Result[StoredDocument, Fault | RedirectTo]:
        """Return the newest document."""
        return self._documents.read()

    def order_evacuation(self, zone: str, *, is_evacuated: bool) -> Result[int, Fault | RedirectTo]:
        """Commit the evacuation of a zone or its revocation; return the order's revision."""
        if self._zones and zone not in self._zones:
            return Error(_make_unknown_zone(zone, self._zones))
        return self._documents.order(zone, is_evacuated=is_evacuated)

    def read_evacuations(self) -> Result[Evacuations, Fault | RedirectTo]:
        """Return the zone orders in force."""
        return self._documents.read_evacuations()

    def release_request(self, fingerprint: bytes) -> Result[int, Fault | RedirectTo]:
        """Commit the release of a quarantined request and return the quarantine's revision."""
        return self._documents.release_request(fingerprint)

    def read_quarantine(self) -> Result[Quarantine, Fault | RedirectTo]:
        """Return the quarantined requests."""
        return self._documents.read_quarantine()

    # Endpoints

    def announce(self, record: EndpointRecord) -> Result[None, Fault]:
        """Handle an endpoint's announcement.

        A change to a state other than ready is acknowledged once a majority knows it.
        """
        if self._is_stopping:
            return Error(make_stopping())
        is_change = self._table.merge(record, now=time.monotonic())
        known = self._table.find(record.endpoint_id)
        if known is None:
            return Ok(None)
        if is_change:
            self._broadcast_lost(self._table.mark_superseded_lost(record, now=time.monotonic()))
            self._log(known)
            self._push()
        if is_change and known.state is not EndpointState.READY:
            return self._broadcast_to_majority(known)
        if is_change:
            self._endpoint_broadcaster.record_change(known)
        elif known.position == record.position:
            self._endpoint_broadcaster.record_heartbeat(record.endpoint_id)
        return Ok(None)

    def leave(self, endpoint_id: str, born: int | None) -> Result[None, Fault]:
        """Handle an endpoint's departure; acknowledged once a majority knows it."""
        if self._is_stopping:
            return Error(make_stopping())
        now = time.monotonic()
        known = self._table.close(endpoint_id, born=born, now=now)
        if known is None:
            # The endpoint is unknown here since the start; a router may still know it.
            known = _make_departure(endpoint_id, born)
            self._table.merge(known, now=now)
        self._log(known)
        self._push()
        return self._broadcast_to_majority(known)

    def mark_silent_lost(self) -> None:
        """Mark endpoints without recent heartbeats as lost and send this to other replicas.

        A replica that still receives the heartbeats refutes it to its followers.
        """
        lost = self._table.mark_silent_lost(time.monotonic())
        self._broadcast_lost(lost)
        if lost:
            self._push()

    def _broadcast_lost(self, lost: Iterable[EndpointRecord]) -> None:
        for record in lost:
            self._log(record)
            self._endpoint_broadcaster.record_change(record)

    def _log(self, record: EndpointRecord) -> None:
        self._events.write("endpoint_said", **record.describe())

    def _list_others(self) -> list[str]:
        return [one for one in self._list_replicas() if one != self._instance_id]

    def broadcast(self) -> None:
        """Send the other replicas the announcements received since the last call."""
        messages = self._endpoint_broadcaster.make_messages(now=time.monotonic())
        for target in self._list_others():
            for message in messages:
                self._send(target, message)

    def _broadcast_to_majority(self, record: EndpointRecord) -> Result[None, Fault]:
        """Send a record to the other replicas and wait until a majority has it.

        A record known to one replica only could be lost with it. Routers query every replica,
        so a majority ensures that each router receives the record in time.
        """
        others = self._list_others()
        number = next(self._numbers)
        broadcast = _PendingBroadcast((len(others) + 1) // 2)
        self._pending_broadcasts[number] = broadcast
        for target in others:
            self._send(target, BroadcastRecords(number=number, records=(record,)))
        is_known = broadcast.needed == 0 or broadcast.done.wait(BROADCAST_WAIT_S)
        del self._pending_broadcasts[number]
        if is_known:
            return Ok(None)
        self._events.write("departure_not_spread", endpoint=record.endpoint_id)
        return Error(make_unavailable("no_majority", "no majority of replicas has the record yet"))

    def handle_message(self, source: str, message: Message) -> bool:
        """Handle a message of another replica; return whether its kind is known here."""
        if self._documents.handle_message(source, message):
            return True
        if isinstance(message, RecordsAck):
            broadcast = self._pending_broadcasts.get(message.number)
            if broadcast is not None:
                broadcast.handle_ack(source)
            return True
        if isinstance(message, BroadcastHeartbeats):
            missing = self._endpoint_broadcaster.handle_heartbeats(
                message, now=time.monotonic(), source=source
            )
            self._send_if_any(source, missing)
            return True
        if isinstance(message, RecordsRequest):
            self._send_if_any(source, self._endpoint_broadcaster.make_records(message))
            return True
        if not isinstance(message, BroadcastRecords):
            return False
        self._handle_records(source, message)
        return True

    def _send_if_any(self, target: str, message: Message | None) -> None:
        if message is not None:
            self._send(target, message)

    def _handle_records(self, source: str, message: BroadcastRecords) -> None:
        now = time.monotonic()
        changes = [self._table.merge(record, now=now, writer=source) for record in message.records]
        changes += [self._table.refute_lost(record) for record in message.records]
        if any(changes):
            self._push()
        if message.number:
            self._send(source, RecordsAck(number=message.number))


def _make_unknown_zone(zone: str, zones: Collection[str]) -> Fault:
    known = ", ".join(sorted(zones))
    return Fault(
        code="unknown_zone",
        message=f"no availability zone is named {zone!r}; there are {known}",
        status=404,
    )


def _make_departure(endpoint_id: str, born: int | None) -> EndpointRecord:
    return EndpointRecord(
        endpoint_id=endpoint_id,
        born=int(time.time() * 1000) if born is None else born,
        sequence=LAST_SEQUENCE,
        service="",
        address="",
        zone="",
        software="",
        slots=0,
        state=EndpointState.LEFT,
    )
