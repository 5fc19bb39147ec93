"""The gossip component: takes values in, sends them on within the budget."""

import random as random_module

from expression import Error, Ok, Result

from chivetrack.components.gossip.budget import ByteBudget, TokenBucket
from chivetrack.components.gossip.clock import TransitClock
from chivetrack.components.gossip.const import (
    ANSWER_EVERY,
    DEFAULT_BUDGET_BYTES_PER_S,
    DELTA_HEADER_BYTES,
    DIGEST_EVERY_S,
    DIGEST_HEADER_BYTES,
    DIGEST_ORIGIN_BYTES,
    DIGEST_ORIGINS,
    DIGEST_PATIENCE_S,
    FAR_REGION_EVERY,
    FORGET_AGE_S,
    FRAME_BURST,
    FRAME_HEADER_BYTES,
    GREET_EVERY,
    MAX_FRAMES_PER_S,
    PROBE_RESERVE_BYTES,
    SMALL_LOAD_BYTES,
    SUMMARY_HEADER_BYTES,
    SUMMARY_KEY_BYTES,
    SUMMARY_KEYS,
    TICK_JITTER,
    TICK_S,
    UNKNOWN_NAME_BYTES,
    UNKNOWN_NAMES,
)
from chivetrack.components.gossip.models import (
    Delta,
    Digest,
    GossipFrame,
    News,
    NewsCallback,
    Peer,
    Summary,
    Urgency,
)
from chivetrack.components.gossip.own import OwnValues
from chivetrack.components.gossip.repair import (
    compare_digest,
    find_lacking,
    has_newer,
    make_digest,
    make_empty_summary,
    make_summary,
)
from chivetrack.components.gossip.rotation import Rotation
from chivetrack.components.gossip.selection import Outbox, Selection, fill_frame, make_deltas
from chivetrack.components.gossip.state import (
    KEY_HASH_END,
    GossipState,
    Value,
    ValueKey,
    bound_size,
)
from chivetrack.core import Effect, Event, MessageReceived, SendMessage, Unsubscribe, WakeAt
from chivetrack.exceptions import Fault
from chivetrack.helpers.codec import encode


