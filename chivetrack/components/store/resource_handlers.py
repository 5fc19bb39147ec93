"""Handlers of the commands on resources."""

from collections.abc import Callable
from functools import wraps
from typing import Any, TypeVar

import msgspec

from chivetrack.components.store import const
from chivetrack.components.store.commands import (
    AddFinalizer,
    Create,
    Delete,
    Patch,
    RemoveFinalizer,
    Replace,
    UpdateStatus,
)
from chivetrack.components.store.merge_patch import merge_patch
from chivetrack.components.store.outcomes import Outcome, RefusalCode, Refused, Written
from chivetrack.components.store.records import Change, Label, Record
from chivetrack.components.store.state import State, handles

ChangeT = TypeVar(
    "ChangeT", bound=Replace | Patch | UpdateStatus | Delete | AddFinalizer | RemoveFinalizer
)


def _with_current_record(
    handler: Callable[[State, ChangeT, Record], Outcome],
) -> Callable[[State, ChangeT], Outcome]:
    """Pass the existing record to the handler; refuse the command if there is none."""

    @wraps(handler)
    def handle(state: State, command: ChangeT) -> Outcome:
        current = state.table.get(command.kind, command.name)
        if current is None:
            return _refuse_missing(command.kind, command.name)
        return handler(state, command, current)

    return handle


@handles(Create)
def create(state: State, command: Create) -> Outcome:
    """Create a resource."""
    current = state.table.get(command.kind, command.name)
    if current is not None:
        message = f"{command.kind}/{command.name} exists already"
        return Refused(RefusalCode.ALREADY_EXISTS, message, command.kind, current)
    if len(command.spec) > const.MAX_SPEC_BYTES:
        return _refuse_size(command.kind, "specification", const.MAX_SPEC_BYTES)
    revision = state.table.revision + 1
    record = Record(
        name=command.name,
        revision=revision,
        spec=command.spec,
        spec_revision=revision,
        created_ms=state.time_ms,
        labels=tuple(sorted(command.labels)),
        finalizers=command.finalizers,
    )
    return _write(state, command.kind, record)


@handles(Replace)
@_with_current_record
def replace(state: State, command: Replace, current: Record) -> Outcome:
    """Replace specification and labels."""
    refused = _check_precondition(state, command.kind, current, command.precondition)
    if refused is not None:
        return refused
    return _set_spec(state, command.kind, current, command.spec, command.labels)


@handles(Patch)
@_with_current_record
def patch(state: State, command: Patch, current: Record) -> Outcome:
    """Merge a patch into specification and labels."""
    refused = _check_precondition(state, command.kind, current, command.precondition)
    if refused is not None:
        return refused
    try:
        spec, labels = merge_record(current, msgspec.msgpack.decode(command.patch))
    except msgspec.MsgspecError as error:
        return Refused(RefusalCode.INVALID_PATCH, str(error), command.kind, current)
    return _set_spec(state, command.kind, current, spec, labels)


@handles(UpdateStatus)
@_with_current_record
def update_status(state: State, command: UpdateStatus, current: Record) -> Outcome:
    """Replace the status."""
    since = command.precondition
    if since is not None and not current.status_revision <= since <= state.table.revision:
        return _refuse_conflict(command.kind, current, "status")
    if len(command.status) > const.MAX_STATUS_BYTES:
        return _refuse_size(command.kind, "status", const.MAX_STATUS_BYTES)
    if command.status == current.status:
        return _make_unchanged(command.kind, current)
    revision = state.table.revision + 1
    record = msgspec.structs.replace(
        current, revision=revision, status=command.status, status_revision=revision
    )
    return _write(state, command.kind, record)


@handles(Delete)
@_with_current_record
def delete(state: State, command: Delete, current: Record) -> Outcome:
    """Delete a resource, or mark it as being deleted if it has finalizers."""
    refused = _check_precondition(state, command.kind, current, command.precondition)
    if refused is not None:
        return refused
    if not current.finalizers:
        return _remove(state, command.kind, command.name)
    if current.deleting_ms:
        return _make_unchanged(command.kind, current)
    revision = state.table.revision + 1
    record = msgspec.structs.replace(
        current,
        revision=revision,
        spec_revision=revision,
        generation=current.generation + 1,
        deleting_ms=max(state.time_ms, 1),
    )
    return _write(state, command.kind, record)


