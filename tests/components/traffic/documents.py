"""Configuration documents for tests."""

from typing import Any

from chivetrack.components.traffic.models import (
    Document,
    EngineProfile,
    Route,
    RouteKind,
    Service,
    Share,
    Workspace,
)


def make_route(name: str = "r", prefix: str = "/a/", **changes: Any) -> Route:
    fields: dict[str, Any] = {
        "name": name,
        "host": "one.example",
        "prefix": prefix,
        "kind": RouteKind.IDEMPOTENT,
        "timeout_s": 1.0,
        "target_s": 0.1,
        "priority": 0,
        "shares": (Share(service="portal", weight=1.0),),
        "max_attempts": 2,
    }
    return Route(**{**fields, **changes})


def make_document(version: int = 1, *routes: Route, **changes: Any) -> Document:
    fields: dict[str, Any] = {
        "version": version,
        "routes": routes or (make_route(),),
        "services": (
            Service(name="portal"),
            Service(name="llm", engine=EngineProfile(slots=64, memory_tokens=500_000)),
        ),
        "workspaces": (Workspace(name="w", keys=("k1", "k2")),),
    }
    return Document(**{**fields, **changes})
