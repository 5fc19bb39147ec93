"""Publishes and decodes announcements and renewals sent over gossip."""

from collections.abc import Iterable

from chivetrack.components.endpoints.const import (
    MAX_PENDING_UPDATES,
    MIN_RENEWAL_INTERVAL_S,
    RENEWAL_REPEAT_S,
    TOPIC_ENDPOINT,
    TOPIC_RENEWAL,
)
from chivetrack.components.endpoints.models import Announcement
from chivetrack.components.endpoints.record import Record
from chivetrack.components.endpoints.wire import (
    EndpointBody,
    Renewal,
    Renewals,
    make_body,
    read_body,
)
from chivetrack.components.gossip.gossip import Gossip
from chivetrack.components.gossip.models import Urgency, ValueUpdate
from chivetrack.helpers.codec import DecodeError, decode, encode


class AnnouncementPublisher:
    """Publishes announcements and renewals that endpoints sent directly to this router."""

    def __init__(self, *, gossip: Gossip, instance_id: str) -> None:
        """Create a publisher that has published nothing."""
        self._gossip = gossip
        self._instance_id = instance_id
        self._renewals_published_at = float("-inf")
        self._newest_published_at = float("-inf")
        self._has_published_renewals = False

    def publish_announcement(self, record: Record, *, now: float) -> None:
        """Publish an announcement unless another instance already publishes it."""
        if any(carried == record.announcement for carried in record.carriers.values()):
            self._retract_outdated(record, now=now)
            return
        # After a start, hundreds of endpoints announce themselves to one router after
        # another. If each router published all of them, the duplicates would use up the
        # gossip budget, and no router would learn in time that another one publishes
        # the same announcement.
        if not record.is_leaving and self._gossip.count_ordinary() > MAX_PENDING_UPDATES:
            return
        announcement = record.announcement
        urgency = Urgency.LEAVING if record.is_leaving else Urgency.ANNOUNCEMENT
        payload = encode(make_body(announcement))
        # The endpoint may have sent the announcement some time ago. Without its age, other
        # routers would keep the endpoint for longer than its lease.
        age_s = now - record.renewed_at
        published = self._gossip.publish(
            TOPIC_ENDPOINT, announcement.endpoint_id, payload, urgency, now=now, age_s=age_s
        )
        if published.is_ok():
            record.carriers[self._instance_id] = announcement

    def publish_pending(self, records: Iterable[Record], *, now: float) -> None:
        """Publish announcements that no instance publishes, within the limit of pending updates."""
        for record in records:
            is_live = now < record.direct_at + record.announcement.lease_s
            if is_live:
                self.publish_announcement(record, now=now)

    def _retract_outdated(self, record: Record, *, now: float) -> None:
        if record.carriers.get(self._instance_id, record.announcement) != record.announcement:
            self.retract_announcement(record, now=now)

    def retract_announcement(self, record: Record, *, now: float) -> None:
        """Retract the announcement of an endpoint that this router publishes."""
        if record.carriers.pop(self._instance_id, None) is None:
            return
        endpoint_id = record.announcement.endpoint_id
        self._gossip.retract(TOPIC_ENDPOINT, endpoint_id, Urgency.REST, now=now)

    def publish_renewals(self, records: Iterable[Record], *, now: float) -> None:
        """Publish renewals of endpoints that announced themselves to this router last.

        Publishes only when there are newer announcements or the repetition is due.
        """
        if now < self._renewals_published_at + MIN_RENEWAL_INTERVAL_S:
            return
        own_records = [record for record in records if _is_latest_receiver(record, now)]
        newest = max((record.direct_at for record in own_records), default=float("-inf"))
        is_due = now >= self._renewals_published_at + RENEWAL_REPEAT_S and (
            own_records or self._has_published_renewals
        )
        if newest <= self._newest_published_at and not is_due:
            return
        self._renewals_published_at = now
        self._newest_published_at = max(self._newest_published_at, newest)
        self._has_published_renewals = bool(own_records)
        renewals = tuple(_make_renewal(record, now) for record in own_records)
        for index, chunk in enumerate(_split_into_chunks(renewals)):
            payload = encode(Renewals(chunk))
            self._gossip.publish(
                TOPIC_RENEWAL, _make_chunk_key(index), payload, Urgency.LOAD, now=now
            )


_RENEWALS_PER_CHUNK = 8


def _split_into_chunks(renewals: tuple[Renewal, ...]) -> list[tuple[Renewal, ...]]:
    """Split the renewals into chunks, at least one, which may be empty.

    Small chunks are sent before large load counts. A late renewal removes an endpoint from
    the list, whereas a late count only makes load balancing less accurate.
    """
    starts = range(0, max(1, len(renewals)), _RENEWALS_PER_CHUNK)
    return [renewals[start : start + _RENEWALS_PER_CHUNK] for start in starts]


def _make_chunk_key(index: int) -> str:
    return str(index) if index else ""


def _is_latest_receiver(record: Record, now: float) -> bool:
    return record.direct_at >= record.renewed_at and now < record.lease_until


def _make_renewal(record: Record, now: float) -> Renewal:
    return Renewal(record.endpoint_hash, round((now - record.direct_at) * 10))


def decode_announcement(update: ValueUpdate) -> Announcement | None:
    """Return the announcement in a gossip update, ``None`` if it cannot be decoded."""
    try:
        body = decode("endpoints.body", update.payload or b"")
        return read_body(body) if isinstance(body, EndpointBody) else None
    except (DecodeError, ValueError):
        return None


def decode_renewals(update: ValueUpdate) -> Renewals | None:
    """Return the renewals in a gossip update, ``None`` if they cannot be decoded."""
    try:
        renewals = decode("endpoints.renewals", update.payload or b"")
    except DecodeError:
        return None
    return renewals if isinstance(renewals, Renewals) else None
