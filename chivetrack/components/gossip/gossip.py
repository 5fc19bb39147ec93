"""The gossip component: holds values and sends them to peers within the budget."""

import random as random_module

from expression import Error, Ok, Result

from chivetrack.components.gossip.answers import PendingAnswers
from chivetrack.components.gossip.budget import ByteBudget
from chivetrack.components.gossip.clock import TransitClock
from chivetrack.components.gossip.const import (
    DEFAULT_BUDGET_BYTES_PER_S,
    DELTA_HEADER_BYTES,
    MAX_REVIVING_AGE_S,
    SMALL_LOAD_BYTES,
    TICK_S,
)
from chivetrack.components.gossip.models import (
    Delta,
    Digest,
    GossipFrame,
    Peer,
    Summary,
    UpdateCallback,
    Urgency,
    ValueUpdate,
)
from chivetrack.components.gossip.own import OwnValues
from chivetrack.components.gossip.repair import compare_digest, find_missing, has_newer
from chivetrack.components.gossip.selection import Outbox
from chivetrack.components.gossip.sender import Sender, get_largest_frame
from chivetrack.components.gossip.state import GossipState, Value, ValueKey, bound_size
from chivetrack.core import Effect, Event, MessageReceived, Unsubscribe
from chivetrack.exceptions import Fault


