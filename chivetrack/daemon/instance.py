"""One running instance: the I/O around the decision logic of its router."""

import random
import secrets
import signal
import time
import uuid
from collections.abc import Iterator
from contextlib import contextmanager

import gevent

from chivetrack.assembly import Router, RouterIdentity, RouterOptions, assemble_router
from chivetrack.components.caller_api.app import CallerApi
from chivetrack.components.caller_api.const import PATH_HEALTH, PATH_READY
from chivetrack.components.caller_api.gateway import Gateway
from chivetrack.components.configuration.models import ConfigurationSettings, WhenUnconfirmed
from chivetrack.components.management.app import build_management_app
from chivetrack.components.membership.models import Seed
from chivetrack.components.peers.transport import PeerTransport
from chivetrack.components.pipeline.models import RequestEffect
from chivetrack.components.proposals.models import SubmissionEnded
from chivetrack.components.settings import Settings
from chivetrack.components.settings.models import Role
from chivetrack.components.store.store import Store
from chivetrack.components.upstream.client import UpstreamClient
from chivetrack.const import MILLISECONDS_PER_SECOND
from chivetrack.core import SendMessage
from chivetrack.daemon.announcements import AnnouncementHandler
from chivetrack.daemon.call_gate import CallGate
from chivetrack.daemon.const import STOP_DRAIN_TIMEOUT_S
from chivetrack.daemon.encryption import Encryption
from chivetrack.daemon.explanations import Explanations
from chivetrack.daemon.gauges import GAUGE_INTERVAL_S, Gauges
from chivetrack.daemon.instance_requests import InstanceRequests
from chivetrack.daemon.listeners import Applications, Listeners
from chivetrack.daemon.management import Management
from chivetrack.daemon.memory import open_budget
from chivetrack.daemon.metrics import build_metrics_app
from chivetrack.daemon.peering import MessageDispatcher
from chivetrack.daemon.recorder import RequestRecorder
from chivetrack.daemon.refusals import ConnectionGate, StopRefusal
from chivetrack.daemon.replica_host import ReplicaHost
from chivetrack.daemon.resources import ResourceHandler, build_resources_app, make_key_ring
from chivetrack.daemon.runner import Runner
from chivetrack.daemon.server_limits import make_server_limits
from chivetrack.daemon.stop import GracefulStop, StopReport
from chivetrack.daemon.submissions import Submissions
from chivetrack.helpers.codec import Message
from chivetrack.helpers.log import get_logger
from chivetrack.helpers.telemetry import Telemetry
from chivetrack.helpers.timer import TimerService
from chivetrack.helpers.tls import RELOAD_INTERVAL_S

# Time to send the notice that this instance leaves to other instances.
LEAVE_NOTICE_S = 0.5
# Time for the last sync of the replica's writer.
STOP_WRITER_TIMEOUT_S = 2.0

_LOGGER = get_logger("daemon")


def _make_id() -> str:
    return uuid.uuid4().hex


def _to_wall_ms(now: float) -> int:
    shift_s = now - time.monotonic()
    return int((time.time() + shift_s) * MILLISECONDS_PER_SECOND)


