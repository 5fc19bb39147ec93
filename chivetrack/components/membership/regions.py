"""Exchange of region summaries: each region publishes one to the others."""

from collections.abc import Iterable

from chivetrack.components.gossip.gossip import Gossip
from chivetrack.components.gossip.models import Peer, Urgency, ValueUpdate
from chivetrack.components.membership.const import (
    SUMMARY_CONTACTS,
    SUMMARY_INTERVAL_S,
    SUMMARY_LEASE_S,
    TOPIC_REGION,
)
from chivetrack.components.membership.models import Instance, InstanceStatus, RegionSummary, Seed
from chivetrack.components.membership.wire import Contact, RegionRecord
from chivetrack.helpers.codec import DecodeError, decode, encode


class Regions:
    """Publishes the summary of this region and stores those of other regions.

    Only the live instance with the lowest id of a region publishes its summary.
    """

    def __init__(self, *, gossip: Gossip, own_region: str, seeds: Iterable[Seed]) -> None:
        """Subscribe to the summaries of other regions."""
        self._has_far_seeds = any(seed.region != own_region for seed in seeds)
        self._gossip = gossip
        self._own_region = own_region
        self._summaries: dict[str, RegionSummary] = {}
        self._published_at = float("-inf")
        self._is_publisher = False
        gossip.subscribe(TOPIC_REGION, self._receive)

    def list_summaries(self, now: float) -> list[RegionSummary]:
        """Return the summaries of other regions that have not expired."""
        listed = [s for s in self._summaries.values() if now < s.last_seen_at + SUMMARY_LEASE_S]
        return sorted(listed, key=lambda summary: summary.region)

    def list_peers(self, now: float) -> list[Peer]:
        """Return the contacts in other regions as gossip peers."""
        return [
            Peer(instance_id=contact.instance_id, region=contact.region)
            for summary in self.list_summaries(now)
            for contact in summary.contacts
        ]

    def publish(self, own_id: str, instances: Iterable[Instance], now: float) -> None:
        """Publish the summary if this is the live instance with the lowest id in its region."""
        if now < self._published_at + SUMMARY_INTERVAL_S:
            return
        self._published_at = now
        if not (self._has_far_seeds or self._summaries):
            return
        alive = [i for i in instances if i.status is InstanceStatus.ALIVE]
        near = sorted(
            (i for i in alive if i.region == self._own_region), key=lambda i: i.instance_id
        )
        if not near or near[0].instance_id != own_id:
            self._stop_publishing(now)
            return
        self._is_publisher = True
        contacts = tuple(Contact(i.instance_id, i.address) for i in near[:SUMMARY_CONTACTS])
        payload = encode(RegionRecord(len(near), contacts))
        self._gossip.publish(TOPIC_REGION, self._own_region, payload, Urgency.REST, now=now)

    def _stop_publishing(self, now: float) -> None:
        if self._is_publisher:
            self._is_publisher = False
            self._gossip.retract(TOPIC_REGION, self._own_region, Urgency.REST, now=now)

    def _receive(self, update: ValueUpdate) -> None:
        if update.payload is None or update.key == self._own_region:
            return
        try:
            record = decode("membership.region", update.payload)
        except DecodeError:
            return
        last_seen_at = update.now - update.age_s
        held = self._summaries.get(update.key)
        # Two instances may both publish for a while; the later summary wins.
        if not isinstance(record, RegionRecord) or (held and held.last_seen_at > last_seen_at):
            return
        self._summaries[update.key] = RegionSummary(
            region=update.key,
            routers=record.routers,
            contacts=tuple(
                Seed(instance_id=c.instance_id, address=c.address, region=update.key)
                for c in record.contacts
            ),
            last_seen_at=last_seen_at,
        )
