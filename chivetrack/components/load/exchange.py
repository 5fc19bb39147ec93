"""Exchanges in-flight counts between routers by gossip."""

from chivetrack.components.gossip.gossip import Gossip
from chivetrack.components.gossip.models import Urgency, ValueUpdate
from chivetrack.components.load.models import LoadCounts
from chivetrack.components.load.pacer import CountsPacer
from chivetrack.components.load.tracker import LoadTracker
from chivetrack.core import Effect, Event, TimeReached, WakeAt
from chivetrack.helpers.codec import DecodeError, decode_as, encode

TOPIC_LOAD = "load"
KEY_COUNTS = "counts"
# Interval in seconds between two checks whether counts are due.
CHECK_INTERVAL_S = 0.1


class LoadExchange:
    """Publishes this router's counts when they are due, and merges those of other routers."""

    def __init__(self, *, tracker: LoadTracker, gossip: Gossip) -> None:
        """Initialize the exchange between a load tracker and gossip."""
        self._tracker = tracker
        self._gossip = gossip
        self._pacer = CountsPacer()
        self._next_check_at = float("-inf")
        gossip.subscribe(TOPIC_LOAD, self._handle_update)

    def start(self, endpoint_id: str, now: float) -> None:
        """Count a request that is about to be sent to the endpoint."""
        self._tracker.start(endpoint_id, now)
        self._pacer.record_start(now)

    def finish(self, endpoint_id: str, now: float) -> None:
        """Count a request as ended."""
        self._tracker.finish(endpoint_id, now)
        self._pacer.record_finish(now)

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Publish the counts if they are due."""
        if not isinstance(event, TimeReached):
            return []
        if now >= self._next_check_at:
            self._next_check_at = now + CHECK_INTERVAL_S
            if self._pacer.find_next_due(now) <= now:
                self._publish(now)
        return [WakeAt(at=self._next_check_at)]

    def _publish(self, now: float) -> None:
        self._pacer.record_sent(now)
        payload = encode(self._tracker.collect_counts(now))
        self._gossip.publish(TOPIC_LOAD, KEY_COUNTS, payload, Urgency.LOAD, now=now)

    def _handle_update(self, update: ValueUpdate) -> None:
        if update.payload is None:
            return
        try:
            counts = decode_as(LoadCounts, update.payload)
        except DecodeError:
            return
        self._tracker.merge_counts(update.origin, counts, age_s=update.age_s, now=update.now)
