"""Decides when to send to which peer, and fills the frames."""

import random as random_module

from chivetrack.components.gossip.answers import PendingAnswers, bound_summary
from chivetrack.components.gossip.budget import ByteBudget, TokenBucket
from chivetrack.components.gossip.const import (
    DIGEST_HEADER_BYTES,
    DIGEST_INTERVAL_S,
    DIGEST_ORIGIN_BYTES,
    FRAME_BURST,
    FRAME_HEADER_BYTES,
    MAX_DIGEST_DELAY_S,
    MAX_DIGEST_ORIGINS,
    MAX_FRAMES_PER_S,
    PROBE_RESERVE_BYTES,
    TICK_JITTER,
    TICKS_PER_ANSWER,
    TICKS_PER_FAR_REGION_FRAME,
    TICKS_PER_GREETING,
    UNKNOWN_NAME_BYTES,
)
from chivetrack.components.gossip.models import Digest, GossipFrame, Peer
from chivetrack.components.gossip.own import OwnValues
from chivetrack.components.gossip.repair import make_digest
from chivetrack.components.gossip.rotation import Rotation
from chivetrack.components.gossip.selection import Outbox, Selection, fill_frame, make_deltas
from chivetrack.components.gossip.state import GossipState
from chivetrack.core import Effect, SendMessage, WakeAt
from chivetrack.helpers.codec import encode


