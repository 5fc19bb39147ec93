"""Table of all known endpoints, merged from announcements that arrive in any order."""

import zlib
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

import msgspec

from chivetrack.components.announcements.models import (
    LAST_SEQUENCE,
    EndpointRecord,
    EndpointState,
)
from chivetrack.components.announcements.soundness import UnsoundRecord, find_fault

# Three heartbeat intervals of 1.2 s plus the delay of a late heartbeat. An endpoint that has
# sent no heartbeat for this time (silent) has crashed or is cut off from every replica.
SILENT_AFTER_S = 5.0
# Longer than any network partition that an endpoint is expected to survive.
LOST_AFTER_S = 60.0
# Delayed announcements have arrived by then, so they cannot add a removed endpoint again.
FORGET_AFTER_S = 60.0
# Endpoints that a replica restored after its restart must send a heartbeat within two
# intervals of 1.2 s, because their last announcement, for example a departure, may not have
# been stored.
RESTORED_TTL_S = 2.6
# Longer than a heartbeat interval: an endpoint that still has its address would have sent a
# heartbeat since.
SUPERSEDED_AFTER_S = 1.5
# The writer of the records that a replica restores at its start.
RESTART_FILE = "restart_file"


@dataclass(slots=True, kw_only=True)
class _Entry:
    record: EndpointRecord
    change: int
    last_seen_at: float
    checksum: int
    is_restored: bool = False


