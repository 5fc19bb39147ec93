"""The router process: forwards callers' requests to endpoints."""

import signal
import socket
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import replace
from typing import Any

import gevent
from bottle import Bottle, HTTPResponse
from gevent.event import Event as Signal

from chivetrack.components.admission.engagement import Engagement
from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.deployment.settings import DeploymentSettings
from chivetrack.components.distribution.subscriber import RouterReport, Subscriber
from chivetrack.components.limits.shedding import ConnectionShedder
from chivetrack.components.limits.stopping import StopWindow
from chivetrack.components.paths.const import MAX_CARRIED
from chivetrack.components.paths.messages import CarryRequest
from chivetrack.components.quarantine.models import CrashReport
from chivetrack.components.retries.hedging import HedgingPolicy
from chivetrack.components.retries.sending import SendEnd
from chivetrack.components.traffic.models import Document
from chivetrack.components.traffic.requests import AnswerFacts
from chivetrack.components.upstream.idle_connections import IdleConnections
from chivetrack.core import WakeAt
from chivetrack.daemon.call_gate import CallGate
from chivetrack.daemon.fleet.admission import AdmissionClient
from chivetrack.daemon.fleet.const import (
    PRUNE_INTERVAL_S,
    START_FAILED_DRAIN_S,
    STOP_ACCEPT_S,
    STOP_DRAINED_S,
    STOP_IDLE_AFTER_S,
    STOP_MARGIN_S,
)
from chivetrack.daemon.fleet.crashes import CrashDetector
from chivetrack.daemon.fleet.dialer import Dialer
from chivetrack.daemon.fleet.early import release_signals
from chivetrack.daemon.fleet.explaining import Explainer, add_explain_route
from chivetrack.daemon.fleet.fleet_view import FleetView
from chivetrack.daemon.fleet.forwarder import Forwarder
from chivetrack.daemon.fleet.hedging import Hedger
from chivetrack.daemon.fleet.memory_log import MemoryLog, list_memory_gauges
from chivetrack.daemon.fleet.metrics import Metrics, open_metrics_server
from chivetrack.daemon.fleet.origins import OriginClient
from chivetrack.daemon.fleet.paths import EndpointPaths
from chivetrack.daemon.fleet.peering import list_seed_peers, make_transport, send_all
from chivetrack.daemon.fleet.permits import PermitClient
from chivetrack.daemon.fleet.requests import RequestHandler
from chivetrack.daemon.fleet.retry_budget import RetryBudgetClient
from chivetrack.daemon.fleet.router_gauges import list_router_gauges
from chivetrack.daemon.fleet.router_messages import RouterMessages
from chivetrack.daemon.fleet.shedding import LoopMonitor
from chivetrack.daemon.fleet.stream_carrier import StreamCarrier
from chivetrack.daemon.fleet.stream_silence import StreamSilence
from chivetrack.daemon.fleet.unsound_log import UnsoundLog
from chivetrack.daemon.memory import open_budget
from chivetrack.daemon.server import HttpServer
from chivetrack.daemon.server_limits import ServerLimits
from chivetrack.helpers.events import EventLog
from chivetrack.helpers.sections.values import Address
from chivetrack.helpers.timer import TimerService
from chivetrack.platform.configuration import read_document
from chivetrack.platform.control_api import add_document_route, make_app
from chivetrack.platform.paths import PATH_READY

_POLL_S = 0.02


def _round_since(began: float) -> float:
    """Return the time (s) since ``began`` as it is logged."""
    return round(time.monotonic() - began, 2)


def decode_document(body: bytes) -> Document | None:
    """Decode a configuration as the operator sent it; return ``None`` if it is invalid."""
    decoded = read_document(body)
    return decoded.ok if decoded.is_ok() else None


