"""Reads the desired models and adapters from the resource table."""

from collections.abc import Iterator

import msgspec

from chivetrack.components.model_placement.const import ADAPTER_KIND, MODEL_KIND
from chivetrack.components.model_placement.models import DesiredItem, PlacementReport
from chivetrack.components.orders.models import Artifact, ArtifactKind
from chivetrack.components.resources.kinds import KINDS
from chivetrack.components.resources.models import Adapter, Model
from chivetrack.components.store.records import Record
from chivetrack.components.store.table import ResourceTable

_REPORTS = msgspec.msgpack.Decoder(PlacementReport, strict=False)


def read_desired_items(table: ResourceTable) -> tuple[DesiredItem, ...]:
    """Return all models, then all adapters, by name; including those that are being deleted."""
    models = {name: (record, spec) for name, record, spec in _read_specs(table, MODEL_KIND)}
    items = [_make_model(record, spec) for record, spec in models.values()]
    for _, record, spec in _read_specs(table, ADAPTER_KIND):
        assert isinstance(spec, Adapter)
        model = models.get(spec.model)
        if model is not None or record.finalizers:
            items.append(_make_adapter(record, spec, None if model is None else model[1]))
    return tuple(items)


def _read_specs(table: ResourceTable, kind: str) -> Iterator[tuple[str, Record, Model | Adapter]]:
    for record in sorted(table.iterate(kind), key=lambda record: record.name):
        spec = KINDS[kind].compact.decode(record.spec)
        if spec is not None:
            yield record.name, record, spec


def _make_model(record: Record, spec: Model | Adapter) -> DesiredItem:
    assert isinstance(spec, Model)
    artifact = Artifact(
        kind=ArtifactKind.MODEL, name=record.name, version=spec.version, weights=spec.weights
    )
    report = _read_report(record)
    return DesiredItem(
        record=record,
        kind=MODEL_KIND,
        artifact=artifact,
        last_good=_make_last_good(artifact, report),
        copies=spec.copies,
        floor=spec.floor,
        service=spec.service,
        memory_bytes=spec.memory_bytes,
        role=spec.role,
        report=report,
    )


def _make_adapter(record: Record, spec: Adapter, model: Model | Adapter | None) -> DesiredItem:
    artifact = Artifact(
        kind=ArtifactKind.ADAPTER,
        name=record.name,
        version=spec.version,
        model=spec.model,
        weights=spec.weights,
    )
    report = _read_report(record)
    return DesiredItem(
        record=record,
        kind=ADAPTER_KIND,
        artifact=artifact,
        last_good=_make_last_good(artifact, report),
        copies=spec.copies,
        floor=model.floor if isinstance(model, Model) else 0.0,
        service=model.service if isinstance(model, Model) else "",
        report=report,
    )


def _make_last_good(artifact: Artifact, report: PlacementReport | None) -> Artifact | None:
    if report is None or not report.good_version:
        return None
    return Artifact(
        kind=artifact.kind,
        name=artifact.name,
        version=report.good_version,
        model=artifact.model,
        weights=report.good_weights,
    )


def _read_report(record: Record) -> PlacementReport | None:
    if not record.status:
        return None
    try:
        return _REPORTS.decode(record.status)
    except msgspec.MsgspecError:
        return None