class EndpointTable:
    """Keeps the newest announcement of each endpoint and numbers the changes.

    A heartbeat without changes only updates the time at which the endpoint was last seen;
    followers receive only changes. Entries are kept in the order of their changes, so that
    the cost of listing the newest ones does not grow with the fleet.

    Unsound records are left out, wherever they come from: one of them would end the loops that
    encode the table for other instances, or each request that is placed on its endpoint.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self._entries: dict[str, _Entry] = {}
        self._ids_at: dict[str, set[str]] = {}
        self._unsound_listeners: list[Callable[[UnsoundRecord], None]] = []
        self.change = 0

    def listen_to_unsound(self, listener: Callable[[UnsoundRecord], None]) -> None:
        """Call ``listener`` with each record that is left out."""
        self._unsound_listeners.append(listener)

    def merge(self, record: EndpointRecord, *, now: float, writer: str = "") -> bool:
        """Merge an announcement; return whether it is a change that followers must receive.

        ``writer`` is the instance or the file that it came from.
        """
        if self._leaves_out(record, writer):
            return False
        entry = self._entries.get(record.endpoint_id)
        if entry is None:
            checksum = _make_checksum(record)
            entry = _Entry(record=record, change=0, last_seen_at=now, checksum=checksum)
            self._add_address(record)
            self._assign_change_number(entry)
            return True
        if _contradicts(record, entry.record):
            return self._merge_contradiction(entry, record, now=now)
        if record.position <= entry.record.position:
            return False
        if record.state is EndpointState.LEFT and not record.software:
            record = msgspec.structs.replace(record, software=entry.record.software)
        entry.last_seen_at = now
        entry.is_restored = False
        return self._replace(entry, record)

    def _leaves_out(self, record: EndpointRecord, writer: str) -> bool:
        fault = find_fault(record)
        if fault is None:
            return False
        self.report_unsound(
            UnsoundRecord(writer=writer, endpoint_id=record.endpoint_id, fault=fault)
        )
        return True

    def report_unsound(self, unsound: UnsoundRecord) -> None:
        """Tell the listeners of a record that is left out."""
        for listener in self._unsound_listeners:
            listener(unsound)

    def _replace(self, entry: _Entry, record: EndpointRecord) -> bool:
        """Replace the record of an entry; return whether followers must receive it."""
        is_change = _normalize(record) != _normalize(entry.record)
        if record.address != entry.record.address:
            self._remove_address(entry.record)
            self._add_address(record)
        entry.record = record
        if is_change:
            entry.checksum = _make_checksum(record)
            self._assign_change_number(entry)
        return is_change

    def _merge_contradiction(self, entry: _Entry, record: EndpointRecord, *, now: float) -> bool:
        """Merge an announcement of another software version by the same incarnation.

        The endpoint has started again and does not state when, so the order of the two is not
        known: the other version may also be a delayed announcement of an earlier process. Its
        version is unknown from then on, until it states a later start or is forgotten.
        """
        newest = max(record, entry.record, key=lambda one: one.position)
        if newest is record:
            entry.last_seen_at = now
            entry.is_restored = False
        return self._replace(entry, msgspec.structs.replace(newest, software=""))

    def handle_relayed_heartbeat(
        self, endpoint_id: str, sequence: int, checksum: int, *, now: float, writer: str = ""
    ) -> bool:
        """Apply a heartbeat that another replica received; return whether its record is known.

        ``checksum`` is that of the other replica's record (see ``find_checksum``). If it
        differs or the endpoint is unknown, the full record is needed.
        """
        entry = self._entries.get(endpoint_id)
        if entry is None or entry.checksum != checksum:
            return False
        if sequence > entry.record.sequence:
            record = msgspec.structs.replace(entry.record, sequence=sequence)
            if self._leaves_out(record, writer):
                return True
            entry.record = record
            entry.last_seen_at = now
            entry.is_restored = False
        return True

    def find_checksum(self, endpoint_id: str) -> int:
        """Return a checksum of an endpoint's record without its sequence, 0 if unknown."""
        entry = self._entries.get(endpoint_id)
        return 0 if entry is None else entry.checksum

    def _assign_change_number(self, entry: _Entry) -> None:
        """Give an entry the next change number and move it to the end of the order."""
        self.change += 1
        entry.change = self.change
        self._entries.pop(entry.record.endpoint_id, None)
        self._entries[entry.record.endpoint_id] = entry

    def _add_address(self, record: EndpointRecord) -> None:
        self._ids_at.setdefault(record.address, set()).add(record.endpoint_id)

    def _remove_address(self, record: EndpointRecord) -> None:
        ids = self._ids_at[record.address]
        ids.discard(record.endpoint_id)
        if not ids:
            del self._ids_at[record.address]

    def restore(self, records: Iterable[EndpointRecord], *, now: float) -> None:
        """Merge records stored before a restart; they count as restored until confirmed."""
        for record in records:
            if self.merge(record, now=now, writer=RESTART_FILE):
                self._entries[record.endpoint_id].is_restored = True

    def mark_unconfirmed_lost(self, now: float) -> bool:
        """Mark restored endpoints without a heartbeat as lost; return whether there were any."""
        unheard = [
            entry
            for entry in self._entries.values()
            if entry.is_restored and now - entry.last_seen_at > RESTORED_TTL_S
        ]
        self._mark_lost(unheard, now)
        for entry in unheard:
            # The merge doesn't clear the flag if the endpoint was lost before the restart.
            entry.is_restored = False
        return bool(unheard)

    def mark_superseded_lost(self, record: EndpointRecord, *, now: float) -> list[EndpointRecord]:
        """Mark other endpoints at the address of an announced endpoint as lost.

        A crashed endpoint sends no departure. Routers would continue to send it requests,
        which its successor at the address refuses. Endpoints seen within
        ``SUPERSEDED_AFTER_S`` are kept, because the announcement may have been delayed.
        Returns the new records.
        """
        at_address = sorted(self._ids_at.get(record.address, ()))
        older = [
            entry
            for entry in (self._entries[endpoint_id] for endpoint_id in at_address)
            if entry.record.endpoint_id != record.endpoint_id
            and entry.record.state in (EndpointState.READY, EndpointState.DRAINING)
            and now - entry.last_seen_at > SUPERSEDED_AFTER_S
        ]
        return self._mark_lost(older, now)

    def close(self, endpoint_id: str, *, born: int | None, now: float) -> EndpointRecord | None:
        """Mark an endpoint as left; return its last record, ``None`` if unknown.

        Without ``born``, the departure applies to the known incarnation. A departure of an
        earlier incarnation is ignored.
        """
        entry = self._entries.get(endpoint_id)
        if entry is None:
            return None
        record = entry.record
        if born is not None and born < record.born:
            return record
        left = msgspec.structs.replace(
            record,
            born=record.born if born is None else born,
            sequence=LAST_SEQUENCE,
            state=EndpointState.LEFT,
        )
        self.merge(left, now=now)
        return self._entries[endpoint_id].record

    def find(self, endpoint_id: str) -> EndpointRecord | None:
        """Return the newest announcement of an endpoint, ``None`` if unknown."""
        entry = self._entries.get(endpoint_id)
        return None if entry is None else entry.record

    def list_records(self) -> Iterator[EndpointRecord]:
        """Yield the newest announcement of each endpoint."""
        for entry in self._entries.values():
            yield entry.record

    def list_changes(self, after: int) -> list[EndpointRecord]:
        """Return the records that changed after change number ``after``, oldest change first."""
        newer: list[EndpointRecord] = []
        for entry in reversed(self._entries.values()):
            if entry.change <= after:
                break
            newer.append(entry.record)
        newer.reverse()
        return newer

    def count_changes(self, after: int, *, limit: int) -> int:
        """Return how many records changed after change number ``after``, at most ``limit``."""
        count = 0
        for entry in reversed(self._entries.values()):
            if entry.change <= after or count == limit:
                break
            count += 1
        return count

    def list_silent(self, now: float) -> list[str]:
        """Return the ids of endpoints that are silent and have not left."""
        return [
            endpoint_id
            for endpoint_id, entry in self._entries.items()
            if now - entry.last_seen_at > SILENT_AFTER_S
            and entry.record.state is not EndpointState.LEFT
        ]

    def mark_silent_lost(self, now: float) -> list[EndpointRecord]:
        """Mark endpoints silent for ``LOST_AFTER_S`` as lost; return their new records.

        Call this only on tables that receive heartbeats. Followers receive only changes, so
        they can't detect silence themselves; the transition to lost is sent to them.
        """
        silent = [
            entry
            for entry in self._entries.values()
            if entry.record.state in (EndpointState.READY, EndpointState.DRAINING)
            and now - entry.last_seen_at > LOST_AFTER_S
        ]
        return self._mark_lost(silent, now)

    def _mark_lost(self, entries: Iterable[_Entry], now: float) -> list[EndpointRecord]:
        lost = [
            msgspec.structs.replace(entry.record, state=EndpointState.LOST) for entry in entries
        ]
        for record in lost:
            self.merge(record, now=now)
        return lost

    def refute_lost(self, lost: EndpointRecord) -> bool:
        """Number a newer live record as a change if another replica marked it lost.

        Followers may have merged the lost record, because theirs dates from the last
        change. Heartbeats alone are not a change here, so they would not correct it.
        """
        entry = self._entries.get(lost.endpoint_id)
        if entry is None or lost.state is not EndpointState.LOST:
            return False
        is_live = entry.record.state in (EndpointState.READY, EndpointState.DRAINING)
        if not is_live or entry.record.position <= lost.position:
            return False
        self._assign_change_number(entry)
        return True

    def remove_expired(self, now: float) -> list[EndpointRecord]:
        """Drop endpoints left or lost for ``FORGET_AFTER_S``; return their last records.

        Ready and draining endpoints are kept regardless of age: followers receive only
        changes, so a running endpoint whose state doesn't change is never refreshed there.
        """
        expired = [
            entry.record
            for entry in self._entries.values()
            if entry.record.state in (EndpointState.LEFT, EndpointState.LOST)
            and now - entry.last_seen_at > FORGET_AFTER_S
        ]
        for record in expired:
            del self._entries[record.endpoint_id]
            self._remove_address(record)
        return expired


def _contradicts(record: EndpointRecord, known: EndpointRecord) -> bool:
    """Return whether two announcements of one incarnation state different software versions.

    Departures are no contradiction: they may come without a version, and end the incarnation.
    """
    states = (record.state, known.state)
    return (
        record.born == known.born
        and record.software != known.software
        and EndpointState.LEFT not in states
    )


def _normalize(record: EndpointRecord) -> EndpointRecord:
    """Return the record without the values that change with every heartbeat."""
    return msgspec.structs.replace(record, sequence=0, cold_s=float(record.cold_s > 0))


def _make_checksum(record: EndpointRecord) -> int:
    return zlib.crc32(msgspec.msgpack.encode(_normalize(record)))