class Gossip:
    """Holds the latest value of every key of every origin, and gossips it to peers."""

    def __init__(
        self,
        *,
        instance_id: str,
        incarnation: int,
        random: random_module.Random,
        budget_bytes_per_s: int = DEFAULT_BUDGET_BYTES_PER_S,
        budget: ByteBudget | None = None,
        region: str = "",
        fleet_topics: frozenset[str] = frozenset(),
        tick_s: float = TICK_S,
    ) -> None:
        """Create a gossip without peers.

        ``incarnation`` must rise with every start. Only values of ``fleet_topics`` leave the
        region. ``budget`` is a budget shared with other senders.
        """
        self.budget = budget or ByteBudget(bytes_per_s=budget_bytes_per_s)
        self._instance_id = instance_id
        self._state = GossipState()
        self._own = OwnValues(state=self._state, instance_id=instance_id, incarnation=incarnation)
        self._outbox = Outbox()
        largest_frame = get_largest_frame(self.budget)
        self._largest_entry = largest_frame - DELTA_HEADER_BYTES - len(instance_id.encode())
        self._answers = PendingAnswers(state=self._state, largest_frame=largest_frame)
        self._sender = Sender(
            own=self._own,
            state=self._state,
            outbox=self._outbox,
            answers=self._answers,
            budget=self.budget,
            random=random,
            region=region,
            fleet_topics=fleet_topics,
            tick_s=tick_s,
        )
        self._clock = TransitClock()
        self._subscribers: dict[str, list[UpdateCallback]] = {}
        self._last_load_at = float("-inf")
        self._last_frame_at: dict[str, float] = {}
        self._peer_incarnations: dict[str, int] = {}

    @property
    def incarnation(self) -> int:
        """Return the own incarnation; it rises above any that peers still hold."""
        return self._own.origin_state.incarnation

    def set_peers(self, peers: list[Peer]) -> None:
        """Replace the instances to which frames are sent."""
        self._sender.set_peers(peers)

    def publish(
        self,
        topic: str,
        key: str,
        payload: bytes,
        urgency: Urgency,
        *,
        now: float,
        age_s: float = 0.0,
    ) -> Result[None, Fault]:
        """Set the own value of a key; return an error if no frame can hold it.

        ``age_s`` is the age that the value already has.
        """
        value_key = ValueKey(topic, key)
        if bound_size(value_key, payload) > self._largest_entry:
            return Error(
                Fault(
                    code="gossip_value_too_large",
                    message=f"{topic}/{key} takes {len(payload)} bytes, no frame holds that",
                    status=413,
                )
            )
        if urgency is Urgency.LOAD and len(payload) <= SMALL_LOAD_BYTES:
            self._last_load_at = now
        value = self._own.put(value_key, payload, urgency, now)
        value.published_at = now - age_s
        self._outbox.add(value)
        return Ok(None)

    def retract(self, topic: str, key: str, urgency: Urgency, *, now: float) -> None:
        """Retract the own value of a key; does nothing if there is none."""
        held = self._own.origin_state.values.get(ValueKey(topic, key))
        if held is None or held.payload is None:
            return
        self._outbox.add(self._own.put(held.key, None, urgency, now))
        for value in self._own.compact(now):
            self._outbox.add(value)

    def greet(self, peer: Peer) -> None:
        """Send one frame with a digest to an instance that need not be a peer."""
        self._sender.greet(peer)

    def subscribe(self, topic: str, callback: UpdateCallback) -> Unsubscribe:
        """Call back with every newer value of a topic from another origin."""
        callbacks = self._subscribers.setdefault(topic, [])
        callbacks.append(callback)

        def unsubscribe() -> None:
            if callback in callbacks:
                callbacks.remove(callback)

        return unsubscribe

    def get_last_seen(self, origin: str) -> float | None:
        """Return the latest local time at which an origin was certainly alive."""
        held = self._state.origins.get(origin)
        return None if held is None else held.last_seen_at

    def get_direct_contact(self, sender: str) -> float | None:
        """Return the time of the last frame received directly from an instance, less its delay."""
        return self._last_frame_at.get(sender)

    def count_held(self, origin: str) -> int:
        """Return how many keys of an origin are held, including retracted ones."""
        held = self._state.origins.get(origin)
        return 0 if held is None else len(held.values)

    def count_ordinary(self) -> int:
        """Return how many ordinary values are still being forwarded from here."""
        return self._outbox.count_ordinary()

    def get_last_load_at(self) -> float:
        """Return when this instance last published a load count that shows that it is alive.

        Large load counts are ignored, because they may wait long for the budget.
        """
        return self._last_load_at

    def remove_instance(self, origin: str) -> None:
        """Remove all state of an instance that has left for good."""
        self._state.remove_instance(origin)
        self._outbox.drop_origin(origin)
        self._clock.remove_instance(origin)
        self._last_frame_at.pop(origin, None)

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Handle a received frame, or send the frames that are due."""
        if isinstance(event, MessageReceived):
            if isinstance(event.message, GossipFrame):
                self._receive(event.source, event.message, now)
            return []
        return self._sender.tick(now)

    # Receiving

    def _receive(self, source: str, frame: GossipFrame, now: float) -> None:
        extra_age_s = self._clock.measure(source, frame.incarnation, frame.sent_ms / 1000, now)
        # What an earlier incarnation of the peer had or lacked does not apply to this one.
        if self._peer_incarnations.get(source) != frame.incarnation:
            self._peer_incarnations[source] = frame.incarnation
            self._outbox.drop_peer(source)
        self._last_frame_at[source] = now - extra_age_s
        for delta in frame.deltas:
            self._merge(source, delta, extra_age_s, now)
        for short in frame.shorts:
            full = self._state.expand(short)
            if full is not None:
                self._merge(source, full, extra_age_s, now)
            else:
                self._answers.add_unknown_name(source, short.name_hash)
        for name_hash in frame.unknown_names:
            self._outbox.record_unknown_name(source, name_hash)
        held = self._state.origins.get(source)
        if held is not None and held.incarnation == frame.incarnation:
            held.last_seen_at = max(held.last_seen_at, now - extra_age_s)
        if frame.digest is not None:
            self._handle_digest(source, frame.digest, now)
        for summary in frame.summaries:
            self._handle_summary(source, summary)

    def _merge(self, source: str, delta: Delta, extra_age_s: float, now: float) -> None:
        if delta.origin == self._instance_id:
            newest = max((entry.version for entry in delta.entries), default=0)
            self._supersede_own(delta.incarnation, newest, now)
            return
        if self._state.is_removed(delta.origin) and not _proves_alive(source, delta):
            return
        merged = self._state.merge(delta, source=source, extra_age_s=extra_age_s, now=now)
        self._notify_dropped(merged.dropped, now)
        for value in merged.repeated:
            self._outbox.record_known(source, value)
        for value in merged.put:
            self._outbox.record_known(source, value)
            self._outbox.add(value)
            self._notify(value, value.payload, now)

    def _supersede_own(self, incarnation: int, version: int, now: float) -> None:
        """Publish above an earlier start of this instance that others hold at a higher version."""
        if (incarnation, version) <= (self.incarnation, self._own.version):
            return
        for value in self._own.supersede(incarnation, now):
            self._outbox.add(value)

    def _notify_dropped(self, dropped: tuple[Value, ...], now: float) -> None:
        for value in dropped:
            if value.payload is not None:
                self._notify(value, None, now)

    def _notify(self, value: Value, payload: bytes | None, now: float) -> None:
        update = ValueUpdate(
            topic=value.key.topic,
            origin=value.origin,
            key=value.key.key,
            payload=payload,
            age_s=now - value.published_at,
            now=now,
        )
        for callback in tuple(self._subscribers.get(value.key.topic, ())):
            callback(update)

    def _handle_digest(self, source: str, digest: Digest, now: float) -> None:
        topics = self._sender.get_topics(source)
        for theirs in digest.origins:
            if theirs.origin == self._instance_id:
                self._supersede_own(theirs.incarnation, 0, now)
        found = compare_digest(self._state, digest, topics=topics)
        self._notify_dropped(tuple(found.dropped), now)
        for value in found.missing:
            self._outbox.add_missing(source, value)
        for origin in found.differing:
            self._answers.add_summary(source, origin, topics)

    def _handle_summary(self, source: str, summary: Summary) -> None:
        held = self._state.origins.get(summary.origin)
        if held is None:
            return
        topics = self._sender.get_topics(source)
        for value in find_missing(held, summary, topics=topics):
            self._outbox.add_missing(source, value)
        if has_newer(held, summary):
            self._answers.add_summary(source, summary.origin, topics)


def _proves_alive(source: str, delta: Delta) -> bool:
    """Return whether a delta proves that a removed origin is back.

    Peers that have not removed it yet still forward its old values. Only entries younger than
    ``MAX_REVIVING_AGE_S``, or a delta from the origin itself, count.
    """
    youngest = min((entry.age_ms for entry in delta.entries), default=MAX_REVIVING_AGE_S * 1000)
    return source == delta.origin or youngest < MAX_REVIVING_AGE_S * 1000