class Router:
    """Own the listeners and loops of a router; ``run`` serves until the stop is complete."""

    def __init__(
        self,
        *,
        settings: DeploymentSettings,
        events: EventLog,
        listener: socket.socket | None = None,
    ) -> None:
        """Build all components; no connection is accepted before ``run``.

        ``listener`` is the socket for callers if the process has already opened it.
        """
        self._settings = settings
        self._events = events
        self._timers = TimerService()
        self._stop_requested = Signal()
        self._memory = open_budget(settings.limits)
        self._memory_log = MemoryLog(budget=self._memory, events=events)
        self._idle_connections = IdleConnections(read_clock=time.monotonic)
        self._metrics = Metrics(
            instance=settings.process.name, zone=settings.process.availability_zone
        )
        self.view = FleetView(
            zone=settings.process.availability_zone,
            bounds=settings.bounds,
            events=events,
            decode=decode_document,
            forget_endpoint=self._forget_endpoint,
            may_begin=lambda origin: self._origins.tracker.may_begin(origin),
            list_lost_zones=lambda: self._paths.list_lost_zones(),
        )
        unsound_log = UnsoundLog(events=events, metrics=self._metrics)
        self.view.directory.table.listen_to_unsound(unsound_log.record)
        self.view.document_listeners.append(self._apply_limits)
        self._metrics.add_gauges(
            *list_router_gauges(
                view=self.view,
                count_shed=lambda: self._shedder.closed_count,
                count_carried=lambda: self._carrier.open_count,
            ),
            *list_memory_gauges(self._memory),
        )
        self.subscriber = Subscriber(
            router=str(settings.listeners.peer),
            document_address=str(settings.listeners.ready),
            seeds=list_seed_peers(settings),
            table=self.view.directory.table,
            apply_document=self.view.apply_document,
            on_unreadable=self._log_unreadable,
            on_bad_update=self._log_bad_update,
            get_report=self._get_report,
        )
        self._paths = EndpointPaths(
            list_endpoints=self.view.directory.list_ready,
            list_all_endpoints=self.view.directory.list_all_ready,
            avoids_lost_zones=settings.paths.avoids_lost_zones,
            do_others_reach=self.view.do_others_reach,
            request_carriers=self._report_now,
            events=events,
        )
        self._dialer = Dialer(
            idle_connections=self._idle_connections,
            paths=self._paths,
            events=events,
            count_carried=self._metrics.count_carried,
            record_failure=self._record_failure,
        )
        self._carrier = StreamCarrier(
            find_endpoint=self.view.directory.table.find,
            is_broken=self._paths.is_broken,
            is_own_path=self._is_own_path,
            is_stopping=self._stop_requested.is_set,
            events=events,
        )
        self.transport = make_transport(
            settings,
            events=events,
            handle_message=lambda source, message: self.messages.handle(source, message),
            stream_handlers={CarryRequest: self._carrier.serve},
        )
        self._origins = OriginClient(
            list_replicas=self.subscriber.list_origin_keepers,
            count_routers=lambda: self.subscriber.router_count,
            send=self.transport.send,
            events=events,
        )
        self.view.origin_listeners.append(self._origins.handle_endpoints)
        self.view.document_listeners.append(self._origins.handle_document)
        self._permits = PermitClient(
            view=self.view,
            find_replica=lambda: self.subscriber.assigned_replica,
            send=self.transport.send,
            events=events,
        )
        self._retry_budget = RetryBudgetClient(
            budgets=self.view.budgets,
            find_lender=lambda: self.subscriber.lender,
            send=self.transport.send,
        )
        self._admission = AdmissionClient(
            engagement=Engagement(
                is_enabled=settings.admission.schedules_slots,
                min_load=settings.admission.min_load,
            ),
            view=self.view,
            find_leader=lambda: self.subscriber.lender,
            send=self.transport.send,
            events=events,
            record_slot=self._metrics.record_slot,
        )
        self.messages = RouterMessages(
            subscriber=self.subscriber,
            view=self.view,
            paths=self._paths,
            origins=self._origins,
            permits=self._permits,
            admission=self._admission,
            retry_budget=self._retry_budget,
            transport=self.transport,
            events=events,
        )
        crash_detector = CrashDetector(
            events=events,
            on_crash=self._handle_crash,
            is_lost_or_replaced=self.view.directory.is_lost_or_replaced,
            is_own_failure=self._is_own_failure,
        )
        self.view.incarnation_end_listeners.append(crash_detector.handle_incarnation_end)
        self.request_handler = RequestHandler(
            view=self.view,
            permits=self._permits,
            admission=self._admission,
            retry_budget=self._retry_budget,
            crash_detector=crash_detector,
            forwarder=Forwarder(
                idle_connections=self._idle_connections,
                dialer=self._dialer,
                record_unsound_head=self._metrics.record_unsound_head,
                record_answer=self._record_answer,
                handle_first_event=lambda call, choice: self.view.handle_first_event(call),
                handle_bytes=self.view.handle_bytes,
                record_overdue=self.view.record_overdue,
                may_send=lambda: not self._gate.is_closed,
                handle_begin=self._origins.record_begin,
                stream_silence=StreamSilence(
                    view=self.view, retry_budget=self._retry_budget, dialer=self._dialer
                ),
                hedger=Hedger(
                    policy=HedgingPolicy(
                        max_share=settings.hedging.max_share, max_load=settings.hedging.max_load
                    ),
                    view=self.view,
                    retry_budget=self._retry_budget,
                    dialer=self._dialer,
                    is_scheduled=self._admission.is_scheduled,
                    events=events,
                    record_hedge=self._metrics.record_hedge,
                ),
            ),
            documents=self.subscriber.documents,
            origins=self._origins,
            events=events,
            record_end=self._metrics.record_end,
            record_rejection=self._metrics.record_rejection,
            record_continuation=self._metrics.record_continuation,
            record_budget=self._metrics.record_budget,
        )
        assert settings.listeners.callers is not None and settings.listeners.ready is not None
        self._gate = CallGate(
            application=self.request_handler, refuse=self.request_handler.late_requests
        )
        self._shedder = ConnectionShedder()
        self._callers = self._make_server(
            settings.listeners.callers,
            self._gate,
            listener,
            may_accept=self._shedder.may_accept,
        )
        self._ready = self._make_server(settings.listeners.ready, self._build_ready_app())
        explainer = Explainer(view=self.view, is_scheduled=self._admission.is_scheduled)
        self._metrics_server = open_metrics_server(
            settings.listeners.metrics,
            self._metrics,
            memory=self._memory,
            add_routes=lambda app: add_explain_route(app, explainer),
        )

    def _forget_endpoint(self, endpoint_id: str) -> None:
        self._idle_connections.close_endpoint(endpoint_id)
        self._paths.forget(endpoint_id)

    def _get_report(self) -> RouterReport:
        has_room = self._carrier.open_count < MAX_CARRIED
        return replace(
            self.view.get_report(),
            can_carry=self._paths.can_carry and has_room and not self._stop_requested.is_set(),
            needs_carriers=self._paths.needs_carriers,
            lost_services=self._paths.list_lost_services(),
        )

    def _record_failure(self, record: EndpointRecord) -> None:
        self.view.health.record_outcome(record.endpoint_id, SendEnd.NOT_SENT)

    def _is_own_failure(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint that refuses connections has failed itself."""
        return not self._paths.is_suspected(record) or self._dialer.has_failed(record)

    def _is_own_path(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint that was not reached for others may be sound."""
        is_suspected = self._paths.record_trouble(record)
        self._dialer.start_verification(record)
        return is_suspected

    def _report_now(self) -> None:
        send_all(self.transport.send, self.subscriber.report_load(now=time.monotonic()))

    def _make_server(
        self,
        address: Address,
        application: Callable[..., Any],
        listener: socket.socket | None = None,
        may_accept: Callable[[], bool] = lambda: True,
    ) -> HttpServer:
        host_and_port = (address.host, address.port)
        is_open = listener is not None and listener.getsockname() == host_and_port
        return HttpServer(
            address=host_and_port,
            application=application,
            is_closing=self._stop_requested.is_set,
            listener=listener if is_open else None,
            may_accept=may_accept,
            memory=self._memory,
        )

    def _build_ready_app(self) -> Bottle:
        app = make_app()

        def show_ready() -> HTTPResponse:
            return HTTPResponse(body=b"", status=200 if self.is_ready() else 503)

        app.route(PATH_READY, "GET", show_ready)
        add_document_route(app, self.subscriber.documents.find_body)
        return app

    def is_ready(self) -> bool:
        """Return whether the load balancer may send connections to this router."""
        is_serving = self.view.table is not None and self.view.has_view
        is_outdated = self.subscriber.documents.is_long_outdated(time.monotonic())
        return is_serving and not is_outdated and not self._stop_requested.is_set()

    def _record_answer(self, record: EndpointRecord, facts: AnswerFacts) -> None:
        self._metrics.record_answer(record.endpoint_id, facts)
        self.view.record_answer(record, facts)

    def _handle_crash(self, reports: Sequence[CrashReport]) -> None:
        """Report the requests that were running at a crashed endpoint without delay."""
        self._metrics.count_crash()
        self.view.quarantine.record_crash(reports)
        self._report_now()

    def _apply_limits(self, document: Document) -> None:
        limits = document.limits
        self._callers.limits = ServerLimits(
            max_header_bytes=limits.max_header_bytes,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )

    def _log_unreadable(self, version: int, detail: str) -> None:
        self._events.write("configuration_unreadable", version=version, detail=detail)

    def _log_bad_update(self, replica: str, detail: str) -> None:
        self._events.write("endpoints_unreadable", replica=replica, detail=detail)

    def _wake_subscriber(self, now: float) -> None:
        before = self.subscriber.assigned_replica
        effects = self.subscriber.wake(now=now)
        if self.subscriber.assigned_replica != before:
            self._events.write(
                "replica_followed", replica=self.subscriber.assigned_replica, before=before
            )
        send_all(self.transport.send, effects)
        for effect in effects:
            if isinstance(effect, WakeAt):
                self._timers.call_at(effect.at, self._wake_subscriber)

    def _prune(self, now: float) -> None:
        self._idle_connections.close_expired()
        self._memory_log.write(now)
        for record in self.view.forget_expired(now=now):
            self._events.write("endpoint_forgotten", **record.describe())

    def _run_timers(self) -> None:
        while True:
            now = time.monotonic()
            self._timers.run_due(now)
            due = self._timers.find_next_due()
            gevent.sleep(0.1 if due is None else max(0.005, due - time.monotonic()))

    def run(self) -> int:
        """Serve until SIGTERM, then stop; return the number of requests cut by the exit."""
        gevent.signal_handler(signal.SIGTERM, self._stop_requested.set)
        gevent.signal_handler(signal.SIGHUP, self._log_reload)
        stopped_at = release_signals()
        with self._serve():
            self._events.write("started", role="router", peer=str(self._settings.listeners.peer))
            self._stop_requested.wait()
            return self._stop(began=time.monotonic() if stopped_at is None else stopped_at)

    def _log_reload(self) -> None:
        self._events.write("reload", detail="settings are read at the next start")

    def _stop(self, *, began: float) -> int:
        killed_at = began + self._settings.bounds.stop_within_s
        ends_at = killed_at - STOP_MARGIN_S
        window = StopWindow(accepts_until=min(began + STOP_ACCEPT_S, ends_at), exits_at=ends_at)
        self.request_handler.begin_stop(window, now=began)
        send_all(self.transport.send, self.subscriber.report_load(now=began))
        self._events.write("stopping", open=self._gate.open_count)
        for at in (began + STOP_IDLE_AFTER_S, window.accepts_until):
            gevent.sleep(max(0.0, min(at, ends_at) - time.monotonic()))
            self._callers.close_idle()
            self._carrier.close_idle()
        # Keep accepting new connections: callers whose connections stayed in the kernel's
        # accept queue would get no answer until the process exits.
        while self._count_active() and time.monotonic() < ends_at:
            gevent.sleep(_POLL_S)
        # No other greenlet may run between the last look at the count and this line: what it
        # would pass on could not be awaited any more.
        self._gate.is_closed = True
        self.request_handler.end_stop()
        self._events.write("exit_decided", open=self._gate.open_count, after_s=_round_since(began))
        left = self._drain(ends_at=killed_at - STOP_DRAINED_S)
        self._events.write(
            "stopped",
            cut=self.request_handler.cut_count,
            refused=self.request_handler.late_requests.refused_count,
            connections_left=left,
            after_s=_round_since(began),
        )
        return self.request_handler.cut_count

    def _count_active(self) -> int:
        """Return the requests in progress here, and those that are carried for other routers."""
        return self._gate.open_count + self._carrier.count_active()

    def _drain(self, *, ends_at: float) -> int:
        """Close all listeners and connections; return how many are still open at ``ends_at``."""
        drains = [gevent.spawn(one.drain, ends_at=ends_at) for one in self._list_servers()]
        gevent.joinall(drains)
        return sum(drain.get() for drain in drains)

    def _list_servers(self) -> Iterator[HttpServer]:
        yield self._callers
        yield self._ready
        if self._metrics_server is not None:
            yield self._metrics_server

    def _open_listeners(self) -> None:
        """Open all listeners; raise ``OSError`` if an address is in use."""
        callers, *others = self._list_servers()
        callers.start()
        try:
            self.transport.start()
            for server in others:
                server.start()
        except OSError:
            # Callers may wait in the accept queue since the process has opened the listener.
            self._gate.is_closed = True
            callers.drain(ends_at=time.monotonic() + START_FAILED_DRAIN_S)
            raise

    @contextmanager
    def _serve(self) -> Iterator[None]:
        self._open_listeners()
        now = time.monotonic()
        self._timers.call_at(now, self._wake_subscriber)
        self._timers.call_every(PRUNE_INTERVAL_S, self._prune, now=now)
        loops = [
            gevent.spawn(one)
            for one in (
                self._run_timers,
                self._paths.run_probes,
                self._origins.run,
                LoopMonitor(shedder=self._shedder, events=self._events).run,
            )
        ]
        try:
            yield
        finally:
            gevent.killall(loops, block=False)