class Instance:
    """Owns the I/O of one daemon; ``run`` serves until a graceful stop is complete."""

    def __init__(self, *, settings: Settings, telemetry: Telemetry, encryption: Encryption) -> None:
        """Create all parts; the listeners are opened by ``run``."""
        self._settings = settings
        self._telemetry = telemetry
        self._encryption = encryption
        self._timers = TimerService()
        self._store = Store() if self._is_replica else None
        self.router = self._assemble_router()
        self.recorder = RequestRecorder(instruments=telemetry.instruments)
        self.router.end_listeners.append(self.recorder.record_end)
        self.runner = Runner(
            decisions=self.router.node, timers=self._timers, read_clock=time.monotonic
        )
        self.dispatcher = MessageDispatcher(post=self.runner.post)
        self.submissions = Submissions(
            post=self.runner.post, read_clock=time.monotonic, make_id=_make_id
        )
        self.client = UpstreamClient()
        self.gateway = Gateway(
            post=self.runner.post,
            client=self.client,
            telemetry=telemetry,
            read_clock=time.monotonic,
            make_id=_make_id,
            max_open=settings.limits.max_streams,
        )
        self.transport = self._build_transport()
        self._replica = self._build_replica()
        self.dispatcher.replica = self._replica
        connection_gate, caller_gate = self._build_caller_gates()
        operator_gate = self._build_operator_gate()
        self._listeners = Listeners(
            settings=settings.listeners,
            applications=Applications(
                caller=caller_gate,
                resources=operator_gate,
                telemetry=build_metrics_app(telemetry=telemetry),
            ),
            encryption=encryption,
            is_closing=self.is_stopping,
            memory=open_budget(settings.limits),
            limits=make_server_limits(settings.limits),
        )
        self._stop = GracefulStop(
            settle_s=settings.stop.settle_s,
            deadline_s=settings.stop.deadline_s,
            requests=InstanceRequests(
                gateway=self.gateway,
                submissions=self.submissions,
                connection_gate=connection_gate,
                caller_gate=caller_gate,
                operator_gate=operator_gate,
                listeners=self._listeners,
            ),
            read_clock=time.monotonic,
        )
        self._connect_effects()

    @property
    def instance_id(self) -> str:
        """Return the id of this instance."""
        return self._settings.instance.id

    @property
    def _peer_address(self) -> str:
        listeners = self._settings.listeners
        return str(listeners.peer_advertised or listeners.peer)

    @property
    def _is_replica(self) -> bool:
        return Role.REPLICA in self._settings.instance.roles

    def _assemble_router(self) -> Router:
        instance = self._settings.instance
        identity = RouterIdentity(
            instance_id=instance.id,
            incarnation=time.time_ns() // 1_000_000,
            address=self._peer_address,
            roles=tuple(role.value for role in instance.roles),
            region=instance.region,
            zone=instance.availability_zone,
        )
        configuration = ConfigurationSettings(
            confirmation_window_s=self._settings.configuration.confirm_within_s,
            when_unconfirmed=WhenUnconfirmed(self._settings.configuration.when_unconfirmed.value),
        )
        options = RouterOptions(
            replicas=[member.id for member in self._settings.replicas.initial],
            seeds=self._list_seeds(),
            budget_bytes_per_s=self._settings.control.budget_bytes_per_s,
            configuration=configuration,
            max_requests=self._settings.limits.max_streams,
        )
        return assemble_router(
            identity=identity,
            options=options,
            random_source=random.Random(secrets.randbits(128)),
            to_wall_ms=_to_wall_ms,
            now=time.monotonic(),
            store_table=None if self._store is None else self._store.table,
        )

    def _build_transport(self) -> PeerTransport:
        tls = self._encryption.get("peer")
        transport = PeerTransport(
            instance_id=self.instance_id,
            listen=str(self._settings.listeners.peer),
            advertised=self._peer_address,
            resolve=self._resolve,
            on_message=self.dispatcher.dispatch,
            on_error=lambda text: _LOGGER.warning("Dropped a message: {}.", text),
            server_credentials=None if tls is None else tls.create_grpc_server_credentials(),
            make_channel_credentials=(None if tls is None else tls.create_grpc_channel_credentials),
        )
        if tls is not None:
            tls.subscribe(transport.reopen_channels)
        return transport

    def _list_seeds(self) -> list[Seed]:
        """Return the seeds; a seed without a known id gets its address as its id."""
        region = self._settings.instance.region
        named = {str(member.address): member.id for member in self._settings.replicas.initial}
        addresses = [str(seed) for seed in self._settings.peers.seeds]
        return [
            Seed(instance_id=named.get(address, address), address=address, region=region)
            for address in dict.fromkeys([*named, *addresses])
        ]

    def _resolve(self, instance_id: str) -> str | None:
        return self.router.membership.find_address(instance_id, now=time.monotonic())

    def _build_replica(self) -> ReplicaHost | None:
        folder = self._settings.instance.data_folder
        if self._store is None or folder is None:
            return None
        return ReplicaHost(
            instance_id=self.instance_id,
            folder=folder,
            initial_instances=[member.id for member in self._settings.replicas.initial],
            store=self._store,
            post=self.runner.post,
            send=self._send_to,
            system_random=random.SystemRandom(),
        )

    def _build_caller_gates(self) -> tuple[ConnectionGate, CallGate]:
        announcements = AnnouncementHandler(
            registry=self.router.registry,
            keys=make_key_ring(self._settings.announcers.keys),
            read_clock=time.monotonic,
        )
        caller_api = CallerApi(
            gateway=self.gateway,
            announce=announcements.handle,
            is_ready=self.is_ready,
            max_body=self._settings.limits.max_body_bytes,
        )
        application = caller_api.build()
        refuse = StopRefusal(
            application=application,
            make_id=_make_id,
            answered_paths=(PATH_HEALTH, PATH_READY),
        )
        connection_gate = ConnectionGate(application=application, refuse=refuse)
        return connection_gate, CallGate(application=connection_gate, refuse=refuse)

    def _build_operator_gate(self) -> CallGate:
        operators = make_key_ring(self._settings.operators.keys)
        resources = build_resources_app(
            handler=ResourceHandler(submissions=self.submissions, registry=self.router.registry),
            view=self.router.configuration.view,
            operators=operators,
        )
        explanations = Explanations(
            instance_id=self.instance_id,
            recorder=self.recorder,
            registry=self.router.registry,
            read_clock=time.monotonic,
        )
        management = Management(
            instance_id=self.instance_id,
            router=self.router,
            submissions=self.submissions,
            explanations=explanations,
            operators=operators,
            read_clock=time.monotonic,
        )
        # The first matching route is used, and the generic path of a resource matches all
        # management paths as well. The management routes are therefore added first.
        operators_app = build_management_app(management.make_ports())
        operators_app.merge(resources)
        operators_app.default_error_handler = resources.default_error_handler
        refuse = StopRefusal(application=operators_app, make_id=_make_id)
        return CallGate(application=operators_app, refuse=refuse)

    def _connect_effects(self) -> None:
        self.runner.register_handler(SendMessage, self._send)
        self.runner.register_handler(RequestEffect, self.gateway.handle_effect)
        self.runner.register_handler(SubmissionEnded, self.submissions.handle_end)

    def _send(self, effect: SendMessage) -> None:
        self._send_to(effect.target, effect.message)

    def _send_to(self, target: str, message: Message) -> None:
        if target == self.instance_id:
            gevent.spawn(self.dispatcher.dispatch, self.instance_id, message)
            return
        self.transport.send(target, message)

    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests to this instance."""
        if self._stop.is_stopping:
            return False
        return self.router.configuration.view.check_serving(time.monotonic()) is None

    def is_stopping(self) -> bool:
        """Return whether a stop has begun; connections then close after their request."""
        return self._stop.is_stopping

    def run(self) -> StopReport:
        """Serve until a graceful stop is complete, and return its report."""
        # Before the listeners: the default action would reset their accept queues.
        gevent.signal_handler(signal.SIGTERM, self._stop.request)
        gevent.signal_handler(signal.SIGINT, self._stop.request)
        with self._serve():
            _LOGGER.info("Instance {} has started.", self.instance_id)
            report = self._stop.wait()
            self._leave()
            # The metrics and the refusals of operators' requests are answered until now.
            self._listeners.drain_rest(ends_at=time.monotonic() + STOP_DRAIN_TIMEOUT_S)
            return report

    def _leave(self) -> None:
        """Release leases, transfer leadership and announce that this instance leaves.

        Otherwise other instances would have to wait until the leases and the leadership
        of this instance expire.
        """
        self.runner.execute(self.router.node.release_leases(now=time.monotonic()))
        if self._replica is not None:
            self._replica.transfer_leadership()
        self.router.membership.leave(now=time.monotonic())
        gevent.sleep(LEAVE_NOTICE_S)

    @contextmanager
    def _serve(self) -> Iterator[None]:
        self.transport.start()
        self._listeners.start()
        now = time.monotonic()
        self._timers.call_every(RELOAD_INTERVAL_S, lambda _: self._encryption.check(), now=now)
        gauges = Gauges(
            instruments=self._telemetry.instruments,
            transport=self.transport,
            configuration=self.router.configuration,
            is_leader=lambda: self._replica is not None and self._replica.is_leader,
        )
        self._timers.call_every(GAUGE_INTERVAL_S, gauges.update, now=now)
        self.runner.start()
        loops = [gevent.spawn(self.runner.run)]
        if self._replica is not None:
            loops.append(gevent.spawn(self._replica.run))
        try:
            yield
        finally:
            if self._replica is not None:
                self._replica.stop()
            gevent.joinall(loops[1:], timeout=STOP_WRITER_TIMEOUT_S)
            gevent.killall(loops)
            self._listeners.stop()
            self.transport.stop()
            self.client.close()
