"""Converts resources and problems to JSON documents."""

from typing import Any

import msgspec

from chivetrack.components.resource_api.models import Json, ObservedResource, Problem
from chivetrack.components.store.records import Record
from chivetrack.const import MILLISECONDS_PER_SECOND


def render_record(kind: str, record: Record) -> Json:
    """Return the document of a stored resource."""
    metadata: Json = {
        "name": record.name,
        "revision": record.revision,
        "generation": record.generation,
        "labels": {label.key: label.value for label in record.labels},
        "created": record.created_ms / MILLISECONDS_PER_SECOND,
        "finalizers": list(record.finalizers),
    }
    if record.deleting_ms:
        metadata["deleting"] = record.deleting_ms / MILLISECONDS_PER_SECOND
    return {
        "kind": kind,
        "metadata": metadata,
        "spec": _decode(record.spec),
        "status": _decode(record.status),
    }


def render_observed(kind: str, observed: ObservedResource) -> Json:
    """Return the document of a resource that is not stored."""
    return {
        "kind": kind,
        "metadata": {"name": observed.name},
        "spec": dict(observed.spec),
        "status": dict(observed.status),
    }


def render_problem(problem: Problem) -> Json:
    """Return the body of an error answer."""
    fault = problem.fault
    error: Json = {
        "code": fault.code,
        "message": fault.message,
        "ran": fault.ran.value,
        "retry_after_s": fault.retry_after_s,
        "findings": [
            {"place": finding.place, "message": finding.message, "hint": finding.hint}
            for finding in problem.findings
        ],
    }
    if problem.current is not None:
        error["current"] = problem.current
    return {"error": error}


def _decode(data: bytes) -> Any:
    return msgspec.msgpack.decode(data) if data else {}
