"""The membership component: join, leave, failure detection and refutation."""

import random as random_module
from collections.abc import Sequence
from dataclasses import replace

from chivetrack.components.gossip.gossip import Gossip
from chivetrack.components.gossip.models import Peer, Urgency, ValueUpdate
from chivetrack.components.membership.absent_contacts import AbsentContacts
from chivetrack.components.membership.const import (
    ALIVE_INTERVAL_S,
    FROZEN_AFTER_S,
    MAX_PROBE_JITTER_S,
    MAX_PROBE_ROUNDS,
    NOTICE_INTERVAL_S,
    PROBE_JITTER_PER_MEMBER_S,
    REMOVE_GONE_AFTER_S,
    START_GRACE_PER_MEMBER_S,
    START_GRACE_S,
    TICK_S,
    TOPIC_ALIVE,
    TOPIC_INSTANCE,
    TOPIC_VERDICT,
)
from chivetrack.components.membership.member import Member
from chivetrack.components.membership.models import (
    Instance,
    InstanceCallback,
    InstanceStatus,
    RegionSummary,
    Seed,
    StateVersion,
)
from chivetrack.components.membership.prober import Prober
from chivetrack.components.membership.regions import Regions
from chivetrack.components.membership.suspicion import (
    is_confirmed,
    is_isolated,
    list_candidates,
)
from chivetrack.components.membership.wire import (
    InstanceRecord,
    Notice,
    Verdict,
)
from chivetrack.core import (
    Effect,
    Event,
    MessageReceived,
    TimeReached,
    Unsubscribe,
    WakeAt,
)
from chivetrack.helpers.codec import DecodeError, Message, decode, encode


