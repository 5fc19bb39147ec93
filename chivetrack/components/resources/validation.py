"""Validates documents; all faults of a document are reported together."""

import types
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Annotated, Any, TypeVar, Union, get_args, get_origin

import msgspec
from pydantic import BaseModel, ConfigDict, Field, StringConstraints, ValidationError

from chivetrack.components.resources import const, specs
from chivetrack.components.resources.kinds import KINDS, Spec
from chivetrack.helpers.finding import Findings, suggest_name

LabelKey = Annotated[str, StringConstraints(pattern=const.LABEL_PATTERN)]
ModelT = TypeVar("ModelT", bound=BaseModel)
LabelValue = Annotated[str, StringConstraints(max_length=63)]


class Labels(BaseModel):
    """Labels of a resource."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    labels: Annotated[dict[LabelKey, LabelValue], Field(max_length=const.MAX_LABELS)] = Field(
        default_factory=dict
    )


class Metadata(Labels):
    """The metadata of a resource.

    ``revision`` is the precondition of a write. Fields that only the server sets are
    accepted and ignored, because operators send back the documents that they read.
    """

    name: specs.Name
    revision: Annotated[int, Field(ge=0)] | None = None
    generation: int | None = None
    created: float | None = None
    deleting: float | None = None
    finalizers: tuple[str, ...] = ()


class Document(BaseModel):
    """A resource as an operator writes it, before its kind and specification are checked."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    kind: str
    metadata: Metadata
    spec: dict[str, Any] = Field(default_factory=dict)
    status: dict[str, Any] | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Resource:
    """A validated document; ``place`` is its position in the source file."""

    kind: str
    metadata: Metadata
    spec: Spec
    place: str = ""


def validate_document(data: Any, findings: Findings, *, place: str = "") -> Resource | None:
    """Validate one document; record all faults and return ``None`` if there are any."""
    before = len(findings)
    document = _validate_model(Document, data, findings, place)
    raw = data if isinstance(data, Mapping) else {}
    kind = raw.get("kind")
    spec = None
    if isinstance(kind, str):
        spec = validate_spec(kind, raw.get("spec", {}), findings, place=place)
    if document is None or spec is None or len(findings) > before:
        return None
    return Resource(kind=document.kind, metadata=document.metadata, spec=spec, place=place)


def validate_spec(kind: str, data: Any, findings: Findings, *, place: str = "") -> Spec | None:
    """Validate the specification of a kind; places of findings begin with ``spec``."""
    entry = KINDS.get(kind)
    if entry is None:
        hint = suggest_name(kind, KINDS)
        findings.add(_join_place(place, "kind"), f"there is no kind {kind!r}", hint=hint)
        return None
    return _validate_model(entry.spec, data, findings, _join_place(place, "spec"))


def validate_labels(labels: dict[str, str], findings: Findings) -> None:
    """Validate only labels; places of findings begin with ``metadata.labels``."""
    _validate_model(Labels, {"labels": labels}, findings, "metadata")


def encode_spec(spec: Spec) -> bytes:
    """Encode a specification as stored: only the keys that the operator set, as msgpack."""
    return msgspec.msgpack.encode(spec.model_dump(mode="json", exclude_unset=True))


def _validate_model(
    model: type[ModelT], data: Any, findings: Findings, place: str
) -> ModelT | None:
    # Strict validation from JSON rejects "5" for 5 but accepts lists for tuples.
    try:
        return model.model_validate_json(msgspec.json.encode(data), strict=True)
    except ValidationError as error:
        for fault in error.errors(include_url=False, include_context=False):
            path = fault["loc"]
            hint = _suggest_key(model, path) if fault["type"] == "extra_forbidden" else None
            findings.add(_join_place(place, _format_path(path)), fault["msg"], hint=hint)
    return None


def _suggest_key(model: type[BaseModel], path: Sequence[int | str]) -> str | None:
    owner: type[BaseModel] | None = model
    for step in path[:-1]:
        if owner is None:
            return None
        if isinstance(step, str) and step in owner.model_fields:
            owner = _find_model(owner.model_fields[step].annotation)
    return None if owner is None else suggest_name(str(path[-1]), owner.model_fields)


def _find_model(annotation: Any) -> type[BaseModel] | None:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    if get_origin(annotation) in (Union, types.UnionType, tuple):
        found = (_find_model(argument) for argument in get_args(annotation))
        return next((model for model in found if model is not None), None)
    return None


def _format_path(path: Sequence[int | str]) -> str:
    text = ""
    for step in path:
        text = f"{text}[{step}]" if isinstance(step, int) else _join_place(text, step)
    return text


def _join_place(place: str, path: str) -> str:
    if not place or not path:
        return place or path
    return f"{place} {path}" if place.endswith(":") else f"{place}.{path}"
