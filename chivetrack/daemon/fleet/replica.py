"""The replica process: operators and endpoints on one side, routers on the other."""

import itertools
import secrets
import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager

import gevent
from gevent.event import Event as Signal

from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.deployment.settings import DeploymentSettings
from chivetrack.components.distribution.const import (
    BROADCAST_INTERVAL_S,
    LOAD_REPORT_INTERVAL_S,
    ROUND_INTERVAL_S,
)
from chivetrack.components.distribution.messages import Exchange, FetchDocument, Follow
from chivetrack.components.distribution.publisher import Publisher
from chivetrack.components.document.store import DocumentStore, StoredDocument, unpack_document
from chivetrack.components.evacuation.models import Evacuations
from chivetrack.components.quarantine.models import Quarantine, QuarantineOrder
from chivetrack.components.slow_start.messages import AskPermit, PermitAnswer
from chivetrack.components.slow_start.permits import PermitBook
from chivetrack.daemon.fleet.call_gate import CallGate
from chivetrack.daemon.fleet.const import FLUSH_S, STOP_CALLS_S, TIDY_EVERY_S, TRAFFIC_EVERY
from chivetrack.daemon.fleet.documents import DocumentDesk
from chivetrack.daemon.fleet.gauges import Gauge
from chivetrack.daemon.fleet.handler import Desk
from chivetrack.daemon.fleet.log_host import LogHost
from chivetrack.daemon.fleet.metrics import Metrics, open_metrics_server
from chivetrack.daemon.fleet.peering import TrafficLog, list_seed_peers, make_transport, send_all
from chivetrack.daemon.fleet.restart_file import RestartFile
from chivetrack.daemon.server import HttpServer
from chivetrack.helpers.codec import Message
from chivetrack.helpers.events import EventLog
from chivetrack.platform.control_api import build_control_app

_LAST_WORDS_S = 0.2
_POLL_S = 0.02


