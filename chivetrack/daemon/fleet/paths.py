"""What this router knows of its paths to endpoints, and how it finds out."""

import random
import time
from collections.abc import Callable, Sequence

import gevent

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.distribution.messages import Carrier
from chivetrack.components.paths.carriers import CarrierPool
from chivetrack.components.paths.const import (
    CARRIERS_WAIT_S,
    PROBE_INTERVAL_S,
    TROUBLE_WINDOW_S,
)
from chivetrack.components.paths.table import PathTable
from chivetrack.components.paths.zones import ZonePaths
from chivetrack.components.upstream.connection import (
    ConnectTimeoutError,
    NotSentError,
    open_socket,
)
from chivetrack.daemon.fleet.const import CONNECT_TIMEOUT_S
from chivetrack.helpers.events import EventLog

_POLL_S = 0.01


class EndpointPaths:
    """Keep the paths of this router, the carriers named by replicas, and probe broken paths."""

    def __init__(
        self,
        *,
        list_endpoints: Callable[[str], Sequence[EndpointRecord]],
        list_all_endpoints: Callable[[], Sequence[EndpointRecord]] = tuple,
        avoids_lost_zones: bool = False,
        do_others_reach: Callable[[str], bool | None],
        request_carriers: Callable[[], None],
        events: EventLog,
    ) -> None:
        """Store how to list the endpoints of a service and what other routers say of one.

        ``list_all_endpoints`` lists those of all services, to probe lost zones; without
        ``avoids_lost_zones``, no zone counts as lost.
        ``request_carriers`` asks the assigned replica for carriers.
        """
        self._list_endpoints = list_endpoints
        self._list_all_endpoints = list_all_endpoints
        self._do_others_reach = do_others_reach
        self._request_carriers = request_carriers
        self._events = events
        self._table = PathTable()
        self.carriers = CarrierPool(random=random.Random())
        self._avoids_lost_zones = avoids_lost_zones
        self._zones = ZonePaths()
        self._needed_at = float("-inf")

    def list_lost_zones(self) -> frozenset[str]:
        """Return the zones that this router does not reach."""
        return self._zones.list_lost(now=time.monotonic())

    def record_unanswered(self, record: EndpointRecord) -> None:
        """Record that an endpoint's host did not answer a connection, or a request on one."""
        if not self._avoids_lost_zones:
            return
        before = self.list_lost_zones()
        self._zones.record_unanswered(record.zone, record.endpoint_id, now=time.monotonic())
        if record.zone not in before and record.zone in self.list_lost_zones():
            self._events.write("zone_path_changed", zone=record.zone, state="lost")

    def record_answer(self, record: EndpointRecord) -> None:
        """Record that an endpoint has answered over a connection of this router."""
        lost = self.list_lost_zones()
        if self._zones.record_reached(record.zone) and record.zone in lost:
            self._events.write("zone_path_changed", zone=record.zone, state="reached")

    @property
    def can_carry(self) -> bool:
        """Return whether this router knows which services it reaches."""
        return self._table.has_broken or not self._table.is_troubled(now=time.monotonic())

    def list_lost_services(self) -> tuple[str, ...]:
        """Return the services that this router does not reach, or not all endpoints of them."""
        return self._table.list_lost_services()

    @property
    def needs_carriers(self) -> bool:
        """Return whether the assigned replica should name carriers."""
        is_recent = time.monotonic() - self._needed_at <= TROUBLE_WINDOW_S
        return is_recent or self._table.has_broken

    def handle_carriers(self, carriers: Sequence[Carrier]) -> None:
        """Use the carriers that the assigned replica named, if it named any."""
        if carriers:
            self.carriers.replace(carriers, now=time.monotonic())

    def wait_for_carriers(self, timeout_s: float) -> None:
        """Ask for carriers, and wait for them if none are known."""
        self._needed_at = time.monotonic()
        if not self.carriers.is_outdated(now=self._needed_at):
            return
        self._request_carriers()
        ends_at = self._needed_at + min(timeout_s, CARRIERS_WAIT_S)
        while self.carriers.is_outdated(now=time.monotonic()) and time.monotonic() < ends_at:
            gevent.sleep(_POLL_S)

    def is_broken(self, record: EndpointRecord) -> bool:
        """Return whether connections to an endpoint should go through a carrier at once."""
        return self._table.is_broken(record.endpoint_id, record.service)

    def is_doubtful(self, record: EndpointRecord) -> bool:
        """Return whether a carrier should be asked before the own path is tried again."""
        return self._table.is_doubtful(record.endpoint_id, now=time.monotonic())

    def is_suspected(self, record: EndpointRecord) -> bool:
        """Return whether a failure at an endpoint may be one of this router's own path."""
        return self.is_broken(record) or self._table.is_suspected(
            record.endpoint_id,
            others_reach=self._do_others_reach(record.endpoint_id),
            now=time.monotonic(),
        )

    def record_trouble(self, record: EndpointRecord) -> bool:
        """Record that a connection could not be opened, broke off or hangs.

        Return whether the failure may be one of this router's own path.
        """
        self._table.record_trouble(record.endpoint_id, now=time.monotonic())
        return self.is_suspected(record)

    def record_reached(self, record: EndpointRecord) -> None:
        """Record that this router has reached an endpoint by itself."""
        was_broken = self.is_broken(record)
        self.record_answer(record)
        self._table.record_reached(record.endpoint_id, record.service, now=time.monotonic())
        if was_broken:
            self._log(record, "working")

    def record_broken(self, record: EndpointRecord) -> None:
        """Record that a carrier has reached an endpoint that this router does not reach."""
        now = time.monotonic()
        if self._table.record_broken(record.endpoint_id, record.service, now=now):
            self._log(record, "broken")

    def record_failed(self, record: EndpointRecord) -> None:
        """Record that a carrier did not reach an endpoint either."""
        self._table.record_failed(record.endpoint_id, now=time.monotonic())

    def forget(self, endpoint_id: str) -> None:
        """Drop an endpoint that has restarted or left."""
        self._table.forget(endpoint_id)

    def _log(self, record: EndpointRecord, state: str) -> None:
        self._events.write(
            "path_changed",
            endpoint=record.endpoint_id,
            service=record.service,
            address=record.address,
            state=state,
        )

    def run_probes(self) -> None:
        """Try broken paths again, with connections that carry no request."""
        while True:
            gevent.sleep(PROBE_INTERVAL_S)
            broken = self._table.list_broken()
            if broken:
                self._probe(*random.choice(broken))
            for zone in self.list_lost_zones():
                self._probe_zone(zone)

    def _probe_zone(self, zone: str) -> None:
        """Try an endpoint of a lost zone."""
        records = [one for one in self._list_all_endpoints() if one.zone == zone]
        if not records:
            return
        record = random.choice(records)
        try:
            open_socket(record.address, timeout_s=CONNECT_TIMEOUT_S).close()
        except ConnectTimeoutError:
            self.record_unanswered(record)
        except NotSentError:
            self.record_answer(record)
        else:
            self.record_reached(record)

    def _probe(self, endpoint_id: str, service: str) -> None:
        """Try an endpoint, and another one of its service, of which it may be the only one cut."""
        records = self._list_endpoints(service)
        broken = [record for record in records if record.endpoint_id == endpoint_id]
        if not broken:
            self.forget(endpoint_id)
        for record in [*broken, *random.sample(records, min(1, len(records)))]:
            try:
                open_socket(record.address, timeout_s=CONNECT_TIMEOUT_S).close()
            except NotSentError:
                continue
            self.record_reached(record)