class Sender:
    """Sends a frame at every tick, as far as there are values and the budget allows."""

    def __init__(
        self,
        *,
        own: OwnValues,
        state: GossipState,
        outbox: Outbox,
        answers: PendingAnswers,
        budget: ByteBudget,
        random: random_module.Random,
        region: str,
        fleet_topics: frozenset[str],
        tick_s: float,
    ) -> None:
        """Create a sender without peers."""
        self._own = own
        self._state = state
        self._outbox = outbox
        self._answers = answers
        self._budget = budget
        self._random = random
        self._region = region
        self._fleet_topics = fleet_topics
        self._tick_s = tick_s
        self._frames = TokenBucket(rate=MAX_FRAMES_PER_S, capacity=FRAME_BURST)
        self._peers: dict[str, Peer] = {}
        self._greetings: dict[str, Peer] = {}
        self._near = Rotation(own_id=own.origin_state.origin, random=random)
        self._far = Rotation(own_id=own.origin_state.origin, random=random)
        self._next_digest_start: dict[bool, str] = {}
        self._digest_due = 0.0
        self._ticks = 0
        self._loads_first = True
        self._next_tick = float("-inf")
        self._largest_frame = get_largest_frame(budget)

    def set_peers(self, peers: list[Peer]) -> None:
        """Replace the instances to which frames are sent."""
        own_id = self._own.origin_state.origin
        known = {peer.instance_id: peer for peer in peers if peer.instance_id != own_id}
        for gone in self._peers.keys() - known.keys():
            self._outbox.drop_peer(gone)
            self._answers.drop_peer(gone)
        self._peers = known
        self._near.set_members([name for name in known if not self._is_far(name)])
        self._far.set_members([name for name in known if self._is_far(name)])

    def greet(self, peer: Peer) -> None:
        """Send one frame with a digest to an instance that need not be a peer."""
        if peer.instance_id != self._own.origin_state.origin:
            self._greetings[peer.instance_id] = peer

    def get_topics(self, peer: str) -> frozenset[str] | None:
        """Return the topics that a peer may get, ``None`` for all."""
        known = self._peers.get(peer) or self._greetings.get(peer)
        near = known is None or known.region == self._region
        return None if near else self._fleet_topics

    def _is_far(self, peer: str) -> bool:
        return self._peers[peer].region != self._region

    def tick(self, now: float) -> list[Effect]:
        """Send the frames that are due, and schedule the next tick."""
        if now < self._next_tick:
            return [WakeAt(at=self._next_tick)]
        jitter = 1 + TICK_JITTER * (2 * self._random.random() - 1)
        self._next_tick = now + self._tick_s * jitter
        self._ticks += 1
        self._drop_known()
        effects: list[Effect] = []
        for peer in self._choose_peers(now):
            if self._frames.get_level(now) < 1:
                break
            effects.extend(self._send(peer, now))
            self._greetings.pop(peer, None)
        effects.append(WakeAt(at=self._next_tick))
        return effects

    def _drop_known(self) -> None:
        """Drop values that need no sending, which would otherwise count as backlog forever."""
        near, far = frozenset(self._near.members), frozenset(self._far.members)
        if near and not far:
            self._outbox.drop_known(near, topics=None)
        elif near:
            self._outbox.drop_known(near | far, topics=self._fleet_topics)
            self._outbox.drop_known(near, topics=self._outbox.list_topics() - self._fleet_topics)

    def _choose_peers(self, now: float) -> list[str]:
        if self._greetings and self._ticks % TICKS_PER_GREETING == 0:
            return [next(iter(self._greetings))]
        if self._ticks % TICKS_PER_ANSWER == 0 and (waiting := self._find_waiting()) is not None:
            return [waiting]
        # A digest peer is random: in a rotation in step with the digest interval, an instance
        # with few updates would compare its state with one peer only.
        if self._near.members and self._is_digest_due(now):
            return [self._random.choice(self._near.members)]
        if self._ticks % TICKS_PER_FAR_REGION_FRAME == 0 and self._far.members:
            return self._far.choose(1)
        extra = 2 if self._outbox.count_urgent() else 0
        return self._near.choose(1 + extra)

    def _find_waiting(self) -> str | None:
        """Return a peer for which an answer is pending.

        In the normal rotation, each of the three steps of a repair would take a whole round.
        """
        waiting = [
            peer
            for peer in self._peers
            if self._answers.has_pending(peer) or self._outbox.has_missing(peer)
        ]
        return self._random.choice(waiting) if waiting else None

    def _send(self, peer: str, now: float) -> list[Effect]:
        room = self._get_room(now) - FRAME_HEADER_BYTES
        topics = self.get_topics(peer)
        has_digest = peer in self._greetings or self._is_digest_due(now)
        digest = self._make_digest(peer, now) if has_digest else None
        room -= 0 if digest is None else _bound_digest(digest)
        summaries = self._answers.pop_summaries(peer, room // 2)
        room -= sum(bound_summary(summary) for summary in summaries)
        unknown = self._answers.list_unknown_names(peer)
        room -= UNKNOWN_NAME_BYTES * len(unknown)
        pending = self._outbox.list_pending(peer, topics, now)
        selection = Selection(
            room=room,
            largest=self._largest_frame,
            accepts_short=lambda value: self._outbox.accepts_short(peer, value),
        )
        fill_frame(selection, pending, loads_first=self._loads_first)
        is_urgent = bool(pending.urgent or digest)
        may_wait = selection.is_waiting and not self._budget.is_non_urgent_full(now)
        if room < 0 or (may_wait and not is_urgent):
            self._answers.requeue(peer, summaries)
            return []
        if not (selection.values or digest or summaries or unknown):
            self._answers.requeue(peer, summaries)
            return []
        deltas = make_deltas(selection.full, self._state, now)
        shorts = tuple(value.get_short_entry(now) for value in selection.short)
        sent_ms = round(now * 1000)
        frame = GossipFrame(
            self._own.origin_state.incarnation, sent_ms, deltas, digest, summaries, shorts, unknown
        )
        if not self._budget.charge(len(encode(frame)), now):
            self._answers.requeue(peer, summaries)
            return []
        self._answers.mark_reported(peer)
        self._frames.try_consume(1, now)
        self._loads_first = not self._loads_first
        self._outbox.mark_sent(peer, selection.values, peers=len(self._near.members), now=now)
        if digest is not None:
            self._digest_due = now + DIGEST_INTERVAL_S
            self._next_digest_start[topics is not None] = digest.end or ""
        return [SendMessage(target=peer, message=frame)]

    def _get_room(self, now: float) -> int:
        if self._outbox.count_urgent():
            return min(self._largest_frame, self._budget.get_room(now) - PROBE_RESERVE_BYTES)
        return min(self._budget.get_non_urgent_room(now), self._largest_frame)

    def _is_digest_due(self, now: float) -> bool:
        # Urgent values go before a digest, but only for a limited time: otherwise a stream
        # of them would delay repair indefinitely.
        max_delay_s = MAX_DIGEST_DELAY_S if self._outbox.count_urgent() else 0.0
        return now >= self._digest_due + max_delay_s

    def _make_digest(self, peer: str, now: float) -> Digest:
        topics = self.get_topics(peer)
        first = self._next_digest_start.get(topics is not None, "")
        limit = self._largest_frame // 2 // (DIGEST_ORIGIN_BYTES + 32)
        limit = max(1, min(MAX_DIGEST_ORIGINS, limit))
        return make_digest(self._state, first=first, topics=topics, limit=limit)


def get_largest_frame(budget: ByteBudget) -> int:
    """Return the largest size in bytes of a frame's content."""
    return budget.largest_message - FRAME_HEADER_BYTES


def _bound_digest(digest: Digest) -> int:
    names = sum(len(entry.origin.encode()) for entry in digest.origins)
    ends = len(digest.first.encode()) + len((digest.end or "").encode())
    return DIGEST_HEADER_BYTES + ends + names + DIGEST_ORIGIN_BYTES * len(digest.origins)
