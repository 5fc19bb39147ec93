"""Spreads who leads the log, and up to which revision."""

from chivetrack.components.configuration.configuration import Configuration
from chivetrack.components.configuration.models import RevisionReported
from chivetrack.components.fleet.models import TOPIC_LEADER, LeaderRecord, LeadershipSeen
from chivetrack.components.gossip.gossip import Gossip
from chivetrack.components.gossip.models import News, Urgency
from chivetrack.components.proposals.client import ProposalClient
from chivetrack.core import Effect, Event
from chivetrack.helpers.codec import DecodeError, decode_as, encode


class LeaderNews:
    """Publishes the own lead, and follows the news of the highest term."""

    def __init__(
        self,
        *,
        instance_id: str,
        gossip: Gossip,
        configuration: Configuration,
        proposals: ProposalClient,
    ) -> None:
        """Listen to gossip."""
        self._instance_id = instance_id
        self._gossip = gossip
        self._configuration = configuration
        self._proposals = proposals
        self._own: LeaderRecord | None = None
        self._published: LeaderRecord | None = None
        self._term = 0
        self._heard: list[RevisionReported] = []
        gossip.subscribe(TOPIC_LEADER, self._take_news)

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Take what the own replica knows; publish and pass on what is new."""
        if isinstance(event, LeadershipSeen):
            self._take_own(event)
        self._publish(now)
        effects: list[Effect] = []
        heard, self._heard = self._heard, []
        for each in heard:
            effects.extend(self._configuration.handle(each, now=now))
        return effects

    def _take_own(self, seen: LeadershipSeen) -> None:
        self._own = LeaderRecord(seen.term, 0) if seen.leads else None
        if seen.term >= self._term and seen.leader:
            self._term = seen.term
            self._proposals.note_leader(seen.leader)

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

    def _take_news(self, news: News) -> None:
        if news.payload is None:
            return
        try:
            record = decode_as(LeaderRecord, news.payload)
        except DecodeError:
            return
        # A leader that was deposed behind a cut goes on saying that it leads.
        if record.term < self._term:
            return
        self._term = record.term
        self._proposals.note_leader(news.origin)
        self._heard.append(RevisionReported(peer=news.origin, revision=record.revision))
