"""Operations that change resources."""

from typing import Any

import msgspec
from expression import Error, Ok, Result

from chivetrack.components.resource_api import const
from chivetrack.components.resource_api.checks import check_against_view
from chivetrack.components.resource_api.models import (
    ApiRequest,
    OperationResult,
    Ports,
    Problem,
    Reply,
)
from chivetrack.components.resource_api.operations import operation
from chivetrack.components.resource_api.problems import (
    make_invalid,
    make_problem,
    make_refusal,
    make_write_failure,
)
from chivetrack.components.resource_api.rendering import render_record
from chivetrack.components.resources.validation import (
    Resource,
    encode_spec,
    validate_document,
    validate_labels,
    validate_spec,
)
from chivetrack.components.store.commands import Command, Create, Delete, Patch, Replace, Stamp
from chivetrack.components.store.outcomes import RefusalCode, Refused, Written
from chivetrack.components.store.queries import FindOutcome, GetResource
from chivetrack.components.store.records import Label, Record
from chivetrack.components.store.resource_handlers import merge_record
from chivetrack.helpers.codec import unpack
from chivetrack.helpers.finding import Findings

WRITE_STATUSES = (409, 413, 422, 503, 504)


@operation("create", "POST", has_name=False, statuses=(201, 400, *WRITE_STATUSES))
def create_resource(ports: Ports, request: ApiRequest) -> OperationResult:
    """Create a resource."""
    parsed = _parse_document(ports, request)
    if parsed.is_error():
        return _refuse_unless_resent(ports, request, parsed.error, status=201)
    resource = parsed.ok
    command = Create(
        _make_stamp(request),
        resource.kind,
        resource.metadata.name,
        encode_spec(resource.spec),
        _make_labels(resource.metadata.labels),
        resource.metadata.finalizers,
    )
    return _submit(ports, command, status=201)


@operation("replace", "PUT", has_name=True, statuses=(200, 400, 404, *WRITE_STATUSES))
def replace_resource(ports: Ports, request: ApiRequest) -> OperationResult:
    """Replace the specification and labels of a resource."""
    parsed = _parse_document(ports, request)
    if parsed.is_error():
        return _refuse_unless_resent(ports, request, parsed.error, status=200)
    resource = parsed.ok
    precondition = request.precondition
    if precondition is None:
        precondition = resource.metadata.revision
    command = Replace(
        _make_stamp(request),
        resource.kind,
        resource.metadata.name,
        encode_spec(resource.spec),
        _make_labels(resource.metadata.labels),
        precondition,
    )
    return _submit(ports, command, status=200)


@operation("delete", "DELETE", has_name=True, statuses=(200, 202, 404, *WRITE_STATUSES))
def delete_resource(ports: Ports, request: ApiRequest) -> OperationResult:
    """Delete a resource; answers 202 if finalizers must run first."""
    command = Delete(_make_stamp(request), request.kind.name, request.name, request.precondition)
    return _submit(ports, command, status=200)


@operation("patch", "PATCH", has_name=True, statuses=(200, 400, 404, *WRITE_STATUSES))
def patch_resource(ports: Ports, request: ApiRequest) -> OperationResult:
    """Merge a JSON merge patch into a resource.

    Without a precondition from the caller the patch is attempted again if another write
    was committed in between. Each attempt has its own request id, derived from the
    caller's: a resend repeats the same attempts and finds the recorded outcome.
    """
    decoded = _decode_patch(request)
    if decoded.is_error():
        return Error(decoded.error)
    outcome: OperationResult = Error(
        make_problem("conflict", "too many concurrent writes to this resource", status=409)
    )
    for attempt in range(const.MAX_PATCH_ATTEMPTS):
        outcome = _attempt_patch(ports, request, decoded.ok, attempt)
        if request.precondition is not None or not _is_conflict(outcome):
            return outcome
    return outcome


def _attempt_patch(ports: Ports, request: ApiRequest, patch: Any, attempt: int) -> OperationResult:
    stamp = _make_stamp(request, attempt)
    recorded = _find_recorded_outcome(ports, stamp, status=200)
    if recorded is not None:
        return recorded
    current = ports.read(GetResource(request.kind.name, request.name))
    if current.is_error():
        return Error(Problem(fault=current.error))
    if not current.ok.records:
        message = f"there is no {request.kind.name}/{request.name}"
        return Error(make_problem("not_found", message, status=404))
    record = current.ok.records[0]
    problem = _check_merged(ports, request, record, patch)
    if problem is not None:
        return Error(problem)
    precondition = request.precondition
    if precondition is None:
        precondition = record.revision
    data = msgspec.msgpack.encode(patch)
    command = Patch(stamp, request.kind.name, request.name, data, precondition)
    return _submit(ports, command, status=200)


