"""What a router knows of versions and of the origins of its own streams; performs no I/O."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from chivetrack.components.origins.const import (
    MAX_OWN_RECORDS,
    MAX_RECORD_TTL_S,
    MAX_REGISTER_RETRY_S,
    REGISTER_INTERVAL_S,
    REGISTER_RETRY_S,
)
from chivetrack.components.origins.messages import OriginAnswer, OriginGroup, OriginRecords
from chivetrack.components.origins.models import Origin, is_recordable
from chivetrack.components.origins.quorum import covers_majority


@dataclass(slots=True)
class _OwnRecord:
    """The origin of a stream that this router began or continued.

    ``is_inferred`` as in ``OriginGroup``.
    """

    origin: Origin
    recorded_at: float
    expires_at: float
    is_inferred: bool = False
    is_sent: bool = False


class OriginTracker:
    """Knows which versions are registered, and which streams other routers must be able to find.

    While a majority of replicas remembers a single version of a service, nothing is sent: every
    stream began there. As soon as there may be another one, the origins of the streams that are
    open, and of those that begin, go to some replicas, where they outlive this router.
    """

    def __init__(self) -> None:
        """Start without versions and streams."""
        self.is_enforced = True
        """Whether streams begin at registered versions only; replicas of an earlier release of
        this program register none."""
        self._announced: frozenset[Origin] = frozenset()
        self._registered: set[Origin] = set()
        self._single: frozenset[Origin] = frozenset()
        self._register_at = float("-inf")
        self._retry_s = REGISTER_RETRY_S
        self._own: dict[str, _OwnRecord] = {}
        self._unsent: dict[str, _OwnRecord] = {}

    # Versions

    @property
    def announced(self) -> frozenset[Origin]:
        """Return the versions of the endpoints that may get requests."""
        return self._announced

    def update_announced(self, origins: Collection[Origin], *, now: float) -> None:
        """Replace the versions of the endpoints that may get requests.

        One that has gone must be registered again before streams begin there again.
        """
        added = frozenset(origins) - self._announced
        self._announced = frozenset(origins)
        self._registered &= self._announced
        if added - self._registered:
            self.request_registration(now=now)
        self._send_records_of({one.service for one in added})

    def may_begin(self, origin: Origin) -> bool:
        """Return whether a stream may begin at a version."""
        return not self.is_enforced or origin in self._registered

    @property
    def register_at(self) -> float:
        """Return when the announced versions are to be registered next."""
        return self._register_at

    def request_registration(self, *, now: float) -> None:
        """Register the announced versions again now."""
        self._register_at = now
        self._retry_s = REGISTER_RETRY_S

    def confirm(self, origins: Collection[Origin], answers: Mapping[str, OriginAnswer]) -> bool:
        """Let streams begin at versions if a majority remembers them; return whether it does."""
        is_confirmed = covers_majority(answers)
        if is_confirmed:
            self._registered |= self._announced.intersection(origins)
        return is_confirmed

    def handle_registration(
        self,
        origins: Collection[Origin],
        answers: Mapping[str, OriginAnswer],
        *,
        began_at: float,
        now: float,
    ) -> bool:
        """Apply the answers to a registration; return whether a majority has confirmed it.

        One that was requested after this one began at ``began_at`` stays due.
        """
        is_confirmed = self.confirm(origins, answers)
        self._single = frozenset(self._list_single(answers))
        self._send_records_of({one.service for one in self._announced - self._single})
        if self._register_at <= began_at:
            self._schedule_next(
                is_done=is_confirmed and self._announced <= self._registered, now=now
            )
        return is_confirmed

    def _schedule_next(self, *, is_done: bool, now: float) -> None:
        if is_done:
            self._register_at = now + REGISTER_INTERVAL_S
            self._retry_s = REGISTER_RETRY_S
            return
        self._register_at = now + self._retry_s
        self._retry_s = min(MAX_REGISTER_RETRY_S, 2 * self._retry_s)

    def _list_single(self, answers: Mapping[str, OriginAnswer]) -> Iterable[Origin]:
        """Yield the announced versions that alone can have begun their services' streams."""
        complete = {source: one for source, one in answers.items() if one.is_complete}
        if not covers_majority(complete):
            return
        remembered = {origin for answer in answers.values() for origin in answer.origins}
        for origin in self._announced:
            known = {one for one in remembered | self._announced if one.service == origin.service}
            if known == {origin}:
                yield origin

    def is_single(self, origin: Origin) -> bool:
        """Return whether no other version of its service can have begun a stream."""
        return origin in self._single and all(
            one == origin for one in self._announced if one.service == origin.service
        )

    # Streams

    def record_begin(
        self,
        request: str,
        origin: Origin,
        *,
        ttl_s: float,
        is_only_service: bool,
        now: float,
        is_inferred: bool = False,
    ) -> None:
        """Record the origin of a stream for ``ttl_s`` seconds.

        ``is_only_service``: the route of the stream leads to no other service. ``is_inferred`` as
        in ``OriginGroup``. Ids come from callers; if two streams have the same one, the origin of
        neither is known.
        """
        if not is_recordable(request):
            return
        self._drop_expired(now)
        known = self._own.get(request)
        if known is not None and known.is_inferred != is_inferred:
            if is_inferred:
                return
        elif known is not None:
            if known.origin == origin:
                return
            origin = Origin(origin.service, "")
        expires_at = now + min(ttl_s, MAX_RECORD_TTL_S)
        record = _OwnRecord(origin, now, expires_at, is_inferred)
        self._own[request] = record
        if not (is_only_service and self.is_single(origin)):
            self._unsent[request] = record

    def find_own(self, request: str, *, now: float) -> tuple[Origin, float] | None:
        """Return the origin of a stream of this router and the age of its record in seconds.

        An inferred one does not count: the replicas may have the record of another router.
        """
        record = self._own.get(request)
        if record is None or record.is_inferred or record.expires_at <= now:
            return None
        return record.origin, now - record.recorded_at

    def _drop_expired(self, now: float) -> None:
        """Drop the oldest records while they have expired or there are too many."""
        while self._own:
            request, record = next(iter(self._own.items()))
            if record.expires_at > now and len(self._own) < MAX_OWN_RECORDS:
                return
            del self._own[request]
            self._unsent.pop(request, None)

    def _send_records_of(self, services: Collection[str]) -> None:
        if not services:
            return
        for request, record in self._own.items():
            if not record.is_sent and record.origin.service in services:
                self._unsent[request] = record

    def send_all_records(self) -> None:
        """Send the records of all streams: what the configuration says no longer tells origins."""
        self._send_records_of({record.origin.service for record in self._own.values()})

    @property
    def has_unsent(self) -> bool:
        """Return whether there are records to send."""
        return bool(self._unsent)

    def pop_records(self, *, now: float) -> OriginRecords:
        """Return the records to send, grouped by origin and time to live."""
        groups: dict[tuple[Origin, float, bool], list[str]] = {}
        for request, record in self._unsent.items():
            record.is_sent = True
            ttl_s = float(round(record.expires_at - now))
            if ttl_s > 0:
                kind = (record.origin, ttl_s, record.is_inferred)
                groups.setdefault(kind, []).append(request)
        self._unsent = {}
        return OriginRecords(
            groups=tuple(
                OriginGroup(origin, tuple(requests), ttl_s, is_inferred)
                for (origin, ttl_s, is_inferred), requests in groups.items()
            )
        )
