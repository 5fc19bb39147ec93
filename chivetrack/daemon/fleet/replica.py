"""The replica process: serves operators and endpoints and keeps routers up to date."""

import itertools
import secrets
import signal
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random
from typing import Any

import gevent
from gevent.event import Event as Signal

from chivetrack.components.admission.messages import SlotRelease, SlotRequest
from chivetrack.components.admission.schedulers import SlotSchedulers
from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.deployment.settings import DeploymentSettings
from chivetrack.components.distribution.const import (
    BROADCAST_INTERVAL_S,
    LOAD_REPORT_INTERVAL_S,
    ROUND_INTERVAL_S,
)
from chivetrack.components.distribution.messages import (
    DocumentApplied,
    Exchange,
    FetchDocument,
    Follow,
    RolloutState,
)
from chivetrack.components.distribution.publisher import Publisher
from chivetrack.components.document.store import DocumentStore, StoredDocument, unpack_document
from chivetrack.components.evacuation.models import Evacuations
from chivetrack.components.origins.messages import OriginAnswer, OriginQuery, OriginRecords
from chivetrack.components.peers.const import MAX_WAIT_S
from chivetrack.components.quarantine.models import Quarantine
from chivetrack.components.retries.lender import SlackLender
from chivetrack.components.retries.messages import LeaseRequest
from chivetrack.components.slow_start.messages import PermitAnswer, PermitRequest
from chivetrack.components.slow_start.permits import PermitLedger
from chivetrack.daemon.call_gate import CallGate
from chivetrack.daemon.fleet.admission_host import AdmissionHost
from chivetrack.daemon.fleet.call_refusals import CallRefuser
from chivetrack.daemon.fleet.const import (
    PRUNE_INTERVAL_S,
    PRUNE_ROUNDS_PER_TRAFFIC_LINE,
    PUSH_DELAY_S,
    STOP_CALLS_TIMEOUT_S,
    STOP_MARGIN_S,
)
from chivetrack.daemon.fleet.control_handler import ControlHandler
from chivetrack.daemon.fleet.documents import DocumentHandler
from chivetrack.daemon.fleet.early import release_signals
from chivetrack.daemon.fleet.lending import LenderHost
from chivetrack.daemon.fleet.log_host import LogHost
from chivetrack.daemon.fleet.memory_log import MemoryLog, list_memory_gauges
from chivetrack.daemon.fleet.metrics import Metrics, open_metrics_server
from chivetrack.daemon.fleet.origin_file import OriginFile
from chivetrack.daemon.fleet.origin_host import OriginHost
from chivetrack.daemon.fleet.peering import TrafficLog, list_seed_peers, make_transport, send_all
from chivetrack.daemon.fleet.quarantine_host import QuarantineHost
from chivetrack.daemon.fleet.replica_gauges import list_replica_gauges
from chivetrack.daemon.fleet.restart_file import RestartFile
from chivetrack.daemon.fleet.unsound_log import UnsoundLog
from chivetrack.daemon.memory import open_budget
from chivetrack.daemon.server import HttpServer
from chivetrack.helpers.codec import Message
from chivetrack.helpers.events import EventLog
from chivetrack.platform.control_api import build_control_app

_POLL_S = 0.02
MAX_LOGGED_ROUTERS = 16


