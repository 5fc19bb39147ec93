"""Exchanges in-flight counts between routers by gossip."""

from chivetrack.components.gossip.gossip import Gossip
from chivetrack.components.gossip.models import Urgency, ValueUpdate
from chivetrack.components.load.book import LoadBook
from chivetrack.components.load.models import LoadCounts
from chivetrack.components.load.pacer import CountsPacer
from chivetrack.core import Effect, Event, TimeReached, WakeAt
from chivetrack.helpers.codec import DecodeError, decode_as, encode

TOPIC_LOAD = "load"
KEY_COUNTS = "counts"
# The shortest time between two looks at whether counts are due.
LOOK_EVERY_S = 0.1


class LoadExchange:
    """Publishes this router's counts when the pacer says so, and takes in the others'."""

    def __init__(self, *, book: LoadBook, gossip: Gossip) -> None:
        """Connect a load book with gossip."""
        self._book = book
        self._gossip = gossip
        self._pacer = CountsPacer()
        self._next_look = float("-inf")
        gossip.subscribe(TOPIC_LOAD, self._take_news)

    def start(self, endpoint_id: str, now: float) -> None:
        """Count a request that is about to be sent to the endpoint."""
        self._book.start(endpoint_id, now)
        self._pacer.note_start(now)

    def finish(self, endpoint_id: str, now: float) -> None:
        """Count a request as over."""
        self._book.finish(endpoint_id, now)
        self._pacer.note_finish(now)

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Publish when it is due."""
        if not isinstance(event, TimeReached):
            return []
        if now >= self._next_look:
            self._next_look = now + LOOK_EVERY_S
            if self._pacer.find_due(now) <= now:
                self._publish(now)
        return [WakeAt(at=self._next_look)]

    def _publish(self, now: float) -> None:
        self._pacer.note_sent(now)
        payload = encode(self._book.collect_counts(now))
        self._gossip.publish(TOPIC_LOAD, KEY_COUNTS, payload, Urgency.LOAD, now=now)

    def _take_news(self, news: ValueUpdate) -> None:
        if news.payload is None:
            return
        try:
            counts = decode_as(LoadCounts, news.payload)
        except DecodeError:
            return
        self._book.merge_counts(news.origin, counts, age_s=news.age_s, now=news.now)
