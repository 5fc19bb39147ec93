"""Selects the endpoints of each service that may currently get requests; performs no I/O."""

from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass

from chivetrack.components.announcements.models import EndpointRecord, EndpointState, Incarnation
from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.evacuation.models import Evacuations
from chivetrack.components.origins.models import Origin
from chivetrack.components.slow_start.cold import ColdEndpointTracker
from chivetrack.components.slow_start.const import ASSUMED_COLD_S, MAX_PERMIT_REQUESTS


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointPartition:
    """Endpoints of a service, partitioned for one request.

    ``open`` may get the request. ``resting`` are healthy but excluded at present, because they
    are evacuated, cold or paused, or refused this request.
    """

    open: Sequence[EndpointRecord]
    resting: Sequence[EndpointRecord]


class EndpointDirectory:
    """Lists endpoints by service, excluding those in evacuated zones."""

    def __init__(self) -> None:
        """Create a directory without endpoints and evacuated zones."""
        self.table = EndpointTable()
        self.cold = ColdEndpointTracker()
        self.evacuations = Evacuations()
        self._ready: dict[str, list[EndpointRecord]] = {}
        self._evacuated: dict[str, list[EndpointRecord]] = {}
        self._sources: dict[str, list[EndpointRecord]] = {}
        self._applied_change = -1
        self._origins: dict[str, list[Origin]] = {}
        self._leaving: set[Incarnation] = set()
        self._paused_until: dict[Incarnation, float] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether there is no endpoint that may get requests."""
        return not self._ready

    def apply_changes(self, *, now: float) -> Sequence[EndpointRecord]:
        """Apply the changes of the table since the last call, and return the changed records."""
        if self._applied_change == self.table.change:
            return ()
        changed = self.table.list_changes(self._applied_change)
        for record in changed:
            self.cold.handle_record(record, now=now)
        self._applied_change = self.table.change
        self._rebuild_lists()
        return changed

    def record_leaving(self, record: EndpointRecord) -> bool:
        """Exclude an endpoint that announced its departure in an answer; return if this is new.

        Applies to the whole incarnation: heartbeats may report the departure late or never, and
        an earlier heartbeat that arrives afterwards still reports the endpoint as ready.
        """
        incarnation = record.incarnation
        known = self.table.find(record.endpoint_id)
        if incarnation in self._leaving or known is None or known.born != record.born:
            return False
        self._leaving.add(incarnation)
        self._rebuild_lists()
        return True

    def is_lost_or_replaced(self, record: EndpointRecord) -> bool:
        """Return whether an incarnation is marked lost or a later one has started under its id."""
        known = self.table.find(record.endpoint_id)
        if known is None:
            return False
        return known.born > record.born or known.state is EndpointState.LOST

    def may_get_requests(self, record: EndpointRecord, now: float) -> bool:
        """Return whether an endpoint that was chosen before may still get a request."""
        ready = self.list_ready(record.service)
        is_ready = any(one.incarnation == record.incarnation for one in ready)
        return is_ready and not self.find_pause(record, now)

    def record_pause(self, record: EndpointRecord, *, until: float) -> None:
        """Exclude an endpoint until a time; an earlier time does not shorten its pause."""
        incarnation = record.incarnation
        self._paused_until[incarnation] = max(until, self._paused_until.get(incarnation, until))

    def find_pause(self, record: EndpointRecord, now: float) -> float:
        """Return for how many seconds an endpoint stays paused, 0 if it is not."""
        until = self._paused_until.get(record.incarnation)
        return 0.0 if until is None else max(0.0, until - now)

    def find_shortest_pause(self, service: str, now: float) -> float:
        """Return the shortest pause (s) among the ready endpoints, 0 if one is not paused."""
        pauses = [self.find_pause(record, now) for record in self.list_ready(service)]
        return min(pauses, default=0.0)

    def apply_evacuations(self, evacuations: Evacuations, *, now: float) -> bool:
        """Apply newer zone orders, ignoring an older state from a lagging replica.

        Returns whether the orders were newer.
        """
        if evacuations.revision <= self.evacuations.revision:
            return False
        returned = set(self.evacuations.list_evacuated()) - set(evacuations.list_evacuated())
        self.evacuations = evacuations
        self.cold.assume_cold(self.list_ids_in(returned), until=now + ASSUMED_COLD_S)
        self._rebuild_lists()
        return True

    def _rebuild_lists(self) -> None:
        """Rebuild the lists of endpoints that may get requests or serve cached prompt parts.

        Engines fetch cached parts from each other without involving a router, so engines of
        an evacuated zone stay useful as sources.
        """
        evacuated = self.evacuations.list_evacuated()
        self._ready = {}
        self._evacuated = {}
        self._sources = {}
        incarnations = {record.incarnation for record in self.table.list_records()}
        self._leaving &= incarnations
        self._paused_until = {
            incarnation: until
            for incarnation, until in self._paused_until.items()
            if incarnation in incarnations
        }
        for record in self.table.list_records():
            if record.state in (EndpointState.READY, EndpointState.DRAINING):
                self._sources.setdefault(record.service, []).append(record)
            if record.state is not EndpointState.READY:
                continue
            if record.incarnation in self._leaving:
                continue
            listed = self._evacuated if record.zone in evacuated else self._ready
            listed.setdefault(record.service, []).append(record)
        self._origins = {
            service: [Origin(service, one) for one in {record.software for record in records}]
            for service, records in self._ready.items()
        }

    def list_ids_in(self, zones: Collection[str]) -> Iterator[str]:
        """Yield the ids of all endpoints in the given zones."""
        return (record.endpoint_id for record in self.table.list_records() if record.zone in zones)

    def list_ready(self, service: str) -> Sequence[EndpointRecord]:
        """Return the endpoints that may get requests, including cold ones."""
        return self._ready.get(service, ())

    def list_all_ready(self) -> Sequence[EndpointRecord]:
        """Return the endpoints of all services that may get requests, including cold ones."""
        return [record for records in self._ready.values() for record in records]

    def list_origins(self, service: str) -> Sequence[Origin]:
        """Return the versions of a service's endpoints that may get requests."""
        return self._origins.get(service, ())

    @property
    def all_origins(self) -> frozenset[Origin]:
        """Return the versions of all endpoints that may get requests."""
        return frozenset(origin for origins in self._origins.values() for origin in origins)

    def list_sources(self, service: str) -> Sequence[EndpointRecord]:
        """Return the endpoints from which cached parts of prompts may be fetched."""
        return self._sources.get(service, ())

    def partition(
        self, service: str, *, passed_over: Collection[str], is_limited: bool, now: float
    ) -> EndpointPartition:
        """Partition the endpoints of a service for one request.

        The open endpoints may get the request, cold ones after a permit was granted.
        ``is_limited`` means that the service limits requests to cold endpoints.
        ``passed_over`` are the endpoints that refused this request; after ``MAX_PERMIT_REQUESTS``
        refusals, all cold endpoints are excluded.
        """
        ready = self.list_ready(service)
        evacuated = self._evacuated.get(service, ())
        excluded = set(passed_over)
        if self._paused_until:
            excluded |= {record.endpoint_id for record in ready if self.find_pause(record, now)}
        if not is_limited:
            return self._make_partition(ready, evacuated, excluded)
        cold = {
            record.endpoint_id for record in ready if self.cold.is_cold(record.endpoint_id, now)
        }
        excluded |= {endpoint_id for endpoint_id in cold if self.cold.find_wait(endpoint_id, now)}
        if len(passed_over) >= MAX_PERMIT_REQUESTS:
            excluded |= cold
        return self._make_partition(ready, evacuated, excluded)

    @staticmethod
    def _make_partition(
        ready: Sequence[EndpointRecord],
        evacuated: Sequence[EndpointRecord],
        excluded: Collection[str],
    ) -> EndpointPartition:
        if not excluded:
            return EndpointPartition(open=ready, resting=evacuated)
        return EndpointPartition(
            open=[record for record in ready if record.endpoint_id not in excluded],
            resting=[*evacuated, *(record for record in ready if record.endpoint_id in excluded)],
        )
