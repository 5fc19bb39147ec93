"""Generates the reference pages of the settings from their models."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any, get_args

import msgspec

from chivetrack.components.deployment.settings import DeploymentSettings
from chivetrack.components.settings.config import find_inner_model
from chivetrack.components.settings.models import Settings
from chivetrack.helpers.sections.values import Address

FOLDER = Path(__file__).resolve().parent.parent / "docs" / "operators"
TARGET = FOLDER / "settings.md"

INTRODUCTION = """\
# Settings of chivetrackd

Written by `script/settings_reference` from the models; change the descriptions there.
A commented file to start from: [chivetrackd.toml](../samples/chivetrackd.toml).
`chivetrack config check FILE` reports everything that is wrong with a file, with the
line of each fault; the daemon runs the same checks before it starts.
"""

DEPLOYMENT_INTRODUCTION = """\
# Settings of a router or replica process

Written by `script/settings_reference` from the models; change the descriptions there.
`chivetrack config check --deployment FILE` reports everything that is wrong with a file, with
the line of each fault; the process runs the same checks before it starts.
"""

PAGES: dict[str, tuple[type[Any], str]] = {
    "settings.md": (Settings, INTRODUCTION),
    "deployment-settings.md": (DeploymentSettings, DEPLOYMENT_INTRODUCTION),
}

BOUNDS = {"gt": "more than", "ge": "at least", "lt": "less than", "le": "at most"}


@dataclass(frozen=True, slots=True, kw_only=True)
class _Field:
    """One setting, from a field of a pydantic model or a msgspec struct."""

    name: str
    annotation: Any
    metadata: tuple[Any, ...]
    is_required: bool
    default: Any
    description: str


def _iterate_fields(model: type[Any]) -> Iterator[_Field]:
    if issubclass(model, msgspec.Struct):
        for field in msgspec.structs.fields(model):
            kind, *metadata = [field.type]
            if hasattr(field.type, "__metadata__"):
                kind, *metadata = get_args(field.type)
            yield _Field(
                name=field.name,
                annotation=kind,
                metadata=tuple(metadata),
                is_required=field.required,
                default=field.default,
                description=getattr(metadata[0], "description", "") if metadata else "",
            )
        return
    for name, info in model.model_fields.items():
        yield _Field(
            name=name,
            annotation=info.annotation,
            metadata=tuple(info.metadata),
            is_required=info.is_required(),
            default=info.default,
            description=info.description or "",
        )


def _find_section(annotation: Any) -> type[Any] | None:
    if isinstance(annotation, type) and issubclass(annotation, msgspec.Struct):
        return annotation
    return find_inner_model(annotation)


def render_reference(settings: type[Any] = Settings, introduction: str = INTRODUCTION) -> str:
    """Return the Markdown page of a settings model."""
    lines = [introduction]
    for section in _iterate_fields(settings):
        model = _find_section(section.annotation)
        assert model is not None
        lines += [f"## `[{section.name}]`", "", model.__doc__ or "", ""]
        lines += ["| key | form | default | meaning |", "| --- | --- | --- | --- |"]
        lines += [f"| {' | '.join(row)} |" for row in _iterate_rows(model, prefix="")]
        lines.append("")
    return "\n".join(lines).rstrip() + "\n"


def _iterate_rows(model: type[Any], *, prefix: str) -> Iterator[tuple[str, ...]]:
    for field in _iterate_fields(model):
        key = f"{prefix}{field.name}"
        form = _describe_form(field)
        yield (f"`{key}`", form, _format_default(field), field.description)
        inner = _find_section(field.annotation)
        if inner is not None:
            separator = "[]." if form.startswith("list") else "."
            yield from _iterate_rows(inner, prefix=f"{key}{separator}")


def _describe_form(field: _Field) -> str:
    description = _describe_type(field.annotation)
    for entry in field.metadata:
        for bound, text in BOUNDS.items():
            value = getattr(entry, bound, None)
            if value is not None:
                description += f", {text} {value}"
    return description


def _describe_type(annotation: Any) -> str:
    arguments = [a for a in get_args(annotation) if a not in (type(None), Ellipsis)]
    if getattr(annotation, "__origin__", None) is tuple:
        return f"list of {_describe_type(arguments[0])}"
    if arguments and not isinstance(annotation, type):
        return _describe_type(arguments[0])
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return " or ".join(f"`{member.value}`" for member in annotation)
    if find_inner_model(annotation) is not None:
        return "table"
    names = {int: "integer", float: "number", bool: "`true` or `false`", str: "text"}
    names |= {Path: "path", Address: "`IP:port`"}
    return names[annotation]


def _format_default(field: _Field) -> str:
    if field.is_required:
        return "required"
    value = field.default
    if value is None or value == ():
        return "none"
    if isinstance(value, tuple):
        return "`[" + ", ".join(f'"{entry}"' for entry in value) + "]`"
    if isinstance(value, bool):
        return f"`{str(value).lower()}`"
    if isinstance(value, str):
        return f'`"{value}"`'
    return f"`{value}`"


def main() -> None:
    """Write the reference pages to the folder of the operators' pages."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    for name, (settings, introduction) in PAGES.items():
        (FOLDER / name).write_text(render_reference(settings, introduction), encoding="utf-8")


if __name__ == "__main__":
    main()
