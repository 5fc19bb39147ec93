"""Replication progress of one replica, as tracked by the leader."""

from collections import deque
from dataclasses import dataclass, field

from chivetrack.components.consensus.const import MAX_APPENDS_IN_FLIGHT
from chivetrack.components.consensus.models import Snapshot


@dataclass(slots=True, kw_only=True)
class SnapshotTransfer:
    """A snapshot in transfer to a replica, which has received ``offset`` bytes."""

    snapshot: Snapshot
    offset: int = 0
    sent_at: float


@dataclass(slots=True, kw_only=True)
class Progress:
    """Replication progress of one replica.

    While ``probing``, the leader sends one empty append request at a time to find the
    last index at which the logs match. Afterwards requests are pipelined; ``in_flight``
    holds the last index of each unanswered one. ``match_round`` is the heartbeat round
    in which ``match_index`` became known. ``knows_membership``: the replica's log names
    it as a member. ``awaits_snapshot``: the replica needs the snapshot, which is not
    read from disk yet. ``last_contact`` is the time of its last answer to this leader, in
    seconds, or the time of the election; ``last_heard`` the time of its last answer to this
    leader or an earlier one.
    """

    replica_id: str
    instance_id: str
    next_index: int
    last_contact: float
    last_heard: float
    match_index: int = 0
    match_round: int = 0
    acknowledged_round: int = 0
    sent_commit: int = 0
    probing: bool = True
    regressed: bool = False
    knows_membership: bool = False
    in_flight: deque[int] = field(default_factory=deque)
    awaits_snapshot: bool = False
    transfer: SnapshotTransfer | None = None

    def record_contact(self, now: float) -> None:
        """Record an answer of the replica."""
        self.last_contact = self.last_heard = now

    @property
    def needs_snapshot(self) -> bool:
        """Return whether the replica waits for a snapshot or is receiving one."""
        return self.awaits_snapshot or self.transfer is not None

    def end_snapshot_transfer(self) -> None:
        """End the snapshot transfer, so that entries are sent again."""
        self.awaits_snapshot = False
        self.transfer = None

    @property
    def can_send_entries(self) -> bool:
        """Return whether entries may be sent now."""
        blocked = self.probing or self.regressed or self.needs_snapshot
        return not blocked and len(self.in_flight) < MAX_APPENDS_IN_FLIGHT

    def record_sent(self, last_index: int) -> None:
        """Record that entries up to ``last_index`` were sent."""
        self.in_flight.append(last_index)
        self.next_index = last_index + 1

    def record_match(self, index: int, round_number: int) -> None:
        """Record that the replica's log matches up to ``index``."""
        if index > self.match_index:
            self.match_index = index
            self.match_round = round_number
        while self.in_flight and self.in_flight[0] <= index:
            self.in_flight.popleft()
        if self.probing:
            self.next_index = self.match_index + 1
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probing = False

    def start_probing(self, next_index: int) -> None:
        """Search for the last matching index again, from ``next_index`` downwards."""
        self.in_flight.clear()
        self.probing = True
        self.next_index = max(next_index, self.match_index + 1, 1)
