"""Generates the OpenAPI document from the registries of kinds and operations."""

from typing import Final

from chivetrack.components.resource_api import const, reads, writes
from chivetrack.components.resource_api.models import Json
from chivetrack.components.resource_api.operations import OPERATIONS, Operation
from chivetrack.components.resources.kinds import KINDS, Kind
from chivetrack.components.resources.validation import Metadata
from chivetrack.const import VERSION
from chivetrack.exceptions import Ran

__all__ = ["list_operations", "make_openapi", "make_path", "reads", "writes"]

COMMON_STATUSES: Final = (401,)
STATUS_TEXTS: Final = {
    200: "done",
    201: "created",
    202: "accepted; finalizers must run first",
    400: "the request is malformed",
    401: "no valid operator key",
    404: "no such resource",
    409: "refused; the error holds the current resource",
    410: "the changes are no longer kept",
    411: "the length of the body is missing",
    413: "too large",
    422: "the document has faults, or the request id was used for another request",
    503: "did not happen; try again later",
    504: "may have happened; send again with the same request id",
}

_NAME_PARAMETER: Final = {
    "name": "name",
    "in": "path",
    "required": True,
    "schema": {"type": "string"},
}
_WRITE_HEADERS: Final = (
    (const.REQUEST_ID_HEADER, "Makes a resend return the outcome of the first request."),
    ("If-Match", "The revision that was read; refused if the resource has changed since."),
)


def list_operations(kind: Kind) -> list[Operation]:
    """Return the operations that a kind supports."""
    return [entry for entry in OPERATIONS.values() if kind.stored or not entry.is_write]


def list_statuses(entry: Operation) -> list[int]:
    """Return all HTTP statuses that an operation may answer with."""
    statuses = {*entry.statuses, *COMMON_STATUSES}
    if entry.is_write:
        statuses.add(400)
    if entry.takes_body:
        statuses.add(411)
    return sorted(statuses)


def make_path(kind: Kind, entry: Operation) -> str:
    """Return the path of an operation in OpenAPI notation."""
    path = f"{const.PREFIX}/{kind.name}"
    return f"{path}/{{name}}" if entry.has_name else path


def make_openapi() -> Json:
    """Return the OpenAPI document."""
    paths: dict[str, Json] = {}
    schemas: Json = {"Error": _make_error_schema(), "Metadata": _make_schema(Metadata)}
    for kind in KINDS.values():
        schemas[kind.name] = _make_resource_schema(kind)
        for entry in list_operations(kind):
            path = paths.setdefault(make_path(kind, entry), {})
            path[entry.method.lower()] = _make_operation(kind, entry)
    return {
        "openapi": "3.1.0",
        "info": {"title": "chivetrack resources", "version": VERSION},
        "paths": paths,
        "components": {
            "schemas": schemas,
            "securitySchemes": {"operator": {"type": "http", "scheme": "bearer"}},
        },
        "security": [{"operator": []}],
    }


def _make_operation(kind: Kind, entry: Operation) -> Json:
    parameters: list[Json] = [dict(_NAME_PARAMETER)] if entry.has_name else []
    for parameter in entry.parameters:
        rendered = _make_parameter(parameter.name, "query", parameter.summary, parameter.type)
        parameters.append(rendered)
    if entry.is_write:
        for name, summary in _WRITE_HEADERS:
            parameters.append(_make_parameter(name, "header", summary, "string"))
    document: Json = {
        "operationId": f"{entry.name}_{kind.name}",
        "summary": entry.summary,
        "parameters": parameters,
        "responses": {
            str(status): _make_response(kind, entry, status) for status in list_statuses(entry)
        },
    }
    if entry.takes_body:
        is_patch = entry.method == "PATCH"
        schema = {"type": "object"} if is_patch else _make_reference(kind.name)
        content = {"application/json": {"schema": schema}}
        document["requestBody"] = {"required": True, "content": content}
    return document


def _make_response(kind: Kind, entry: Operation, status: int) -> Json:
    is_error = status >= 400
    schema = _make_reference("Error" if is_error else kind.name)
    if entry.name == "list" and not is_error:
        items = {"type": "array", "items": schema}
        schema = {
            "type": "object",
            "required": ["kind", "revision", "items", "continue"],
            "properties": {
                "kind": {"type": "string"},
                "revision": {"type": "integer"},
                "items": items,
                "continue": {"type": ["string", "null"]},
            },
        }
    content = {"application/json": {"schema": schema}}
    return {"description": STATUS_TEXTS[status], "content": content}


def _make_parameter(name: str, place: str, summary: str, kind: str) -> Json:
    schema = {"type": kind}
    return {"name": name, "in": place, "description": summary, "schema": schema}


def _make_resource_schema(kind: Kind) -> Json:
    return {
        "type": "object",
        "description": kind.summary,
        "required": ["kind", "metadata"],
        "properties": {
            "kind": {"const": kind.name},
            "metadata": _make_reference("Metadata"),
            "spec": _make_schema(kind.spec),
            "status": {"type": "object"},
        },
    }


def _make_schema(model: type) -> Json:
    schema: Json = model.model_json_schema()  # type: ignore[attr-defined]
    definitions = schema.pop("$defs", {})
    return _inline(schema, definitions)


def _inline(value: Json, definitions: Json) -> Json:
    """Inline definitions: references to ``$defs`` inside a component would not resolve."""
    if "$ref" in value:
        name = value["$ref"].rsplit("/", 1)[-1]
        rest = {key: entry for key, entry in value.items() if key != "$ref"}
        return {**_inline(definitions[name], definitions), **rest}
    return {key: _inline_entry(entry, definitions) for key, entry in value.items()}


def _inline_entry(entry: object, definitions: Json) -> object:
    if isinstance(entry, dict):
        return _inline(entry, definitions)
    if isinstance(entry, list):
        return [_inline_entry(item, definitions) for item in entry]
    return entry


def _make_error_schema() -> Json:
    finding = {
        "type": "object",
        "required": ["place", "message", "hint"],
        "properties": {
            "place": {"type": "string"},
            "message": {"type": "string"},
            "hint": {"type": ["string", "null"]},
        },
    }
    error = {
        "type": "object",
        "required": ["code", "message", "ran", "retry_after_s", "findings"],
        "properties": {
            "code": {"type": "string"},
            "message": {"type": "string"},
            "ran": {"enum": [ran.value for ran in Ran]},
            "retry_after_s": {"type": ["number", "null"]},
            "findings": {"type": "array", "items": finding},
            "current": {"type": "object"},
        },
    }
    return {"type": "object", "required": ["error"], "properties": {"error": error}}


def _make_reference(name: str) -> Json:
    return {"$ref": f"#/components/schemas/{name}"}