@handles(AddFinalizer)
@_with_current_record
def add_finalizer(state: State, command: AddFinalizer, current: Record) -> Outcome:
    """Add a finalizer."""
    if command.finalizer in current.finalizers:
        return _make_unchanged(command.kind, current)
    if current.deleting_ms:
        return _refuse_deleting(command.kind, current)
    return _set_finalizers(state, command.kind, current, (*current.finalizers, command.finalizer))


@handles(RemoveFinalizer)
@_with_current_record
def remove_finalizer(state: State, command: RemoveFinalizer, current: Record) -> Outcome:
    """Remove a finalizer; also remove a resource being deleted after its last finalizer."""
    if command.finalizer not in current.finalizers:
        return _make_unchanged(command.kind, current)
    rest = tuple(name for name in current.finalizers if name != command.finalizer)
    if current.deleting_ms and not rest:
        return _remove(state, command.kind, command.name)
    return _set_finalizers(state, command.kind, current, rest)


def merge_record(record: Record, patch: Any) -> tuple[bytes, tuple[Label, ...]]:
    """Merge a patch into a record; return the encoded specification and the labels.

    Raises ``msgspec.MsgspecError`` if the patch or its result has the wrong type.
    """
    target = {
        "spec": msgspec.msgpack.decode(record.spec),
        "labels": {label.key: label.value for label in record.labels},
    }
    merged = merge_patch(target, patch)
    if not isinstance(merged, dict):
        raise msgspec.ValidationError("the patch is not an object")
    spec = msgspec.convert(merged.get("spec", {}), dict[str, Any])
    labels = msgspec.convert(merged.get("labels", {}), dict[str, str])
    pairs = tuple(Label(key, value) for key, value in sorted(labels.items()))
    return msgspec.msgpack.encode(spec), pairs


def _set_spec(
    state: State, kind: str, current: Record, spec: bytes, labels: tuple[Label, ...]
) -> Outcome:
    labels = tuple(sorted(labels))
    if current.deleting_ms:
        return _refuse_deleting(kind, current)
    if len(spec) > const.MAX_SPEC_BYTES:
        return _refuse_size(kind, "specification", const.MAX_SPEC_BYTES)
    if spec == current.spec and labels == current.labels:
        return _make_unchanged(kind, current)
    revision = state.table.revision + 1
    record = msgspec.structs.replace(
        current,
        revision=revision,
        spec=spec,
        spec_revision=revision,
        generation=current.generation + (spec != current.spec),
        labels=labels,
    )
    return _write(state, kind, record)


def _set_finalizers(
    state: State, kind: str, current: Record, finalizers: tuple[str, ...]
) -> Outcome:
    revision = state.table.revision + 1
    record = msgspec.structs.replace(current, revision=revision, finalizers=finalizers)
    return _write(state, kind, record)


def _check_precondition(
    state: State, kind: str, current: Record, precondition: int | None
) -> Refused | None:
    """Refuse a write whose sender has not read the latest specification.

    If two operators read the same revision, the first write raises ``spec_revision`` above
    it. The second write is then refused, and its answer holds the record of the first.
    """
    if precondition is None:
        return None
    if current.spec_revision <= precondition <= state.table.revision:
        return None
    return _refuse_conflict(kind, current, "specification")


def _write(state: State, kind: str, record: Record) -> Written:
    state.table.apply([Change(record.revision, kind, record.name, record)])
    return Written(kind, record.name, record.revision, record)


def _remove(state: State, kind: str, name: str) -> Written:
    revision = state.table.revision + 1
    state.table.apply([Change(revision, kind, name)])
    return Written(kind, name, revision)


def _make_unchanged(kind: str, current: Record) -> Written:
    return Written(kind, current.name, current.revision, current)


def _refuse_missing(kind: str, name: str) -> Refused:
    return Refused(RefusalCode.NOT_FOUND, f"there is no {kind}/{name}", kind)


def _refuse_conflict(kind: str, current: Record, part: str) -> Refused:
    message = f"the {part} of {kind}/{current.name} has changed since that revision"
    return Refused(RefusalCode.CONFLICT, message, kind, current)


def _refuse_deleting(kind: str, current: Record) -> Refused:
    message = f"{kind}/{current.name} is being deleted"
    return Refused(RefusalCode.DELETING, message, kind, current)


def _refuse_size(kind: str, part: str, limit: int) -> Refused:
    return Refused(RefusalCode.TOO_LARGE, f"the {part} has more than {limit} bytes", kind)
