"""What a replica remembers of software versions and of the origins of streams; performs no I/O."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace

from chivetrack.components.announcements.models import EndpointRecord, EndpointState
from chivetrack.components.origins.const import (
    LOST_VERSION_MEMORY_S,
    MAX_RECORD_TTL_S,
    MAX_RECORDS,
    RECORD_BUCKET_S,
    VERSION_MEMORY_S,
)
from chivetrack.components.origins.messages import (
    OriginAnswer,
    OriginGroup,
    OriginQuery,
    OriginRecords,
)
from chivetrack.components.origins.models import Origin, is_recordable
from chivetrack.components.origins.quorum import covers_majority


@dataclass(frozen=True, slots=True)
class FoundOrigin:
    """The recorded origin of a stream; ``is_inferred`` as in ``OriginGroup``."""

    origin: Origin
    recorded_at: float
    is_inferred: bool = False


class RecordStore:
    """Origins of streams by the id of their first request; each expires after its time to live.

    Ids come from callers. If two streams have the same id, the origin of neither is known. An
    inferred origin yields to a recorded one: the caller may have made up the id.
    """

    def __init__(self) -> None:
        """Start without records."""
        self._buckets: dict[int, dict[str, FoundOrigin]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return the number of records, including those that are about to be dropped."""
        return self._count

    def record(self, group: OriginGroup, *, now: float) -> None:
        """Keep the records of a group; drop them if there are too many."""
        self._drop_expired(now)
        entry = FoundOrigin(group.origin, now, group.is_inferred)
        ttl_s = min(max(0.0, group.ttl_s), MAX_RECORD_TTL_S)
        bucket = self._buckets.setdefault(int((now + ttl_s) // RECORD_BUCKET_S) + 1, {})
        for request in group.requests:
            if not is_recordable(request):
                continue
            known = self._find(request)
            if known is not None:
                self._merge(request, known, entry)
            elif self._count < MAX_RECORDS:
                bucket[request] = entry
                self._count += 1

    def _merge(self, request: str, known: FoundOrigin, entry: FoundOrigin) -> None:
        if known.is_inferred != entry.is_inferred:
            if known.is_inferred:
                self._overwrite(request, entry)
        elif known.origin != entry.origin:
            unknown = Origin(entry.origin.service, "")
            self._overwrite(request, replace(entry, origin=unknown))

    def find(self, request: str, *, now: float) -> FoundOrigin | None:
        """Return the origin of a stream, ``None`` without a record."""
        self._drop_expired(now)
        return self._find(request)

    def _find(self, request: str) -> FoundOrigin | None:
        for bucket in self._buckets.values():
            if request in bucket:
                return bucket[request]
        return None

    def _overwrite(self, request: str, entry: FoundOrigin) -> None:
        for bucket in self._buckets.values():
            if request in bucket:
                bucket[request] = entry

    def _drop_expired(self, now: float) -> None:
        current = int(now // RECORD_BUCKET_S)
        for number in [number for number in self._buckets if number < current]:
            self._count -= len(self._buckets.pop(number))


@dataclass(slots=True, kw_only=True)
class OriginLedger:
    """Answers the queries of routers about versions and the origins of streams.

    A router begins streams only at versions that a majority of replicas remembers, so a majority
    that remembers a single version proves that no other one has begun a stream. A lost disk
    would break this: a replica without its memory says so (``is_complete``) until it has what a
    majority of the others remembers, or has run for as long as versions are remembered.
    """

    started_at: float
    is_complete: bool = False
    records: RecordStore = field(default_factory=RecordStore)
    _expires: dict[Origin, float] = field(default_factory=dict)

    def refresh(self, endpoints: Iterable[EndpointRecord], *, now: float) -> None:
        """Remember the versions of announced endpoints, and forget those that are gone."""
        present = {
            (record.service, record.software, record.state is EndpointState.LOST)
            for record in endpoints
            if record.state is not EndpointState.LEFT and record.service
        }
        for service, software, is_lost in present:
            memory_s = LOST_VERSION_MEMORY_S if is_lost else VERSION_MEMORY_S
            self._remember(Origin(service, software), now + memory_s)
        for origin in [origin for origin, until in self._expires.items() if until <= now]:
            del self._expires[origin]
        self.is_complete = self.is_complete or now - self.started_at >= VERSION_MEMORY_S

    def _remember(self, origin: Origin, until: float) -> None:
        self._expires[origin] = max(until, self._expires.get(origin, until))

    def handle_records(self, records: OriginRecords, *, now: float) -> None:
        """Keep the records of a router."""
        for group in records.groups:
            self.records.record(group, now=now)

    @property
    def origins(self) -> frozenset[Origin]:
        """Return the versions that are remembered."""
        return frozenset(self._expires)

    def list_lost(self, *, now: float) -> frozenset[Origin]:
        """Return the versions that are remembered for longer, as their endpoints were lost."""
        return frozenset(
            origin for origin, until in self._expires.items() if until > now + VERSION_MEMORY_S
        )

    def register(
        self, origins: Iterable[Origin], *, now: float, lost: Collection[Origin] = ()
    ) -> None:
        """Remember versions at which a router is going to begin streams, or began some.

        Those in ``lost`` are remembered for as long as versions of lost endpoints.
        """
        for origin in origins:
            memory_s = LOST_VERSION_MEMORY_S if origin in lost else VERSION_MEMORY_S
            self._remember(origin, now + memory_s)

    def answer(self, query: OriginQuery, *, members: tuple[str, ...], now: float) -> OriginAnswer:
        """Register the versions of a query and answer it."""
        self.register(query.registers, now=now)
        found = self.records.find(query.request, now=now) if query.request else None
        return OriginAnswer(
            number=query.number,
            members=members,
            is_complete=self.is_complete,
            origins=_filter_services(self._expires, query.services),
            found=None if found is None else found.origin,
            age_s=0.0 if found is None else now - found.recorded_at,
            is_inferred=found is not None and found.is_inferred,
            lost=_filter_services(self.list_lost(now=now), query.services),
        )

    def merge(self, answers: Mapping[str, OriginAnswer], *, now: float) -> bool:
        """Take over what other replicas remember; return whether the memory is complete now."""
        for answer in answers.values():
            self.register(answer.origins, now=now, lost=answer.lost)
        complete = {source: one for source, one in answers.items() if one.is_complete}
        self.is_complete = self.is_complete or covers_majority(complete)
        return self.is_complete


def _filter_services(origins: Iterable[Origin], services: tuple[str, ...]) -> tuple[Origin, ...]:
    """Return the versions of some services, of all if ``services`` is empty."""
    return tuple(one for one in origins if not services or one.service in services)
