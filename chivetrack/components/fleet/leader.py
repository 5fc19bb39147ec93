"""Gossips which instance leads the log, and up to which revision."""

from chivetrack.components.configuration.configuration import Configuration
from chivetrack.components.configuration.models import RevisionReported
from chivetrack.components.fleet.models import TOPIC_LEADER, LeaderRecord, LeadershipStatus
from chivetrack.components.gossip.gossip import Gossip
from chivetrack.components.gossip.models import Urgency, ValueUpdate
from chivetrack.components.proposals.client import ProposalClient
from chivetrack.core import Effect, Event
from chivetrack.helpers.codec import DecodeError, decode_as, encode


class LeaderGossip:
    """Publishes that this instance leads, and follows the leader record of the highest term."""

    def __init__(
        self,
        *,
        instance_id: str,
        gossip: Gossip,
        configuration: Configuration,
        proposals: ProposalClient,
    ) -> None:
        """Subscribe to leader records."""
        self._instance_id = instance_id
        self._gossip = gossip
        self._configuration = configuration
        self._proposals = proposals
        self._own: LeaderRecord | None = None
        self._published: LeaderRecord | None = None
        self._term = 0
        self._pending_revisions: list[RevisionReported] = []
        gossip.subscribe(TOPIC_LEADER, self._handle_update)

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Handle the status of the own replica; publish changes and report received revisions."""
        if isinstance(event, LeadershipStatus):
            self._handle_own_status(event)
        self._publish(now)
        effects: list[Effect] = []
        revisions, self._pending_revisions = self._pending_revisions, []
        for revision in revisions:
            effects.extend(self._configuration.handle(revision, now=now))
        return effects

    def _handle_own_status(self, status: LeadershipStatus) -> None:
        self._own = LeaderRecord(status.term, 0) if status.leads else None
        if status.term >= self._term and status.leader:
            self._term = status.term
            self._proposals.record_leader_hint(status.leader)

    def _publish(self, now: float) -> None:
        if self._own is None:
            if self._published is not None:
                self._published = None
                self._gossip.retract(TOPIC_LEADER, "", Urgency.CONFIGURATION, now=now)
            return
        revision = self._configuration.view.table.revision
        record = LeaderRecord(self._own.term, revision)
        if record == self._published:
            return
        self._published = record
        self._gossip.publish(TOPIC_LEADER, "", encode(record), Urgency.CONFIGURATION, now=now)

    def _handle_update(self, update: ValueUpdate) -> None:
        if update.payload is None:
            return
        try:
            record = decode_as(LeaderRecord, update.payload)
        except DecodeError:
            return
        # A leader that was deposed during a network cut still publishes that it leads.
        if record.term < self._term:
            return
        self._term = record.term
        self._proposals.record_leader_hint(update.origin)
        self._pending_revisions.append(
            RevisionReported(peer=update.origin, revision=record.revision)
        )