def _find_recorded_outcome(ports: Ports, stamp: Stamp, *, status: int) -> OperationResult | None:
    """Return the recorded outcome of a request that was executed before, else ``None``."""
    if not stamp.request_id:
        return None
    answer = ports.read(FindOutcome(stamp.request_id, stamp.fingerprint))
    if answer.is_error():
        return Error(Problem(fault=answer.error))
    if not answer.ok.outcome:
        return None
    return _render_outcome(unpack(answer.ok.outcome), status=status)


def _refuse_unless_resent(
    ports: Ports, request: ApiRequest, problem: Problem, *, status: int
) -> OperationResult:
    """Refuse a document, unless this is a resend of one that was accepted.

    The checks against other resources may have passed the first time. Refusing the resend
    would tell the caller that the change was not made.
    """
    recorded = _find_recorded_outcome(ports, _make_stamp(request), status=status)
    return Error(problem) if recorded is None else recorded


def _check_merged(ports: Ports, request: ApiRequest, record: Record, patch: Any) -> Problem | None:
    findings = Findings()
    try:
        spec, labels = merge_record(record, patch)
    except msgspec.MsgspecError as error:
        return make_problem("invalid_patch", str(error), status=422)
    kind = request.kind.name
    model = validate_spec(kind, msgspec.msgpack.decode(spec), findings)
    if model is not None:
        check_against_view(ports.view, kind, request.name, model, findings)
    validate_labels({label.key: label.value for label in labels}, findings)
    return make_invalid(findings) if len(findings) else None


def _decode_patch(request: ApiRequest) -> Result[Any, Problem]:
    """Return the patch in the form that the store uses, with labels beside the spec."""
    data = _decode_json(request)
    if data.is_error():
        return data
    if not isinstance(data.ok, dict):
        return Error(make_problem("invalid_patch", "the patch must be an object", status=422))
    findings = Findings()
    metadata = data.ok.get("metadata", {})
    for place, given, allowed in (
        ("", data.ok, {"kind", "metadata", "spec"}),
        ("metadata.", metadata, {"name", "labels", "revision"}),
    ):
        for key in given if isinstance(given, dict) else ():
            if key not in allowed:
                findings.add(f"{place}{key}", "can't be patched")
    if not isinstance(metadata, dict):
        findings.add("metadata", "must be an object")
    if len(findings):
        return Error(make_invalid(findings))
    parts = {"spec": data.ok.get("spec"), "labels": metadata.get("labels")}
    return Ok({key: value for key, value in parts.items() if value is not None})


def _parse_document(ports: Ports, request: ApiRequest) -> Result[Resource, Problem]:
    data = _decode_json(request)
    if data.is_error():
        return Error(data.error)
    findings = Findings()
    resource = validate_document(data.ok, findings)
    if resource is not None:
        _check_identity(request, resource, findings)
        name = resource.metadata.name
        check_against_view(ports.view, resource.kind, name, resource.spec, findings)
    if resource is None or len(findings):
        return Error(make_invalid(findings))
    return Ok(resource)


def _check_identity(request: ApiRequest, resource: Resource, findings: Findings) -> None:
    if resource.kind != request.kind.name:
        findings.add("kind", f"is {resource.kind!r}, but the path says {request.kind.name!r}")
    if request.name and resource.metadata.name != request.name:
        findings.add("metadata.name", f"differs from {request.name!r} in the path")


def _decode_json(request: ApiRequest) -> Result[Any, Problem]:
    try:
        return Ok(msgspec.json.decode(request.body))
    except msgspec.MsgspecError as error:
        return Error(make_problem("invalid_json", str(error), status=400))


def _submit(ports: Ports, command: Command, *, status: int) -> OperationResult:
    result = ports.submit(command)
    if result.is_error():
        return Error(make_write_failure(result.error))
    return _render_outcome(result.ok, status=status)


def _render_outcome(outcome: Any, *, status: int) -> OperationResult:
    if isinstance(outcome, Refused):
        return Error(make_refusal(outcome))
    assert isinstance(outcome, Written)
    if outcome.record is None:
        metadata = {"name": outcome.name, "revision": outcome.revision}
        body = {"kind": outcome.kind, "metadata": metadata, "deleted": True}
        return Ok(Reply(status=status, body=body))
    if outcome.record.deleting_ms:
        status = 202
    return Ok(Reply(status=status, body=render_record(outcome.kind, outcome.record)))


def _is_conflict(outcome: OperationResult) -> bool:
    return outcome.is_error() and outcome.error.fault.code == RefusalCode.CONFLICT.value


def _make_stamp(request: ApiRequest, attempt: int = 0) -> Stamp:
    request_id = request.request_id
    if request_id and attempt:
        request_id = f"{request_id}/{attempt + 1}"
    return Stamp(0, request_id, request.fingerprint)


def _make_labels(labels: dict[str, str]) -> tuple[Label, ...]:
    return tuple(Label(key, value) for key, value in sorted(labels.items()))
