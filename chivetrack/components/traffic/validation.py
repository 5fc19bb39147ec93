"""Validates a document beyond its types and reports all findings together."""

from collections.abc import Iterable

from chivetrack.components.traffic.models import Document, Route
from chivetrack.helpers.finding import Findings, suggest_name


def check_document(document: Document) -> Findings:
    """Return all findings about a document."""
    findings = Findings()
    services = {service.name for service in document.services}
    for number, route in enumerate(document.routes):
        _check_route(route, f"routes[{number}]", services, findings)
    _check_duplicates(document.routes, findings)
    _check_keys(document, findings)
    return findings


def _check_route(route: Route, place: str, services: set[str], findings: Findings) -> None:
    if route.timeout_s <= 0:
        findings.add(f"{place}.timeout", "must be more than 0")
    if route.max_attempts < 1:
        findings.add(f"{place}.max_attempts", "must be at least 1")
    if not route.host:
        findings.add(f"{place}.host", "must not be empty")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        findings.add(f"{place}.prefix", "must begin and end with a slash")
    weights = [share.weight for share in route.shares]
    if sum(weights) <= 0 or min(weights) < 0:
        findings.add(
            f"{place}.shares", "the weights must not be negative and must add up to more than 0"
        )
    for share in route.shares:
        if share.service not in services:
            hint = suggest_name(share.service, services)
            findings.add(f"{place}.shares", f"no service is named {share.service!r}", hint=hint)


def _check_duplicates(routes: Iterable[Route], findings: Findings) -> None:
    seen: dict[tuple[str, str], int] = {}
    for number, route in enumerate(routes):
        place = (route.host.lower(), route.prefix)
        first = seen.setdefault(place, number)
        if first != number:
            text = f"has the same host and prefix as routes[{first}]"
            findings.add(f"routes[{number}]", text)


def _check_keys(document: Document, findings: Findings) -> None:
    holders: dict[str, str] = {}
    for number, workspace in enumerate(document.workspaces or ()):
        for key in workspace.keys:
            holder = holders.setdefault(key, workspace.name)
            if holder != workspace.name:
                text = f"has a key that {holder!r} also has"
                findings.add(f"workspaces[{number}]", text)
