"""What a leader knows of one other replica."""

from collections import deque
from dataclasses import dataclass, field

from chivetrack.components.consensus.const import MAX_APPENDS_IN_FLIGHT
from chivetrack.components.consensus.models import Snapshot


@dataclass(slots=True, kw_only=True)
class SnapshotTransfer:
    """A snapshot on its way to a replica; ``offset`` bytes of it have arrived."""

    snapshot: Snapshot
    offset: int = 0
    sent_at: float


@dataclass(slots=True, kw_only=True)
class Progress:
    """How far a replica is.

    While ``probing``, single empty appends look for the last index that agrees.
    Afterwards entries are sent ahead of their answers, ``in_flight`` holds the last
    index of each such message. ``match_round`` is the heartbeat round in which
    ``match_index`` became known. ``knows_membership``: its log names it as a member.
    ``awaits_snapshot``: it needs the snapshot, which is not read from disk yet.
    """

    replica_id: str
    instance_id: str
    next_index: int
    last_contact: float
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

    @property
    def needs_snapshot(self) -> bool:
        """Tell whether a snapshot is wanted for it or on its way."""
        return self.awaits_snapshot or self.transfer is not None

    def end_transfer(self) -> None:
        """Go on with entries."""
        self.awaits_snapshot = False
        self.transfer = None

    @property
    def can_send_entries(self) -> bool:
        """Tell whether entries may be sent now."""
        blocked = self.probing or self.regressed or self.needs_snapshot
        return not blocked and len(self.in_flight) < MAX_APPENDS_IN_FLIGHT

    def record_sent(self, last_index: int) -> None:
        """Note that entries up to ``last_index`` are on their way."""
        self.in_flight.append(last_index)
        self.next_index = last_index + 1

    def record_match(self, index: int, round_number: int) -> None:
        """Note that the replica's log agrees up to ``index``."""
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
        """Look for the agreeing index again, from ``next_index`` downwards."""
        self.in_flight.clear()
        self.probing = True
        self.next_index = max(next_index, self.match_index + 1, 1)