class ReplicaProcess:
    """Own the listeners and loops of a replica; ``run`` serves until the stop is complete."""

    def __init__(self, *, settings: DeploymentSettings, events: EventLog) -> None:
        """Build all components; no listener is opened before ``run``."""
        listeners = settings.listeners
        assert listeners.control is not None and settings.process.data_folder is not None
        self._settings = settings
        self._events = events
        self._stop_requested = Signal()
        self._metrics = Metrics(
            instance=settings.process.name, zone=settings.process.availability_zone
        )
        self._is_push_scheduled = False
        self._rollout_told: RolloutState | None = None
        self._store = DocumentStore()
        self._table = EndpointTable()
        unsound_log = UnsoundLog(events=events, metrics=self._metrics)
        self._table.listen_to_unsound(unsound_log.record)
        self.transport = make_transport(
            settings, events=events, handle_message=self._handle_message
        )
        seeds = list_seed_peers(settings)
        own = str(listeners.peer)
        self.host = LogHost(
            instance_id=own,
            folder=settings.process.data_folder,
            seeds=seeds,
            is_first_start=settings.fleet.is_first_start,
            tolerated_losses=settings.fleet.tolerated_losses,
            catch_up_s=settings.bounds.catch_up_s,
            store=self._store,
            send=self.transport.send,
            events=events,
        )
        self._publisher = Publisher(
            replica=own,
            run=secrets.token_hex(8),
            table=self._table,
            list_replicas=self.host.list_instances,
            is_congested=lambda: self.transport.room.is_congested,
            find_leader=self.host.get_leader,
            started_at=time.monotonic(),
        )
        self._lending = LenderHost(
            lender=SlackLender(
                slack=settings.bounds.retry_slack, window_s=settings.bounds.retry_window_s
            ),
            confirm_leadership=lambda timeout_s: self.host.confirm_leadership(timeout_s=timeout_s),
            wait_elected=self.host.wait_elected,
            answer=self.transport.answer,
            events=events,
        )
        self._admission = AdmissionHost(
            schedulers=SlotSchedulers(random=Random()),
            is_leader=lambda: self.host.is_leader,
            answer=self.transport.answer,
            events=events,
        )
        self._permits = PermitLedger(started_at=time.monotonic())
        documents = DocumentHandler(
            instance_id=own,
            control_port=listeners.control.port,
            host=self.host,
            store=self._store,
            send=self.transport.send,
            list_readers=lambda version: self._publisher.list_document_addresses(
                version, now=time.monotonic()
            ),
            events=events,
            get_link_rate=lambda: self.transport.room.window.rate,
            is_in_force=lambda version: self._publisher.is_in_force(version, now=time.monotonic()),
            record_acknowledged=self._record_acknowledged,
        )
        self._control_handler = ControlHandler(
            instance_id=own,
            documents=documents,
            zones=settings.fleet.zones,
            list_replicas=self.host.list_instances,
            table=self._table,
            send=self.transport.send,
            push=self._schedule_push,
            events=events,
        )
        self._restart_file = RestartFile(
            folder=settings.process.data_folder,
            table=self._table,
            placements=self._publisher.placements,
            events=events,
        )
        self._origins = OriginHost(
            instance_id=own,
            is_founder=settings.fleet.is_first_start
            and own in seeds
            and not self._restart_file.exists,
            file=OriginFile(folder=settings.process.data_folder, events=events),
            table=self._table,
            list_replicas=self.host.list_instances,
            send=self.transport.send,
            answer=self.transport.answer,
            events=events,
        )
        self._message_handlers = dict(self._list_message_handlers())
        memory = open_budget(settings.limits)
        self._memory_log = MemoryLog(budget=memory, events=events)
        self._metrics.add_gauges(
            *list_memory_gauges(memory),
            *list_replica_gauges(store=self._store, room=self.transport.room),
        )
        self._quarantine = QuarantineHost(
            folder=settings.process.data_folder,
            evidence=self._publisher.evidence,
            is_leader=lambda: self.host.is_leader,
            get_quarantine=lambda: self._store.quarantine,
            order=documents.quarantine_request,
            events=events,
        )
        self._store.listen(self._apply_document)
        self._store.listen_to_evacuations(self._apply_evacuations)
        self._store.listen_to_quarantine(self._apply_quarantine)
        self._documents = documents
        self._refuser = CallRefuser(events=events)
        self._gate = CallGate(
            application=build_control_app(
                handler=self._control_handler,
                unpack=unpack_document,
                report_invalid=self._log_rejected,
                report_unsound=unsound_log.record,
            ),
            refuse=self._refuser,
        )
        self._control = HttpServer(
            address=(listeners.control.host, listeners.control.port),
            application=self._gate,
            is_closing=self._stop_requested.is_set,
            pace=self.transport.room.pace,
            memory=memory,
        )
        self._metrics_server = open_metrics_server(listeners.metrics, self._metrics, memory=memory)

    def _log_rejected(self, what: str, detail: str) -> None:
        self._metrics.count("message_rejected")
        self._events.write("message_rejected", what=what, detail=detail[:300])

    def _apply_document(self, document: StoredDocument) -> None:
        self._publisher.history.set_current(document)
        self._metrics.count("configuration_applied")
        self._events.write("configuration_applied", version=document.version)
        self._schedule_push()

    def _apply_evacuations(self, evacuations: Evacuations) -> None:
        self._publisher.evacuations = evacuations
        self._events.write(
            "evacuation_applied",
            revision=evacuations.revision,
            zones=evacuations.list_evacuated(),
        )
        self._schedule_push()

    def _apply_quarantine(self, quarantine: Quarantine) -> None:
        self._publisher.quarantine = quarantine
        self._quarantine.handle_quarantine(quarantine)
        self._schedule_push()

    def _schedule_push(self) -> None:
        """Schedule an update to the routers; changes within ``PUSH_DELAY_S`` are batched."""
        if not self._is_push_scheduled:
            self._is_push_scheduled = True
            gevent.spawn_later(PUSH_DELAY_S, self._push)

    def _push(self) -> None:
        self._is_push_scheduled = False
        self._restart_file.schedule_write()
        send_all(self.transport.answer, self._publisher.publish(now=time.monotonic()))
        self._serve_documents()

    def _handle_message(self, source: str, message: Message) -> None:
        handler = self._message_handlers.get(type(message))
        if handler is not None:
            handler(source, message)
        elif self.host.accepts(message):
            self.host.handle_message(source, message)
        else:
            self._control_handler.handle_message(source, message)

    def _list_message_handlers(self) -> Iterator[tuple[type[Message], Callable[[str, Any], None]]]:
        yield Follow, self._handle_follow
        yield FetchDocument, self._handle_fetch
        yield DocumentApplied, self._handle_applied
        yield RolloutState, self._handle_rollout
        yield OriginRecords, self._origins.handle_records
        yield OriginQuery, self._origins.handle_query
        yield OriginAnswer, self._origins.handle_answer
        yield PermitRequest, self._answer_permit
        yield LeaseRequest, self._lending.handle_request
        yield SlotRequest, self._admission.handle_request
        yield SlotRelease, self._admission.handle_release
        yield Exchange, self._handle_exchange

    def _handle_follow(self, _source: str, follow: Follow) -> None:
        effects = self._publisher.handle_follow(
            follow, now=time.monotonic(), knows_leader=self.host.knows_leader
        )
        send_all(self.transport.answer, effects)
        if follow.crash_reports:
            self._quarantine.order_due()
        self._serve_documents()

    def _handle_fetch(self, source: str, fetch: FetchDocument) -> None:
        self._publisher.handle_fetch(source, fetch, now=time.monotonic())
        self._serve_documents()

    def _handle_applied(self, source: str, applied: DocumentApplied) -> None:
        self._publisher.handle_applied(source, applied, now=time.monotonic())
        self._serve_documents()

    def _handle_rollout(self, source: str, state: RolloutState) -> None:
        self._publisher.rollout.record_peer(source, state, now=time.monotonic())

    def _handle_exchange(self, source: str, exchange: Exchange) -> None:
        self._publisher.handle_exchange(source, exchange, now=time.monotonic())
        if exchange.crash_reports:
            self._quarantine.order_due()

    def _answer_permit(self, source: str, request: PermitRequest) -> None:
        now = time.monotonic()
        share = self._publisher.get_fleet_share(now=now)
        wait_s = self._permits.request(
            request.endpoint_id, per_s=request.per_s, share=share, now=now
        )
        self.transport.answer(source, PermitAnswer(number=request.number, wait_s=wait_s))

    def _serve_documents(self) -> None:
        now = time.monotonic()
        send_all(self.transport.answer, self._publisher.serve_documents(now=now))
        if self._rollout_told is None or self._rollout_told.in_force != self._store.current.version:
            state = self._publisher.make_rollout_state(now=now)
            if state != self._rollout_told:
                self._tell_rollout(state)

    def _tell_rollout(self, state: RolloutState) -> None:
        """Tell the other replicas how far documents have got; they may have to acknowledge one."""
        self._rollout_told = state
        for target in self._list_others():
            self.transport.send(target, state)

    def _list_others(self) -> list[str]:
        own = str(self._settings.listeners.peer)
        return [one for one in self.host.list_instances() if one != own]

    def _record_acknowledged(self, version: int) -> None:
        self._publisher.rollout.record_acknowledged(version)
        self._tell_rollout(self._publisher.make_rollout_state(now=time.monotonic()))

    def run(self) -> int:
        """Serve until SIGTERM, then stop; return the number of calls cut by the exit."""
        gevent.signal_handler(signal.SIGTERM, self._stop_requested.set)
        gevent.signal_handler(signal.SIGHUP, self._log_reload)
        release_signals()
        with self._serve():
            self._events.write(
                "started",
                role="replica",
                peer=str(self._settings.listeners.peer),
                is_first_start=self._settings.fleet.is_first_start,
                seeds=[str(one) for one in self._settings.fleet.seeds],
            )
            self._stop_requested.wait()
            return self._stop()

    def _stop(self) -> int:
        """Transfer leadership, answer the calls and return the number of those cut."""
        began = time.monotonic()
        ends_at = began + STOP_CALLS_TIMEOUT_S
        self._events.write("stopping", leads=self.host.is_leader, open=self._gate.open_count)
        self._gate.is_closed = True
        self.transport.room.stop_pacing()
        self._control_handler.begin_stop()
        self._events.write("exit_decided", open=self._gate.open_count, after_s=0.0)
        self.host.transfer_leadership()
        self.host.leave()
        connections_left = self._drain_listeners(ends_at)
        while self._documents.forwarded_count and time.monotonic() < ends_at:
            gevent.sleep(_POLL_S)
        self._control_handler.broadcast()
        links_left = self.transport.flush(ends_at=self._get_sends_end(began))
        cut = self._gate.open_count + self._documents.forwarded_count
        self._events.write(
            "stopped",
            cut=cut,
            refused=self._refuser.count,
            connections_left=connections_left,
            links_left=links_left,
            after_s=round(time.monotonic() - began, 2),
        )
        return cut

    def _drain_listeners(self, ends_at: float) -> int:
        """Answer what callers have sent; return the number of connections left at the end."""
        servers = [one for one in (self._control, self._metrics_server) if one is not None]
        drains = [gevent.spawn(one.drain, ends_at=ends_at) for one in servers]
        return sum(one.get() for one in drains)

    def _get_sends_end(self, began: float) -> float:
        """Return until when the last messages may be sent (s, monotonic)."""
        exits_at = began + self._settings.bounds.stop_within_s - STOP_MARGIN_S
        return min(time.monotonic() + MAX_WAIT_S, exits_at)

    def _log_reload(self) -> None:
        self._events.write("reload", detail="settings are read at the next start")

    def _run_pruning(self) -> None:
        traffic = TrafficLog(transport=self.transport, events=self._events)
        for number in itertools.count():
            gevent.sleep(PRUNE_INTERVAL_S)
            if number % PRUNE_ROUNDS_PER_TRAFFIC_LINE == 0:
                traffic.write()
                self.host.write_contacts()
                self._events.write("distribution_sent", **self._publisher.pop_counts())
            now = time.monotonic()
            self._memory_log.write(now)
            self._origins.refresh()
            for record in self._table.remove_expired(now):
                self._events.write("endpoint_forgotten", **record.describe())
            self._quarantine.order_due()
            self._restart_file.schedule_write()
            # Without a leader, this replica may be partitioned and miss all heartbeats.
            if self.host.knows_leader:
                self._control_handler.mark_silent_lost()
            if self._table.mark_unconfirmed_lost(now):
                self._schedule_push()

    def _run_exchange(self) -> None:
        """Send the other replicas the loads of the routers assigned to this one."""
        while True:
            gevent.sleep(LOAD_REPORT_INTERVAL_S)
            now = time.monotonic()
            exchange = self._publisher.make_exchange(now=now)
            for target in self._list_others():
                self.transport.send(target, exchange)
            self._quarantine.order_due()
            self._tell_rollout(self._publisher.make_rollout_state(now=now))

    def _run_endpoint_rounds(self) -> None:
        """Send routers endpoint changes in rounds, which bundle many changes."""
        while True:
            gevent.sleep(ROUND_INTERVAL_S / 2)
            send_all(self.transport.answer, self._publisher.send_round(now=time.monotonic()))
            self._serve_documents()
            self._log_rollout()

    def _log_rollout(self) -> None:
        report = self._publisher.report_rollout(now=time.monotonic())
        if report is None:
            return
        self._events.write(
            "configuration_spread",
            version=report.version,
            after_s=round(report.after_s, 3),
            routers=report.routers,
            lacking=len(report.lacking),
            names=report.lacking[:MAX_LOGGED_ROUTERS],
        )

    def _run_broadcasts(self) -> None:
        """Broadcast the announcements received from endpoints to the other replicas."""
        while True:
            gevent.sleep(BROADCAST_INTERVAL_S)
            self._control_handler.broadcast()

    @contextmanager
    def _serve(self) -> Iterator[None]:
        self._restart_file.load(now=time.monotonic())
        self._quarantine.load()
        self.transport.start()
        self._control.start()
        if self._metrics_server is not None:
            self._metrics_server.start()
        jobs = (
            self.host.run,
            self._run_pruning,
            self._run_exchange,
            self._run_endpoint_rounds,
            self._run_broadcasts,
            self._origins.run,
            self._lending.run,
            self._admission.run,
        )
        loops = [gevent.spawn(one) for one in jobs]
        try:
            yield
        finally:
            gevent.killall(loops, block=False)
