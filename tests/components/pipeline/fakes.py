"""Fakes of the interfaces that the pipeline uses."""

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from chivetrack.components.endpoints.models import EndpointKind, EndpointState
from chivetrack.components.pipeline import faults
from chivetrack.components.pipeline.chain import FILTERS, FilterChain
from chivetrack.components.pipeline.const import FILTER_ORDER
from chivetrack.components.pipeline.flow import Abandon, RequestFlow, SendAgain
from chivetrack.components.pipeline.models import (
    AttemptFailed,
    CallerRequest,
    Exchange,
    RequestKind,
)
from chivetrack.components.resources.models import Locality
from chivetrack.components.routing.models import Demand, Placement
from chivetrack.components.upstream.models import AttemptOutcome
from chivetrack.exceptions import Fault

KEY = "caller-key"
CHAT_BODY = b'{"model":"appraiser","messages":[{"role":"user","content":"hello"}]}'


@dataclass(slots=True, kw_only=True)
class FakeWorkspace:
    name: str = "hakata"
    priority: int = 3
    services: tuple[str, ...] = ("valuation", "claims")
    rate: float | None = None
    concurrency: int | None = None

    def allows(self, service: str) -> bool:
        return service in self.services


@dataclass(slots=True, kw_only=True)
class FakePolicy:
    load_bound: float = 1.25
    max_attempts: int = 3
    timeout_s: float = 30.0
    stall_timeout_s: float = 5.0
    locality: Locality = Locality.REGION
    idempotent: bool | None = None


@dataclass(slots=True, kw_only=True)
class FakeDirectory:
    workspace: FakeWorkspace = field(default_factory=FakeWorkspace)
    policy: FakePolicy = field(default_factory=FakePolicy)
    confirmed: bool = True

    def find_workspace(self, name: str) -> FakeWorkspace | None:
        return self.workspace if name == self.workspace.name else None

    def find_workspace_by_key(self, key: str) -> FakeWorkspace | None:
        return self.workspace if key == KEY else None

    def check_key(self, workspace: FakeWorkspace, key: str) -> bool:
        return key == KEY

    def get_policy(self, workspace: FakeWorkspace) -> FakePolicy:
        return self.policy

    def find_service(self, model: str) -> str | None:
        return "valuation" if model == "appraiser" else None

    def is_confirmed(self, now: float) -> bool:
        return self.confirmed


class FakeLimiter:
    """Admits every request, except that ``queue_next`` queues the next one."""

    def __init__(self) -> None:
        self.held: set[str] = set()
        self.queue_next = False

    def admit(self, exchange: Exchange, *, now: float) -> Fault | bool:
        self.held.add(exchange.request_id)
        is_queued, self.queue_next = self.queue_next, False
        return not is_queued

    def release(self, exchange: Exchange, *, now: float) -> None:
        self.held.remove(exchange.request_id)


class FakePlacer:
    def __init__(self, *, names: tuple[str, ...] = ("engine-1", "engine-2", "engine-3")) -> None:
        self.names = names

    def place(self, demand: Demand, *, now: float) -> Placement:
        for name in self.names:
            if name not in demand.excluded:
                return Placement(endpoint=make_endpoint(name), reason="first")
        return Placement(endpoint=None, reason="all were tried", retry_after_s=1.0)


class FakeLoad:
    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def start(self, endpoint_id: str, now: float) -> None:
        self.counts[endpoint_id] += 1

    def finish(self, endpoint_id: str, now: float) -> None:
        self.counts[endpoint_id] -= 1
        assert self.counts[endpoint_id] >= 0


class SimpleRetries:
    """Allows up to three attempts, as long as another one is safe."""

    def decide(
        self, exchange: Exchange, failure: AttemptFailed, *, now: float
    ) -> SendAgain | Abandon:
        safe = failure.outcome in (AttemptOutcome.NOT_SENT, AttemptOutcome.REFUSED)
        if (safe or exchange.idempotent) and len(exchange.attempts) < 3:
            return SendAgain()
        return Abandon(
            fault=faults.upstream_failed(failure.message, ran=exchange.ran, retry_after_s=1.0)
        )


def make_endpoint(name: str) -> EndpointState:
    return EndpointState(
        endpoint_id=name,
        incarnation=1,
        address=f"http://{name}:1",
        kind=EndpointKind.ENGINE,
        service="valuation",
        region="kyushu",
        zone="fukuoka-hall",
        capacity=4,
    )


class FlowBench:
    """A request flow that runs on fakes."""

    def __init__(self, *, limiter: Any = None) -> None:
        self.directory = FakeDirectory()
        self.limiter = limiter or FakeLimiter()
        self.load = FakeLoad()
        self.placer = FakePlacer()
        self.ended: list[tuple[str, Fault | None]] = []
        parts = {
            "trace": {"random_source": random.Random(1)},
            "identify": {"directory": self.directory},
            "classify": {"directory": self.directory},
            "limit": {"limiter": self.limiter},
            "route": {
                "placer": self.placer,
                "load": self.load,
                "region": "kyushu",
                "zone": "fukuoka-hall",
            },
        }
        filters = [FILTERS[name](**parts.get(name, {})) for name in FILTER_ORDER]
        self.flow = RequestFlow(
            chain=FilterChain(filters=filters),
            retries=SimpleRetries(),
            route_position=FILTER_ORDER.index("route"),
            on_outcome=lambda attempt, outcome, now: None,
            on_end=lambda exchange, fault, now: self.ended.append((exchange.request_id, fault)),
        )


def make_request(
    *,
    body: bytes = CHAT_BODY,
    kind: RequestKind = RequestKind.CHAT,
    method: str = "POST",
    service: str = "",
    key: str | None = KEY,
    **headers: str,
) -> CallerRequest:
    """Return a request; underscores in header names stand for dashes."""
    given = {name.replace("_", "-"): value for name, value in headers.items()}
    if key is not None:
        given["authorization"] = f"Bearer {key}"
    return CallerRequest(
        kind=kind,
        method=method,
        path="/v1/chat/completions",
        headers=given,
        body=body,
        service=service,
    )