class Gossip:
    """Holds the latest value of every key of every origin, and spreads them."""

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

        ``incarnation`` must rise with every start. ``fleet_topics`` are the only ones
        that leave the region. ``budget`` shares one with other senders.
        """
        self.budget = budget or ByteBudget(bytes_per_s=budget_bytes_per_s)
        self._instance_id = instance_id
        self._region = region
        self._random = random
        self._fleet_topics = fleet_topics
        self._tick_s = tick_s
        self._state = GossipState()
        self._own = OwnValues(state=self._state, instance_id=instance_id, incarnation=incarnation)
        self._outbox = Outbox()
        self._clock = TransitClock()
        self._frames = TokenBucket(rate=MAX_FRAMES_PER_S, capacity=FRAME_BURST)
        self._peers: dict[str, Peer] = {}
        self._greetings: dict[str, Peer] = {}
        self._near = Rotation(own_id=instance_id, random=random)
        self._far = Rotation(own_id=instance_id, random=random)
        self._subscribers: dict[str, list[NewsCallback]] = {}
        self._summaries: dict[str, dict[str, Summary]] = {}
        self._summary_from: dict[str, int] = {}
        self._digest_from: dict[bool, str] = {}
        self._digest_due = 0.0
        self._last_load = float("-inf")
        self._ticks = 0
        self._loads_first = True
        self._next_tick = float("-inf")
        self._frame_heard: dict[str, float] = {}
        self._unreadable: dict[str, dict[int, None]] = {}
        self._peer_incarnations: dict[str, int] = {}

    @property
    def incarnation(self) -> int:
        """Return the own incarnation; it rises above one that others still hold."""
        return self._own.held.incarnation

    def set_peers(self, peers: list[Peer]) -> None:
        """Replace the instances that frames are sent to."""
        known = {peer.instance_id: peer for peer in peers if peer.instance_id != self._instance_id}
        for gone in self._peers.keys() - known.keys():
            self._outbox.drop_peer(gone)
            self._summaries.pop(gone, None)
        self._peers = known
        self._near.set_members([name for name in known if not self._is_far(name)])
        self._far.set_members([name for name in known if self._is_far(name)])

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
        """Set the own value of a key; refused if no frame could ever hold it.

        ``age_s`` is how old the news is already.
        """
        value_key = ValueKey(topic, key)
        if bound_size(value_key, payload) > self._largest_entry:
            return Error(
                Fault(
                    code="gossip-value-too-large",
                    message=f"{topic}/{key} takes {len(payload)} bytes, no frame holds that",
                    status=413,
                )
            )
        if urgency is Urgency.LOAD and len(payload) <= SMALL_LOAD_BYTES:
            self._last_load = now
        value = self._own.put(value_key, payload, urgency, now)
        value.born = now - age_s
        self._outbox.add(value)
        return Ok(None)

    def retract(self, topic: str, key: str, urgency: Urgency, *, now: float) -> None:
        """Take back the own value of a key; does nothing if there is none."""
        held = self._own.held.values.get(ValueKey(topic, key))
        if held is None or held.payload is None:
            return
        self._outbox.add(self._own.put(held.key, None, urgency, now))
        for value in self._own.compact(now):
            self._outbox.add(value)

    def greet(self, peer: Peer) -> None:
        """Send one frame with a digest to an instance that need not be a peer."""
        if peer.instance_id != self._instance_id:
            self._greetings[peer.instance_id] = peer

    def subscribe(self, topic: str, callback: NewsCallback) -> Unsubscribe:
        """Call back with every newer value of a topic from another origin."""
        callbacks = self._subscribers.setdefault(topic, [])
        callbacks.append(callback)

        def unsubscribe() -> None:
            if callback in callbacks:
                callbacks.remove(callback)

        return unsubscribe

    def get_life(self, origin: str) -> float | None:
        """Return the latest local time at which an origin certainly lived."""
        held = self._state.origins.get(origin)
        return None if held is None else held.heard_at

    def get_direct_contact(self, sender: str) -> float | None:
        """Return when the last frame came straight from an instance, less its delay."""
        return self._frame_heard.get(sender)

    def count_held(self, origin: str) -> int:
        """Return how many keys of an origin are held, retracted ones among them."""
        held = self._state.origins.get(origin)
        return 0 if held is None else len(held.values)

    def count_ordinary(self) -> int:
        """Return how much ordinary news is still being sent on from here."""
        return self._outbox.count_ordinary()

    def get_last_load(self) -> float:
        """Return when this instance last published a load count that shows its life.

        Large ones don't count: it may take long until the budget lets them through.
        """
        return self._last_load

    def forget(self, origin: str) -> None:
        """Drop everything of an instance that is gone for good."""
        self._state.forget(origin)
        self._outbox.drop_origin(origin)
        self._clock.forget(origin)
        self._frame_heard.pop(origin, None)

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Take in a frame, or send what is due."""
        if isinstance(event, MessageReceived):
            if isinstance(event.message, GossipFrame):
                self._receive(event.source, event.message, now)
            return []
        return self._tick(now)

    @property
    def _largest_frame(self) -> int:
        return self.budget.largest_message - FRAME_HEADER_BYTES

    @property
    def _largest_entry(self) -> int:
        return self._largest_frame - DELTA_HEADER_BYTES - len(self._instance_id.encode())

    def _is_far(self, peer: str) -> bool:
        return self._peers[peer].region != self._region

    def _get_topics(self, peer: str) -> frozenset[str] | None:
        known = self._peers.get(peer) or self._greetings.get(peer)
        near = known is None or known.region == self._region
        return None if near else self._fleet_topics

    # Sending

    def _tick(self, now: float) -> list[Effect]:
        if now < self._next_tick:
            return [WakeAt(at=self._next_tick)]
        jitter = 1 + TICK_JITTER * (2 * self._random.random() - 1)
        self._next_tick = now + self._tick_s * jitter
        self._ticks += 1
        effects: list[Effect] = []
        for peer in self._choose_peers(now):
            if self._frames.get_level(now) < 1:
                break
            effects.extend(self._send(peer, now))
            self._greetings.pop(peer, None)
        effects.append(WakeAt(at=self._next_tick))
        return effects

    def _choose_peers(self, now: float) -> list[str]:
        if self._greetings and self._ticks % GREET_EVERY == 0:
            return [next(iter(self._greetings))]
        if self._ticks % ANSWER_EVERY == 0 and (waiting := self._find_waiting()) is not None:
            return [waiting]
        # In step with the rotation, a quiet instance would compare with one peer only.
        if self._near.members and self._is_digest_due(now):
            return [self._random.choice(self._near.members)]
        if self._ticks % FAR_REGION_EVERY == 0 and self._far.members:
            return self._far.take(1)
        extra = 2 if self._outbox.count_urgent() else 0
        return self._near.take(1 + extra)

    def _find_waiting(self) -> str | None:
        """Return a peer that an answer waits for.

        Left to the rotation, each of the three steps of a repair would take a round.
        """
        waiting = [
            peer
            for peer in self._peers
            if self._summaries.get(peer) or self._unreadable.get(peer) or self._outbox.owes(peer)
        ]
        return self._random.choice(waiting) if waiting else None

    def _send(self, peer: str, now: float) -> list[Effect]:
        room = self._get_room(now) - FRAME_HEADER_BYTES
        topics = self._get_topics(peer)
        has_digest = peer in self._greetings or self._is_digest_due(now)
        digest = self._make_digest(peer, now) if has_digest else None
        room -= 0 if digest is None else _bound_digest(digest)
        summaries = self._take_summaries(peer, room // 2)
        room -= sum(_bound_summary(summary) for summary in summaries)
        unknown = self._list_unreadable(peer)
        room -= UNKNOWN_NAME_BYTES * len(unknown)
        wanted = self._outbox.list_wanted(peer, topics, now)
        chosen = Selection(
            room=room,
            largest=self._largest_frame,
            takes_short=lambda value: self._outbox.takes_short(peer, value),
        )
        fill_frame(chosen, wanted, loads_first=self._loads_first)
        is_urgent = bool(wanted.urgent or digest)
        may_wait = chosen.is_waiting and not self.budget.is_pace_full(now)
        if room < 0 or (may_wait and not is_urgent):
            self._put_back(peer, summaries)
            return []
        if not (chosen.values or digest or summaries or unknown):
            self._put_back(peer, summaries)
            return []
        deltas = make_deltas(chosen.full, self._state, now)
        shorts = tuple(value.get_short_entry(now) for value in chosen.short)
        sent_ms = round(now * 1000)
        frame = GossipFrame(self.incarnation, sent_ms, deltas, digest, summaries, shorts, unknown)
        if not self.budget.charge(len(encode(frame)), now):
            self._put_back(peer, summaries)
            return []
        self._unreadable.pop(peer, None)
        self._frames.take(1, now)
        self._loads_first = not self._loads_first
        self._outbox.mark_sent(peer, chosen.values, peers=len(self._near.members), now=now)
        if digest is not None:
            self._digest_due = now + DIGEST_EVERY_S
            self._digest_from[topics is not None] = digest.end or ""
        return [SendMessage(target=peer, message=frame)]

    def _get_room(self, now: float) -> int:
        if self._outbox.count_urgent():
            return min(self._largest_frame, self.budget.get_room(now) - PROBE_RESERVE_BYTES)
        return min(self.budget.get_paced_room(now), self._largest_frame)

    def _is_digest_due(self, now: float) -> bool:
        # Urgent news goes before a digest, but without an end to that a stream of it
        # would put off repair for ever.
        patience = DIGEST_PATIENCE_S if self._outbox.count_urgent() else 0.0
        return now >= self._digest_due + patience

    def _make_digest(self, peer: str, now: float) -> Digest:
        topics = self._get_topics(peer)
        first = self._digest_from.get(topics is not None, "")
        limit = self._largest_frame // 2 // (DIGEST_ORIGIN_BYTES + 32)
        limit = max(1, min(DIGEST_ORIGINS, limit))
        return make_digest(self._state, first=first, topics=topics, limit=limit)

    def _take_summaries(self, peer: str, room: int) -> tuple[Summary, ...]:
        waiting = self._summaries.get(peer, {})
        taken: list[Summary] = []
        for origin in list(waiting):
            room -= _bound_summary(waiting[origin])
            if room < 0:
                break
            taken.append(waiting.pop(origin))
        return tuple(taken)

    def _list_unreadable(self, peer: str) -> tuple[int, ...]:
        return tuple(self._unreadable.get(peer, {}))[:UNKNOWN_NAMES]

    def _put_back(self, peer: str, summaries: tuple[Summary, ...]) -> None:
        for summary in summaries:
            self._summaries.setdefault(peer, {}).setdefault(summary.origin, summary)

    # Receiving

    def _receive(self, source: str, frame: GossipFrame, now: float) -> None:
        extra_age_s = self._clock.measure(source, frame.incarnation, frame.sent_ms / 1000, now)
        # What the peer's earlier start knew and was owed means nothing to this one.
        if self._peer_incarnations.get(source) != frame.incarnation:
            self._peer_incarnations[source] = frame.incarnation
            self._outbox.drop_peer(source)
        self._frame_heard[source] = now - extra_age_s
        for delta in frame.deltas:
            self._merge(source, delta, extra_age_s, now)
        for short in frame.shorts:
            full = self._state.expand(short)
            if full is not None:
                self._merge(source, full, extra_age_s, now)
            else:
                self._unreadable.setdefault(source, {})[short.name_hash] = None
        for name_hash in frame.unknown_names:
            self._outbox.note_unknown(source, name_hash)
        held = self._state.origins.get(source)
        if held is not None and held.incarnation == frame.incarnation:
            held.heard_at = max(held.heard_at, now - extra_age_s)
        if frame.digest is not None:
            self._answer_digest(source, frame.digest, now)
        for summary in frame.summaries:
            self._answer_summary(source, summary)

    def _merge(self, source: str, delta: Delta, extra_age_s: float, now: float) -> None:
        if delta.origin == self._instance_id:
            newest = max((entry.version for entry in delta.entries), default=0)
            self._defend(delta.incarnation, newest, now)
            return
        if self._state.is_forgotten(delta.origin) and not _shows_life(source, delta):
            return
        merged = self._state.merge(delta, source=source, extra_age_s=extra_age_s, now=now)
        self._report_dropped(merged.dropped, now)
        for value in merged.repeated:
            self._outbox.note_known(source, value)
        for value in merged.put:
            self._outbox.note_known(source, value)
            self._outbox.add(value)
            self._tell(value, value.payload, now)

    def _defend(self, incarnation: int, version: int, now: float) -> None:
        """Outbid what others hold of an earlier start with a higher or equal incarnation."""
        if (incarnation, version) <= (self.incarnation, self._own.version):
            return
        for value in self._own.outbid(incarnation, now):
            self._outbox.add(value)

    def _report_dropped(self, dropped: tuple[Value, ...], now: float) -> None:
        for value in dropped:
            if value.payload is not None:
                self._tell(value, None, now)

    def _tell(self, value: Value, payload: bytes | None, now: float) -> None:
        news = News(
            topic=value.key.topic,
            origin=value.origin,
            key=value.key.key,
            payload=payload,
            age_s=now - value.born,
            now=now,
        )
        for callback in tuple(self._subscribers.get(value.key.topic, ())):
            callback(news)

    def _answer_digest(self, source: str, digest: Digest, now: float) -> None:
        topics = self._get_topics(source)
        for theirs in digest.origins:
            if theirs.origin == self._instance_id:
                self._defend(theirs.incarnation, 0, now)
        found = compare_digest(self._state, digest, topics=topics)
        self._report_dropped(tuple(found.dropped), now)
        for value in found.lacking:
            self._outbox.owe(source, value)
        for origin in found.unequal:
            self._summaries.setdefault(source, {})[origin] = self._summarise(origin, topics)

    def _summarise(self, origin: str, topics: frozenset[str] | None) -> Summary:
        held = self._state.origins.get(origin)
        if held is None:
            return make_empty_summary(origin)
        first = self._summary_from.get(origin, 0)
        limit = (self._largest_frame // 2 - SUMMARY_HEADER_BYTES - 64) // SUMMARY_KEY_BYTES
        limit = max(1, min(SUMMARY_KEYS, limit))
        summary = make_summary(held, first=first, topics=topics, limit=limit)
        self._summary_from[origin] = 0 if summary.end == KEY_HASH_END else summary.end
        return summary

    def _answer_summary(self, source: str, summary: Summary) -> None:
        held = self._state.origins.get(summary.origin)
        if held is None:
            return
        topics = self._get_topics(source)
        for value in find_lacking(held, summary, topics=topics):
            self._outbox.owe(source, value)
        if has_newer(held, summary):
            self._summaries.setdefault(source, {})[summary.origin] = self._summarise(
                summary.origin, topics
            )


def _shows_life(source: str, delta: Delta) -> bool:
    """Return whether a delta proves that a forgotten origin is back.

    Peers that have not forgotten it yet still hand on its old values; only news
    that is younger than the forgetting, or from itself, counts.
    """
    youngest = min((entry.age_ms for entry in delta.entries), default=FORGET_AGE_S * 1000)
    return source == delta.origin or youngest < FORGET_AGE_S * 1000


def _bound_digest(digest: Digest) -> int:
    names = sum(len(entry.origin.encode()) for entry in digest.origins)
    ends = len(digest.first.encode()) + len((digest.end or "").encode())
    return DIGEST_HEADER_BYTES + ends + names + DIGEST_ORIGIN_BYTES * len(digest.origins)


def _bound_summary(summary: Summary) -> int:
    name = len(summary.origin.encode())
    return SUMMARY_HEADER_BYTES + name + SUMMARY_KEY_BYTES * len(summary.keys)
