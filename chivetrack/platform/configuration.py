"""Decoder for the configuration document that operators send."""

from typing import Any

import msgspec
from expression import Error, Ok, Result

from chivetrack.components.traffic.models import (
    CallerLimits,
    Document,
    EngineProfile,
    Route,
    RouteKind,
    Service,
    Share,
    Workspace,
)
from chivetrack.components.traffic.validation import check_document
from chivetrack.helpers.finding import Findings

_KINDS = {kind.value: kind for kind in RouteKind}


class _Share(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="camel"):
    """A route; ``target_latency_ms`` and ``gap_target_ms`` are the limits for a good answer.

    They bound the response time (for streams, up to the first event) and the pause between
    two events of a stream.
    """

    name: str
    hostname: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Share] | None = None
    max_attempts: int = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0


class _Engine(msgspec.Struct, rename="camel"):
    """A model engine; ``kv_capacity`` is its cache memory in tokens.

    ``moves`` says whether engines can fetch cached parts of a prompt from each other.
    """

    slots: int = 0
    kv_capacity: int = 0
    moves: bool = False


class _Service(msgspec.Struct, rename="camel"):
    name: str
    health_path: str = ""
    max_connections: int = 0
    cold_per_s: float = 0.0
    engine: _Engine | None = None


class _Workspace(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Document(msgspec.Struct, rename="camel"):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Workspace] | None = None


_DECODER = msgspec.json.Decoder(_Document)


def read_document(body: bytes) -> Result[Document, Findings]:
    """Decode and validate a configuration; the error side lists all findings with places."""
    findings = Findings()
    try:
        sent = _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        findings.add("body", str(error))
        return Error(findings)
    document = _convert(sent)
    findings = check_document(document)
    return Error(findings) if len(findings) else Ok(document)


def _convert(sent: _Document) -> Document:
    workspaces = None
    if sent.tenants is not None:
        workspaces = tuple(
            Workspace(name=one.name, keys=tuple(one.api_keys), priority=one.priority)
            for one in sent.tenants
        )
    return Document(
        version=sent.version,
        routes=tuple(_convert_route(route) for route in sent.routes),
        services=tuple(_convert_service(service) for service in sent.services),
        workspaces=workspaces,
        limits=CallerLimits(
            max_header_bytes=sent.limits.max_header_bytes,
            max_body_bytes=sent.limits.max_body_bytes,
            header_timeout_s=sent.limits.header_timeout_ms / 1000.0,
            idle_timeout_s=sent.limits.idle_timeout_ms / 1000.0,
        ),
    )


def _convert_route(route: _Route) -> Route:
    return Route(
        name=route.name,
        host=route.hostname,
        prefix=route.path_prefix,
        # Requests of an unknown kind are never retried, since they may not be idempotent.
        kind=_KINDS.get(route.kind, RouteKind.NON_IDEMPOTENT),
        timeout_s=route.timeout_ms / 1000.0,
        target_s=route.target_latency_ms / 1000.0,
        priority=route.priority,
        shares=_convert_shares(route),
        max_attempts=route.max_attempts,
        is_public=route.public,
        is_sticky=route.sticky,
        is_resumable=route.resumable,
        longest_pause_s=route.gap_target_ms / 1000.0,
    )


def _convert_shares(route: _Route) -> tuple[Share, ...]:
    if route.traffic_split is not None:
        return tuple(Share(service=one.service, weight=one.weight) for one in route.traffic_split)
    return (Share(service=route.service, weight=1.0),) if route.service is not None else ()


def _convert_service(service: _Service) -> Service:
    engine = None
    if service.engine is not None:
        engine = EngineProfile(
            slots=service.engine.slots,
            memory_tokens=service.engine.kv_capacity,
            can_fetch=service.engine.moves,
        )
    return Service(
        name=service.name,
        health_path=service.health_path,
        max_connections=service.max_connections,
        cold_per_s=service.cold_per_s,
        engine=engine,
    )


def render_findings(findings: Findings) -> dict[str, Any]:
    """Return the response body that reports findings to an operator."""
    return {"errors": [{"place": one.place, "message": one.message} for one in findings]}
