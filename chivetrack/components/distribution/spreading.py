"""What a replica tells the others of the endpoints that announce themselves to it."""

from dataclasses import dataclass, field

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.distribution.const import HEARTBEATS_EVERY_S
from chivetrack.components.distribution.messages import (
    AskRecords,
    SpreadHeartbeats,
    SpreadRecords,
)


@dataclass(slots=True, kw_only=True)
class Spreading:
    """Collects statements of endpoints for the other replicas; free of I/O.

    Passed on one by one and whole, heartbeats of 3,000 endpoints take more than a link of
    4 Mbit/s, and the log waits behind them until no quorum answers in time. Changed records
    go out together, of all others only that they were heard.
    """

    table: EndpointTable
    _changed: dict[str, EndpointRecord] = field(default_factory=dict)
    _heard: dict[str, None] = field(default_factory=dict)
    _heartbeats_at: float = float("-inf")

    def note_change(self, record: EndpointRecord) -> None:
        """Pass on a record with the next round."""
        self._changed[record.endpoint_id] = record

    def note_heartbeat(self, endpoint_id: str) -> None:
        """Pass on that an endpoint was heard and said nothing new."""
        self._heard[endpoint_id] = None

    def make_messages(self, *, now: float) -> list[SpreadRecords | SpreadHeartbeats]:
        """Return what each of the other replicas is to be sent now."""
        messages: list[SpreadRecords | SpreadHeartbeats] = []
        if self._changed:
            messages.append(SpreadRecords(number=0, records=tuple(self._changed.values())))
            self._changed.clear()
        if self._heard and now - self._heartbeats_at >= HEARTBEATS_EVERY_S:
            self._heartbeats_at = now
            messages.append(self._take_heartbeats())
        return messages

    def _take_heartbeats(self) -> SpreadHeartbeats:
        # Neighbours that are alike compress best.
        known = [record for one in sorted(self._heard) if (record := self.table.find(one))]
        self._heard.clear()
        return SpreadHeartbeats(
            endpoint_ids=tuple(one.endpoint_id for one in known),
            sequences=tuple(one.sequence for one in known),
            checksums=tuple(self.table.find_checksum(one.endpoint_id) for one in known),
        )

    def take_heartbeats(self, heard: SpreadHeartbeats, *, now: float) -> AskRecords | None:
        """Take heartbeats that another replica got; return a question for records lacked here."""
        rows = zip(heard.endpoint_ids, heard.sequences, heard.checksums, strict=False)
        lacked = [
            endpoint_id
            for endpoint_id, sequence, checksum in rows
            if not self.table.handle_relayed_heartbeat(endpoint_id, sequence, checksum, now=now)
        ]
        return AskRecords(endpoint_ids=tuple(lacked)) if lacked else None

    def answer(self, ask: AskRecords) -> SpreadRecords | None:
        """Return the records that another replica lacks, ``None`` if none is known here."""
        known = [self.table.find(one) for one in ask.endpoint_ids]
        records = tuple(one for one in known if one is not None)
        return SpreadRecords(number=0, records=records) if records else None
