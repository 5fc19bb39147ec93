"""Carries announcements between the endpoint registry and gossip."""

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
from chivetrack.components.gossip.models import News, Urgency
from chivetrack.helpers.codec import DecodeError, decode, encode


class AnnouncementPublisher:
    """Publishes what this router heard from endpoints directly."""

    def __init__(self, *, gossip: Gossip, instance_id: str) -> None:
        """Create a spreader that has published nothing."""
        self._gossip = gossip
        self._instance_id = instance_id
        self._renewals_published_at = float("-inf")
        self._newest_published_at = float("-inf")
        self._has_published_renewals = False

    def publish_announcement(self, record: Record, *, now: float) -> None:
        """Publish an announcement unless some instance already does."""
        if any(carried == record.announcement for carried in record.carriers.values()):
            self._retract_outdated(record, now=now)
            return
        # After a start hundreds of endpoints announce themselves to one router after the
        # other. If each of these published them all, what is doubled would fill the budget
        # and none would learn in time that another has it already.
        if not record.is_leaving and self._gossip.count_ordinary() > MAX_PENDING_UPDATES:
            return
        announcement = record.announcement
        urgency = Urgency.LEAVING if record.is_leaving else Urgency.ANNOUNCEMENT
        payload = encode(make_body(announcement))
        # The endpoint may have said it a while ago; counted from now, the others would
        # keep it for longer than its lease.
        age_s = now - record.renewed_at
        published = self._gossip.publish(
            TOPIC_ENDPOINT, announcement.endpoint_id, payload, urgency, now=now, age_s=age_s
        )
        if published.is_ok():
            record.carriers[self._instance_id] = announcement

    def publish_pending(self, records: Iterable[Record], *, now: float) -> None:
        """Publish what nobody does, as far as the backlog allows."""
        for record in records:
            is_live = now < record.direct_at + record.announcement.lease_s
            if is_live:
                self.publish_announcement(record, now=now)

    def _retract_outdated(self, record: Record, *, now: float) -> None:
        if record.carriers.get(self._instance_id, record.announcement) != record.announcement:
            self.retract_announcement(record, now=now)

    def retract_announcement(self, record: Record, *, now: float) -> None:
        """Take back what this router publishes of an endpoint."""
        if record.carriers.pop(self._instance_id, None) is None:
            return
        endpoint_id = record.announcement.endpoint_id
        self._gossip.retract(TOPIC_ENDPOINT, endpoint_id, Urgency.REST, now=now)

    def publish_renewals(self, records: Iterable[Record], *, now: float) -> None:
        """Publish whose latest announcement came here, if that changed or is due again."""
        if now < self._renewals_published_at + MIN_RENEWAL_INTERVAL_S:
            return
        mine = [record for record in records if _is_latest_receiver(record, now)]
        newest = max((record.direct_at for record in mine), default=float("-inf"))
        is_due = now >= self._renewals_published_at + RENEWAL_REPEAT_S and (
            mine or self._has_published_renewals
        )
        if newest <= self._newest_published_at and not is_due:
            return
        self._renewals_published_at = now
        self._newest_published_at = max(self._newest_published_at, newest)
        self._has_published_renewals = bool(mine)
        renewals = tuple(_make_renewal(record, now) for record in mine)
        for index, chunk in enumerate(_split_into_chunks(renewals)):
            payload = encode(Renewals(chunk))
            self._gossip.publish(TOPIC_RENEWAL, _name_chunk(index), payload, Urgency.LOAD, now=now)


_RENEWALS_PER_CHUNK = 8


def _split_into_chunks(renewals: tuple[Renewal, ...]) -> list[tuple[Renewal, ...]]:
    """Split the list, never into nothing.

    Small parts get ahead of large load counts: a late renewal takes an endpoint off the
    list, a late count only makes a choice worse.
    """
    starts = range(0, max(1, len(renewals)), _RENEWALS_PER_CHUNK)
    return [renewals[start : start + _RENEWALS_PER_CHUNK] for start in starts]


def _name_chunk(index: int) -> str:
    return str(index) if index else ""


def _is_latest_receiver(record: Record, now: float) -> bool:
    return record.direct_at >= record.renewed_at and now < record.lease_until


def _make_renewal(record: Record, now: float) -> Renewal:
    return Renewal(record.endpoint_hash, round((now - record.direct_at) * 10))


def decode_announcement(news: News) -> Announcement | None:
    """Return the announcement in a piece of news, ``None`` if it can't be read."""
    try:
        body = decode("endpoints.body", news.payload or b"")
        return read_body(body) if isinstance(body, EndpointBody) else None
    except (DecodeError, ValueError):
        return None


def decode_renewals(news: News) -> Renewals | None:
    """Return the renewals in a piece of news, ``None`` if they can't be read."""
    try:
        renewals = decode("endpoints.renewals", news.payload or b"")
    except DecodeError:
        return None
    return renewals if isinstance(renewals, Renewals) else None