class Membership:
    """The instances of this region with their status, as this instance sees it.

    An instance is silent if it has sent no heartbeat for longer than
    ``Member.is_silent`` allows. A silent instance becomes suspect, is probed by this
    instance and by witnesses, and is declared dead if they can't reach it either.
    """

    def __init__(
        self, *, gossip: Gossip, own: Instance, seeds: Sequence[Seed], random: random_module.Random
    ) -> None:
        """Create a membership that knows only its seeds; it joins at the first tick."""
        self._gossip = gossip
        self._own = own
        self._seeds = {seed.instance_id: seed for seed in seeds}
        self._random = random
        self._regions = Regions(gossip=gossip, own_region=own.region, seeds=seeds)
        self._absent_contacts = AbsentContacts(
            gossip=gossip, own_address=own.address, seeds=self._seeds.values(), random=random
        )
        self._members: dict[str, Member] = {}
        self._prober = Prober(
            gossip=gossip,
            own_zone=own.zone,
            random=random,
            on_reached=self._handle_reached,
            on_denied=self._handle_denied,
        )
        self._callbacks: list[InstanceCallback] = []
        self._last_event: float | None = None
        self._next_tick = float("-inf")
        self._joined_at: float | None = None
        self._leaving = False
        self._isolated = False
        gossip.subscribe(TOPIC_INSTANCE, self._receive_record)
        gossip.subscribe(TOPIC_VERDICT, self._receive_verdict)

    @property
    def is_isolated(self) -> bool:
        """Return whether this instance itself seems to be cut off from the others."""
        return self._isolated

    def list_instances(self) -> list[Instance]:
        """Return all known instances of the region, including this one, sorted by id."""
        listed = [member.make_instance() for member in self._members.values()]
        return sorted([*listed, self._own], key=lambda instance: instance.instance_id)

    def list_living(self) -> list[str]:
        """Return the ids of the instances that are not dead and have not left."""
        gone = (InstanceStatus.DEAD, InstanceStatus.LEFT)
        return [each.instance_id for each in self.list_instances() if each.status not in gone]

    def list_regions(self, *, now: float) -> list[RegionSummary]:
        """Return the current summaries of other regions."""
        return self._regions.list_summaries(now)

    def find_address(self, instance_id: str, *, now: float) -> str | None:
        """Return the address of an instance, a seed or a contact in another region."""
        member = self._members.get(instance_id)
        if member is not None:
            return member.record.address
        contacts = [c for s in self._regions.list_summaries(now) for c in s.contacts]
        for contact in (*contacts, *self._seeds.values()):
            if contact.instance_id == instance_id:
                return contact.address
        return None

    def subscribe(self, callback: InstanceCallback) -> Unsubscribe:
        """Call ``callback`` with every instance whose status changes."""
        self._callbacks.append(callback)

        def unsubscribe() -> None:
            if callback in self._callbacks:
                self._callbacks.remove(callback)

        return unsubscribe

    def leave(self, *, now: float) -> None:
        """Announce that this instance leaves.

        The caller must pass in ``TimeReached`` events for another second, so that the
        announcement spreads.
        """
        self._leaving = True
        self._own = replace(self._own, status=InstanceStatus.LEFT, since=now)
        self._publish_own(now, Urgency.LEAVING)

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Process a message, or check the other instances on a tick."""
        self._handle_freeze(now)
        if isinstance(event, MessageReceived):
            self._receive(event.source, event.message, now)
        if isinstance(event, TimeReached) and now >= self._next_tick:
            self._next_tick = now + TICK_S
            self._tick(now)
        effects = self._prober.pop_effects()
        if isinstance(event, TimeReached):
            effects.append(WakeAt(at=self._next_tick))
        return effects

    # Timers

    def _handle_freeze(self, now: float) -> None:
        """Reset all last contact times if this process did not run for a while.

        All other instances look silent to it then, and it would suspect the whole fleet.
        """
        last, self._last_event = self._last_event, now
        if last is None or now - last < FROZEN_AFTER_S:
            return
        self._prober.drop_all()
        for member in self._members.values():
            member.last_seen_at = max(member.last_seen_at, now)
            member.clear_round()

    def _tick(self, now: float) -> None:
        if self._joined_at is None:
            self._joined_at = now
            self._publish_own(now, Urgency.ANNOUNCEMENT)
        if now >= self._gossip.get_last_load_at() + ALIVE_INTERVAL_S and not self._leaving:
            self._gossip.publish(TOPIC_ALIVE, "", b"", Urgency.LOAD, now=now)
        self._update_last_seen(now)
        self._isolated = is_isolated(self._members.values(), now)
        self._prober.tick(now)
        for member in list(self._members.values()):
            self._check_member(member, now)
        self._absent_contacts.tick(self._members.values(), now)
        self._regions.publish(self._own.instance_id, self.list_instances(), now)
        self._set_peers(now)

    def _update_last_seen(self, now: float) -> None:
        for member in self._members.values():
            last_seen_at = self._gossip.get_last_seen(member.instance_id)
            if last_seen_at is None:
                continue
            member.record_contact(last_seen_at)
            # A heartbeat ends the suspicion also in the middle of a probe round.
            if member.status is InstanceStatus.SUSPECT and not member.is_silent(now):
                self._change(member, InstanceStatus.ALIVE, "heartbeat received", now)

    def _check_member(self, member: Member, now: float) -> None:
        if member.status in (InstanceStatus.DEAD, InstanceStatus.LEFT):
            self._check_gone(member, now)
            return
        may_suspect = self._is_settled(now) and not self._isolated and not self._leaving
        if not may_suspect or not member.is_silent(now):
            return
        candidates = list_candidates(member, self._members.values(), now)
        if member.status is InstanceStatus.ALIVE:
            silence = now - member.last_seen_at
            self._change(member, InstanceStatus.SUSPECT, f"silent for {silence:.1f} s", now)
            spread_s = min(MAX_PROBE_JITTER_S, PROBE_JITTER_PER_MEMBER_S * len(self._members))
            member.round_ends = now + self._random.uniform(0.0, spread_s)
            return
        if now < member.round_ends:
            return
        if member.is_probed and is_confirmed(member, candidates, own_zone=self._own.zone):
            self._declare_dead(member, now)
            return
        if self._count_rounds(now) >= MAX_PROBE_ROUNDS:
            return
        self._prober.start_round(member, candidates, now)

    def _is_settled(self, now: float) -> bool:
        grace_s = START_GRACE_S + START_GRACE_PER_MEMBER_S * len(self._members)
        return self._joined_at is not None and now >= self._joined_at + grace_s

    def _count_rounds(self, now: float) -> int:
        return sum(1 for m in self._members.values() if m.is_probed and now < m.round_ends)

    def _check_gone(self, member: Member, now: float) -> None:
        self._notify_if_dead(member, now)
        if now < member.since + REMOVE_GONE_AFTER_S:
            return
        self._gossip.retract(TOPIC_VERDICT, member.instance_id, Urgency.REST, now=now)
        self._gossip.remove_instance(member.instance_id)
        del self._members[member.instance_id]

    def _notify_if_dead(self, member: Member, now: float) -> None:
        """Notify an instance that is declared dead but sends heartbeats, so that it refutes."""
        last_seen_at = self._gossip.get_last_seen(member.instance_id)
        if member.status is not InstanceStatus.DEAD or last_seen_at is None:
            return
        if last_seen_at <= member.since or now < member.notified_at + NOTICE_INTERVAL_S:
            return
        member.notified_at = now
        self._prober.send(member.instance_id, Notice(*member.state_version), now)

    def _declare_dead(self, member: Member, now: float) -> None:
        witnesses = tuple(sorted(member.denials))
        verdict = Verdict(member.instance_id, *member.state_version, witnesses)
        self._gossip.publish(
            TOPIC_VERDICT, member.instance_id, encode(verdict), Urgency.LEAVING, now=now
        )
        reason = f"silent here, not reached by {', '.join(witnesses)}"
        self._change(member, InstanceStatus.DEAD, reason, now)

    def _set_peers(self, now: float) -> None:
        peers = [
            Peer(instance_id=member.instance_id, region=member.record.region)
            for member in self._members.values()
            if member.is_counted
        ]
        self._gossip.set_peers(peers + self._regions.list_peers(now))

    # Messages

    def _receive(self, source: str, message: Message, now: float) -> None:
        if isinstance(message, Notice):
            self._refute(StateVersion(message.incarnation, message.refutation), now)
            return
        self._prober.receive(source, message, now)

    def _handle_denied(self, instance_id: str, witness: str, now: float) -> None:
        member = self._members.get(instance_id)
        if member is None or member.status is not InstanceStatus.SUSPECT:
            return
        if witness in member.asked_witnesses:
            member.denials[witness] = now

    def _handle_reached(self, instance_id: str, reason: str, now: float) -> None:
        member = self._members.get(instance_id)
        if member is None or not member.is_counted:
            return
        member.last_seen_at = max(member.last_seen_at, now)
        self._change(member, InstanceStatus.ALIVE, reason, now)

    # Gossip records

    def _receive_record(self, update: ValueUpdate) -> None:
        record = _decode_record(update.payload)
        if record is None:
            return
        last_seen_at = update.now - update.age_s
        member = self._members.get(update.origin)
        if member is None:
            self._add_member(update, record, last_seen_at)
            return
        state_version = StateVersion(record.incarnation, record.refutation)
        # Gossip delivers no older record; one of the same version matters only if it leaves.
        if state_version < member.state_version or (
            state_version == member.state_version and not record.leaving
        ):
            return
        is_new_life = state_version > member.state_version
        member.record = record
        if is_new_life:
            member.last_seen_at = max(member.last_seen_at, last_seen_at)
        if record.leaving:
            self._change(member, InstanceStatus.LEFT, "announced that it leaves", update.now)
        elif is_new_life:
            self._change(member, InstanceStatus.ALIVE, "restarted or refuted a verdict", update.now)

    def _add_member(self, update: ValueUpdate, record: InstanceRecord, last_seen_at: float) -> None:
        # The record may be old, so the silence is counted from now on.
        status = InstanceStatus.LEFT if record.leaving else InstanceStatus.ALIVE
        member = Member(
            instance_id=update.origin,
            record=record,
            last_seen_at=max(last_seen_at, update.now),
            since=update.now,
            status=status,
        )
        self._members[update.origin] = member
        self._notify(member)

    def _receive_verdict(self, update: ValueUpdate) -> None:
        if update.payload is None:
            return
        try:
            verdict = decode("membership.verdict", update.payload)
        except DecodeError:
            return
        if not isinstance(verdict, Verdict) or not verdict.witnesses:
            return
        state_version = StateVersion(verdict.incarnation, verdict.refutation)
        if verdict.target == self._own.instance_id:
            self._refute(state_version, update.now)
            return
        self._accept_verdict(verdict, state_version, update)

    def _accept_verdict(
        self, verdict: Verdict, state_version: StateVersion, update: ValueUpdate
    ) -> None:
        member = self._members.get(verdict.target)
        if member is None or not member.is_counted or state_version < member.state_version:
            return
        last_seen_at = self._gossip.get_last_seen(verdict.target)
        latest = max(
            member.last_seen_at, last_seen_at if last_seen_at is not None else member.last_seen_at
        )
        # A heartbeat from after the verdict overrides it.
        if latest > update.now - update.age_s:
            return
        reason = f"declared dead by {update.origin} and {', '.join(verdict.witnesses)}"
        self._change(member, InstanceStatus.DEAD, reason, update.now)

    def _refute(self, accused: StateVersion, now: float) -> None:
        """Refute a verdict by publishing a higher version; ignore one of an earlier version."""
        if self._leaving or accused < self._own.state_version:
            return
        state_version = StateVersion(self._own.state_version.incarnation, accused.refutation + 1)
        self._own = replace(self._own, state_version=state_version)
        self._publish_own(now, Urgency.LEAVING)
        self._notify_own()

    def _publish_own(self, now: float, urgency: Urgency) -> None:
        own = self._own
        record = InstanceRecord(
            own.address, own.region, own.zone, own.roles, *own.state_version, self._leaving
        )
        self._gossip.publish(TOPIC_INSTANCE, "", encode(record), urgency, now=now)

    def _change(self, member: Member, status: InstanceStatus, reason: str, now: float) -> None:
        changed = member.status is not status
        member.change(status, reason, now)
        if changed:
            self._notify(member)

    def _notify(self, member: Member) -> None:
        for callback in tuple(self._callbacks):
            callback(member.make_instance())

    def _notify_own(self) -> None:
        for callback in tuple(self._callbacks):
            callback(self._own)


def _decode_record(payload: bytes | None) -> InstanceRecord | None:
    if payload is None:
        return None
    try:
        record = decode("membership.instance", payload)
    except DecodeError:
        return None
    return record if isinstance(record, InstanceRecord) else None
