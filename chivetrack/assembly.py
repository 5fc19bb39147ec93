"""Assembly of the decision components of one router, without any I/O.

A daemon, a test or a benchmark calls ``assemble_router`` and drives ``Router.node``.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

import chivetrack.components.pipeline.filters  # noqa: F401
from chivetrack.components.claims.coordinator import ClaimCoordinator
from chivetrack.components.configuration.configuration import Configuration
from chivetrack.components.configuration.models import ConfigurationSettings
from chivetrack.components.controllers.host import ControllerHost
from chivetrack.components.controllers.lease import LeaseHolder
from chivetrack.components.controllers.loop import ControllerLoop
from chivetrack.components.directory.directory import ConfigDirectory
from chivetrack.components.directory.limits import ConfiguredLimits
from chivetrack.components.drains.const import CONTROLLER as DRAIN_CONTROLLER
from chivetrack.components.drains.controller import DrainController
from chivetrack.components.drains.enforcement import DrainEnforcement
from chivetrack.components.drains.models import InstanceState
from chivetrack.components.drains.observation import FleetObserver
from chivetrack.components.endpoints.models import OutcomeKind
from chivetrack.components.endpoints.registry import EndpointRegistry
from chivetrack.components.fleet.leader import LeaderGossip
from chivetrack.components.fleet.roster import Roster
from chivetrack.components.gossip.gossip import Gossip
from chivetrack.components.limits.exchange import DemandExchange
from chivetrack.components.limits.limiter import Limiter
from chivetrack.components.limits.shares import ShareTracker
from chivetrack.components.load.exchange import LoadExchange
from chivetrack.components.load.tracker import LoadTracker
from chivetrack.components.membership.const import FLEET_TOPICS
from chivetrack.components.membership.membership import Membership
from chivetrack.components.membership.models import Instance, InstanceStatus, Seed, StateVersion
from chivetrack.components.pipeline.admission import AdmissionControl
from chivetrack.components.pipeline.attempts import AttemptRetries
from chivetrack.components.pipeline.chain import FILTERS, Filter, FilterChain
from chivetrack.components.pipeline.const import FILTER_ORDER
from chivetrack.components.pipeline.flow import RequestFlow
from chivetrack.components.pipeline.models import Attempt, Exchange
from chivetrack.components.proposals.client import ProposalClient
from chivetrack.components.routing.placer import Placer
from chivetrack.components.store.table import ResourceTable
from chivetrack.components.upstream.models import AttemptOutcome
from chivetrack.exceptions import Fault
from chivetrack.node import RouterNode

DEFAULT_MAX_REQUESTS = 1000

_OUTCOME_KINDS = {
    AttemptOutcome.NOT_SENT: OutcomeKind.CONNECT,
    AttemptOutcome.REFUSED: OutcomeKind.ANSWER,
    AttemptOutcome.MAYBE_RAN: OutcomeKind.CUT,
    AttemptOutcome.RAN: OutcomeKind.ANSWER,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class RouterIdentity:
    """Identity of a router and its address for other instances.

    ``incarnation`` must increase with every start of the process.
    """

    instance_id: str
    incarnation: int
    address: str
    roles: tuple[str, ...]
    region: str
    zone: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RouterOptions:
    """Options of a router; ``replicas`` are the instance ids of the replicas."""

    replicas: Sequence[str]
    seeds: Sequence[Seed]
    budget_bytes_per_s: int
    configuration: ConfigurationSettings
    filter_order: Sequence[str] = FILTER_ORDER
    max_requests: int = DEFAULT_MAX_REQUESTS


@dataclass(slots=True, kw_only=True)
class Router:
    """Decision components of one router; all events are passed to ``node``.

    ``end_listeners`` are called with the exchange, the fault (``None`` on success) and the
    time in seconds when a request has ended.
    """

    node: RouterNode
    flow: RequestFlow
    gossip: Gossip
    membership: Membership
    registry: EndpointRegistry
    load: LoadTracker
    configuration: Configuration
    proposals: ProposalClient
    directory: ConfigDirectory
    end_listeners: list[Callable[[Exchange, Fault | None, float], None]] = field(
        default_factory=list
    )


class _DispatchRecorder:
    """Counts requests in flight and records each attempt for the circuit breakers.

    A half-open circuit breaker admits one request. If the start of that attempt was not
    recorded, all requests that arrive before its answer would be admitted as well.
    """

    def __init__(self, *, load: LoadExchange, registry: EndpointRegistry) -> None:
        self._load = load
        self._registry = registry

    def start(self, endpoint_id: str, now: float) -> None:
        self._load.start(endpoint_id, now)
        self._registry.record_attempt(endpoint_id, now=now)

    def finish(self, endpoint_id: str, now: float) -> None:
        self._load.finish(endpoint_id, now)


def assemble_controllers(
    *,
    identity: RouterIdentity,
    configuration: Configuration,
    proposals: ProposalClient,
    registry: EndpointRegistry,
    load: LoadTracker,
    membership: Membership,
    random_source: Random,
    to_wall_ms: Callable[[float], int],
    now: float,
    is_replica: bool,
) -> ControllerHost:
    """Return the controllers of an instance; only replicas run controllers.

    Each standby requests its leases with entries of the log, so only few instances should
    be standbys.
    """
    if not is_replica:
        return ControllerHost(runners=(), proposals=proposals)

    def list_instance_states(at: float) -> list[InstanceState]:
        return [
            InstanceState(
                instance_id=each.instance_id, is_ready=each.status is InstanceStatus.ALIVE
            )
            for each in membership.list_instances()
        ]

    observer = FleetObserver(
        registry=registry, load=load, list_instances=list_instance_states, to_wall_ms=to_wall_ms
    )
    table = configuration.view.table
    instance_run = f"{identity.instance_id}/{identity.incarnation}"
    loop = ControllerLoop(
        controller=DrainController(table=table, observer=observer),
        lease=LeaseHolder(name=DRAIN_CONTROLLER, instance_run=instance_run, random=random_source),
        get_revision=lambda: table.revision,
        random=random_source,
        started_at=now,
    )
    return ControllerHost(runners=[loop], proposals=proposals)


def assemble_router(
    *,
    identity: RouterIdentity,
    options: RouterOptions,
    random_source: Random,
    to_wall_ms: Callable[[float], int],
    now: float,
    store_table: ResourceTable | None = None,
) -> Router:
    """Return a router that starts at time ``now`` (seconds of a monotonic clock).

    On a replica, ``store_table`` is the resource table of its store. ``to_wall_ms`` converts
    a time of the clock of ``now`` to milliseconds since 1970.
    """
    gossip = Gossip(
        instance_id=identity.instance_id,
        incarnation=identity.incarnation,
        random=random_source,
        budget_bytes_per_s=options.budget_bytes_per_s,
        region=identity.region,
        fleet_topics=FLEET_TOPICS,
    )
    own = Instance(
        instance_id=identity.instance_id,
        address=identity.address,
        region=identity.region,
        zone=identity.zone,
        roles=identity.roles,
        state_version=StateVersion(identity.incarnation, 0),
        since=now,
    )
    membership = Membership(gossip=gossip, own=own, seeds=options.seeds, random=random_source)
    registry = EndpointRegistry(gossip=gossip, instance_id=identity.instance_id)
    load = LoadTracker(router_id=identity.instance_id, incarnation=identity.incarnation)
    configuration = Configuration(
        instance=identity.instance_id,
        incarnation=identity.incarnation,
        settings=options.configuration,
        started_at=now,
        rng=random_source,
        store_table=store_table,
    )
    directory = ConfigDirectory(view=configuration.view, endpoints=registry)
    proposals = ProposalClient(
        instance_id=identity.instance_id, replicas=options.replicas, random=random_source
    )
    placer = Placer(view=registry, load=load, random=random_source)
    exchange = LoadExchange(tracker=load, gossip=gossip)
    shares = ShareTracker(router_id=identity.instance_id, incarnation=identity.incarnation)
    limiter = Limiter(shares=shares, random=random_source, capacity=options.max_requests)
    admission = AdmissionControl(limiter=limiter, limits=ConfiguredLimits(view=configuration.view))
    demands = DemandExchange(shares=shares, gossip=gossip, list_routers=membership.list_living)
    retries = AttemptRetries()
    parts: dict[str, dict[str, Any]] = {
        "trace": {"random_source": random_source},
        "identify": {"directory": directory},
        "classify": {"directory": directory},
        "limit": {"limiter": admission},
        "route": {
            "placer": placer,
            "load": _DispatchRecorder(load=exchange, registry=registry),
            "region": identity.region,
            "zone": identity.zone,
        },
    }
    filters: list[Filter] = [FILTERS[name](**parts.get(name, {})) for name in options.filter_order]
    end_listeners: list[Callable[[Exchange, Fault | None, float], None]] = [retries.earn]

    def record_outcome(attempt: Attempt, outcome: AttemptOutcome, at: float) -> None:
        kind = _OUTCOME_KINDS[outcome]
        is_good = outcome in (AttemptOutcome.RAN, AttemptOutcome.REFUSED)
        registry.record_outcome(attempt.endpoint_id, is_good, kind, at)

    def notify_end_listeners(exchange: Exchange, fault: Fault | None, at: float) -> None:
        for listener in end_listeners:
            listener(exchange, fault, at)

    flow = RequestFlow(
        chain=FilterChain(filters=filters),
        retries=retries,
        route_position=list(options.filter_order).index("route"),
        on_outcome=record_outcome,
        on_end=notify_end_listeners,
    )
    claims = ClaimCoordinator(
        make_holder=lambda request_id: (
            f"{identity.instance_id}/{identity.incarnation}/{request_id}"
        ),
        to_wall_ms=to_wall_ms,
    )
    leader_gossip = LeaderGossip(
        instance_id=identity.instance_id,
        gossip=gossip,
        configuration=configuration,
        proposals=proposals,
    )
    roster = Roster(
        own=own,
        replicas=options.replicas,
        membership=membership,
        configuration=configuration,
        proposals=proposals,
        load=load,
    )
    enforcement = DrainEnforcement(configuration=configuration, registry=registry)
    controllers = assemble_controllers(
        identity=identity,
        configuration=configuration,
        proposals=proposals,
        registry=registry,
        load=load,
        membership=membership,
        random_source=random_source,
        to_wall_ms=to_wall_ms,
        now=now,
        is_replica=store_table is not None,
    )
    node = RouterNode(
        flow=flow,
        proposals=proposals,
        claims=claims,
        admission=admission,
        controllers=controllers,
        components=(
            exchange,
            demands,
            membership,
            gossip,
            registry,
            configuration,
            leader_gossip,
            roster,
            enforcement,
        ),
    )
    return Router(
        node=node,
        flow=flow,
        gossip=gossip,
        membership=membership,
        registry=registry,
        load=load,
        configuration=configuration,
        proposals=proposals,
        directory=directory,
        end_listeners=end_listeners,
    )
