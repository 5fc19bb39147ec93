"""Broadcasts endpoint records and heartbeats received by one replica to the others."""

from dataclasses import dataclass, field

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.distribution.const import HEARTBEAT_BROADCAST_INTERVAL_S
from chivetrack.components.distribution.messages import (
    BroadcastHeartbeats,
    BroadcastRecords,
    RecordsRequest,
)


@dataclass(slots=True, kw_only=True)
class EndpointBroadcaster:
    """Collects records and heartbeats of endpoints for the other replicas; free of I/O.

    Forwarded one at a time with whole records, heartbeats of 3,000 endpoints take more than a link
    of 4 Mbit/s, and the log waits behind them until no quorum answers in time. So changed records
    are sent together, and for all other endpoints only the fact that a heartbeat arrived.
    """

    table: EndpointTable
    _changed: dict[str, EndpointRecord] = field(default_factory=dict)
    _heartbeats: dict[str, None] = field(default_factory=dict)
    _heartbeats_at: float = float("-inf")

    def record_change(self, record: EndpointRecord) -> None:
        """Send a changed record with the next round."""
        self._changed[record.endpoint_id] = record

    def record_heartbeat(self, endpoint_id: str) -> None:
        """Send with the next round that an endpoint sent a heartbeat without changes."""
        self._heartbeats[endpoint_id] = None

    def make_messages(self, *, now: float) -> list[BroadcastRecords | BroadcastHeartbeats]:
        """Return the messages to send to each of the other replicas now."""
        messages: list[BroadcastRecords | BroadcastHeartbeats] = []
        if self._changed:
            messages.append(BroadcastRecords(number=0, records=tuple(self._changed.values())))
            self._changed.clear()
        if self._heartbeats and now - self._heartbeats_at >= HEARTBEAT_BROADCAST_INTERVAL_S:
            self._heartbeats_at = now
            messages.append(self._pop_heartbeats())
        return messages

    def _pop_heartbeats(self) -> BroadcastHeartbeats:
        # Sorted ids compress best, because neighbours are similar.
        known = [
            record
            for endpoint_id in sorted(self._heartbeats)
            if (record := self.table.find(endpoint_id))
        ]
        self._heartbeats.clear()
        return BroadcastHeartbeats(
            endpoint_ids=tuple(record.endpoint_id for record in known),
            sequences=tuple(record.sequence for record in known),
            checksums=tuple(self.table.find_checksum(record.endpoint_id) for record in known),
        )

    def handle_heartbeats(
        self, heartbeats: BroadcastHeartbeats, *, now: float, source: str = ""
    ) -> RecordsRequest | None:
        """Apply heartbeats that another replica received; return a request for missing records.

        A heartbeat with an unsound sequence is left out; ``source`` is the replica.
        """
        rows = zip(
            heartbeats.endpoint_ids, heartbeats.sequences, heartbeats.checksums, strict=False
        )
        missing = [
            endpoint_id
            for endpoint_id, sequence, checksum in rows
            if not self.table.handle_relayed_heartbeat(
                endpoint_id, sequence, checksum, now=now, writer=source
            )
        ]
        return RecordsRequest(endpoint_ids=tuple(missing)) if missing else None

    def make_records(self, request: RecordsRequest) -> BroadcastRecords | None:
        """Return the records that another replica requested, ``None`` if none is known here."""
        known = [self.table.find(endpoint_id) for endpoint_id in request.endpoint_ids]
        records = tuple(record for record in known if record is not None)
        return BroadcastRecords(number=0, records=records) if records else None