class ReplicaProcess:
    """Owns the listeners and loops of a replica; ``run`` serves until a stop has ended."""

    def __init__(self, *, settings: DeploymentSettings, events: EventLog) -> None:
        """Build all parts; nothing listens before ``run``."""
        listeners = settings.listeners
        assert listeners.control is not None and settings.process.data_folder is not None
        self._settings = settings
        self._events = events
        self._asked = Signal()
        self._metrics = Metrics(
            instance=settings.process.name, zone=settings.process.availability_zone
        )
        self._is_pushing = False
        self._store = DocumentStore()
        self._table = EndpointTable()
        self.transport = make_transport(settings, events=events, take=self._take_message)
        seeds = list_seed_peers(settings)
        own = str(listeners.peer)
        self.host = LogHost(
            instance_id=own,
            folder=settings.process.data_folder,
            seeds=seeds,
            is_first_start=settings.fleet.is_first_start,
            tolerated_losses=settings.fleet.tolerated_losses,
            store=self._store,
            send=self.transport.send,
            events=events,
        )
        self._publisher = Publisher(
            replica=own,
            run=secrets.token_hex(8),
            table=self._table,
            list_replicas=self.host.list_instances,
            started_at=time.monotonic(),
        )
        self._permits = PermitBook(started_at=time.monotonic())
        documents = DocumentDesk(
            instance_id=own,
            control_port=listeners.control.port,
            host=self.host,
            store=self._store,
            send=self.transport.send,
            list_readers=lambda version: self._publisher.list_document_addresses(
                version, now=time.monotonic()
            ),
            events=events,
        )
        self._desk = Desk(
            instance_id=own,
            documents=documents,
            zones=settings.fleet.zones,
            list_replicas=self.host.list_instances,
            table=self._table,
            send=self.transport.send,
            push=self._push_soon,
            events=events,
        )
        self._file = RestartFile(
            folder=settings.process.data_folder,
            table=self._table,
            placements=self._publisher.placements,
            events=events,
        )
        self._metrics.add_gauges(
            Gauge(
                name="chivetrack.replica.evacuated_since",
                unit="s",
                description="Unix time of the oldest evacuation in force, 0 without any.",
                read=lambda: self._store.evacuations.evacuated_since,
            ),
            Gauge(
                name="chivetrack.replica.quarantined_requests",
                unit="{request}",
                description="Requests that are rejected since they crash endpoints.",
                read=lambda: len(self._store.quarantine.requests),
            ),
        )
        self._store.listen(self._take_document)
        self._store.listen_to_evacuations(self._take_evacuations)
        self._store.listen_to_quarantine(self._take_quarantine)
        self._documents = documents
        self._pending_orders: set[bytes] = set()
        self._gate = CallGate(
            application=build_control_app(
                handler=self._desk, unpack=unpack_document, report_invalid=self._note_bad
            )
        )
        self._control = HttpServer(
            address=(listeners.control.host, listeners.control.port),
            application=self._gate,
            is_closing=self._asked.is_set,
        )
        self._metrics_server = open_metrics_server(listeners.metrics, self._metrics)

    def _note_bad(self, what: str, detail: str) -> None:
        self._metrics.count("message_rejected")
        self._events.write("message_rejected", what=what, detail=detail[:300])

    def _take_document(self, document: StoredDocument) -> None:
        self._publisher.history.note(document)
        self._metrics.count("configuration_applied")
        self._events.write("configuration_applied", version=document.version)
        self._push_soon()

    def _take_evacuations(self, evacuations: Evacuations) -> None:
        self._publisher.evacuations = evacuations
        self._events.write(
            "evacuation_applied",
            revision=evacuations.revision,
            zones=evacuations.list_evacuated(),
        )
        self._push_soon()

    def _take_quarantine(self, quarantine: Quarantine) -> None:
        before = self._publisher.quarantine
        self._publisher.quarantine = quarantine
        for one in before.requests:
            if quarantine.find(one.fingerprint) is None:
                self._publisher.evidence.reset_count(one.fingerprint)
                self._events.write("request_released", **one.describe())
        for one in quarantine.requests:
            if before.find(one.fingerprint) is None:
                self._events.write("request_quarantined", **one.describe())
        self._push_soon()

    def _order_due_quarantines(self) -> None:
        """At the leader, order the quarantine of requests that reached the crash threshold.

        All replicas collect the evidence, so a new leader can issue orders that failed here.
        """
        if not self.host.is_leader:
            return
        due = self._publisher.evidence.list_due(self._store.quarantine, at=time.time())
        for order in due:
            if order.fingerprint not in self._pending_orders:
                self._pending_orders.add(order.fingerprint)
                gevent.spawn(self._order_quarantine, order)

    def _order_quarantine(self, order: QuarantineOrder) -> None:
        try:
            self._documents.quarantine_request(order)
        finally:
            self._pending_orders.discard(order.fingerprint)

    def _push_soon(self) -> None:
        """Tell the routers; changes that come together go out together."""
        if not self._is_pushing:
            self._is_pushing = True
            gevent.spawn_later(FLUSH_S, self._push)

    def _push(self) -> None:
        self._is_pushing = False
        self._file.write_soon()
        send_all(self.transport.answer, self._publisher.publish(now=time.monotonic()))

    def _take_message(self, source: str, message: Message) -> None:
        if isinstance(message, Follow):
            effects = self._publisher.handle_follow(
                message, now=time.monotonic(), knows_leader=self.host.knows_leader
            )
            send_all(self.transport.answer, effects)
            if message.crash_reports:
                self._order_due_quarantines()
        elif isinstance(message, FetchDocument):
            self._send_documents(source, message)
        elif isinstance(message, AskPermit):
            self._answer_permit(source, message)
        elif isinstance(message, Exchange):
            self._publisher.handle_exchange(source, message, now=time.monotonic())
            if message.crash_reports:
                self._order_due_quarantines()
        elif self.host.takes(message):
            self.host.take(source, message)
        else:
            self._desk.take(source, message)

    def _answer_permit(self, source: str, asked: AskPermit) -> None:
        now = time.monotonic()
        share = self._publisher.get_fleet_share(now=now)
        wait_s = self._permits.ask(asked.endpoint_id, per_s=asked.per_s, share=share, now=now)
        self.transport.answer(source, PermitAnswer(number=asked.number, wait_s=wait_s))

    def _send_documents(self, source: str, fetch: FetchDocument) -> None:
        for one in self._publisher.handle_fetch(source, fetch, now=time.monotonic()):
            gevent.spawn_later(one.delay_s, self.transport.answer, one.target, one.message)

    def run(self) -> int:
        """Serve until SIGTERM; leadership is handed over first."""
        gevent.signal_handler(signal.SIGTERM, self._asked.set)
        gevent.signal_handler(signal.SIGHUP, self._note_reload)
        with self._serve():
            self._events.write(
                "started",
                role="replica",
                peer=str(self._settings.listeners.peer),
                is_first_start=self._settings.fleet.is_first_start,
                seeds=[str(one) for one in self._settings.fleet.seeds],
            )
            self._asked.wait()
            return self._stop()

    def _stop(self) -> int:
        """Hand leadership over, finish the calls in progress, and return how many were cut."""
        began = time.monotonic()
        self._events.write("stopping", leads=self.host.is_leader, open=self._gate.open_count)
        self._gate.is_closed = True
        self.host.hand_over()
        while self._gate.open_count and time.monotonic() < began + STOP_CALLS_S:
            gevent.sleep(_POLL_S)
        gevent.sleep(_LAST_WORDS_S)
        cut = self._gate.open_count
        self._events.write("stopped", cut=cut, after_s=round(time.monotonic() - began, 2))
        return cut

    def _note_reload(self) -> None:
        self._events.write("reload", detail="settings are read at the next start")

    def _tidy(self) -> None:
        traffic = TrafficLog(transport=self.transport, events=self._events)
        for number in itertools.count():
            gevent.sleep(TIDY_EVERY_S)
            if number % TRAFFIC_EVERY == 0:
                traffic.write()
                self.host.write_contacts()
                self._events.write("distribution_sent", **self._publisher.pop_counts())
            now = time.monotonic()
            for record in self._table.forget_old(now):
                self._events.write("endpoint_forgotten", **record.describe())
            self._order_due_quarantines()
            self._file.write_soon()
            # Without a leader, this replica may be partitioned and miss all heartbeats.
            if self.host.knows_leader:
                self._desk.mark_silent_lost()
            if self._table.drop_unheard(now):
                self._push_soon()

    def _exchange(self) -> None:
        """Tell the other replicas what the routers close to this one use."""
        own = str(self._settings.listeners.peer)
        while True:
            gevent.sleep(LOAD_REPORT_INTERVAL_S)
            exchange = self._publisher.make_exchange(now=time.monotonic())
            for target in self.host.list_instances():
                if target != own:
                    self.transport.send(target, exchange)

    def _send_endpoints(self) -> None:
        """Send routers in rounds what has changed at many endpoints."""
        while True:
            gevent.sleep(ROUND_INTERVAL_S / 2)
            send_all(self.transport.answer, self._publisher.send_round(now=time.monotonic()))

    def _spread(self) -> None:
        """Tell the other replicas what endpoints say here."""
        while True:
            gevent.sleep(BROADCAST_INTERVAL_S)
            self._desk.spread()

    @contextmanager
    def _serve(self) -> Iterator[None]:
        self._file.load(now=time.monotonic())
        self.transport.start()
        self._control.start()
        if self._metrics_server is not None:
            self._metrics_server.start()
        jobs = (self.host.run, self._tidy, self._exchange, self._send_endpoints, self._spread)
        loops = [gevent.spawn(one) for one in jobs]
        try:
            yield
        finally:
            gevent.killall(loops, block=False)
