"""Reader for settings texts described by msgspec structs; reports all findings together.

Hundreds of processes read such settings before they serve, and all start again after a loss
of power. Importing pydantic for a few small tables would delay the start of each of them.
"""

import re
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import Annotated, Any, TypeVar, get_args, get_origin

import msgspec
from expression import Error, Ok, Result
from msgspec.structs import FieldInfo, fields

from chivetrack.helpers.finding import Findings
from chivetrack.helpers.sections.line_index import KeyPath
from chivetrack.helpers.sections.text import Problem, Report, read_document
from chivetrack.helpers.sections.values import Address, parse_address

SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)

# Index of the faulty entry at the end of a message of the library: "... - at `$[2]`".
_ENTRY_INDEX_PATTERN = re.compile(r" - at `\$\[(\d+)\]`$")


class StructSection(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of a section; instances are immutable."""


def parse_structs(
    text: str,
    *,
    source: str,
    model: type[SettingsT],
    check: Callable[[Mapping[str, StructSection]], Iterator[Problem]],
) -> Result[SettingsT, Findings]:
    """Validate a text against a struct of sections, then run the checks across sections."""
    return read_document(text, source=source).bind(
        lambda document: _read_sections(document, Report(source=source, text=text), model, check)
    )


def _read_sections(
    document: dict[str, Any],
    report: Report,
    model: type[SettingsT],
    check: Callable[[Mapping[str, StructSection]], Iterator[Problem]],
) -> Result[SettingsT, Findings]:
    sections = {field.name: field.type for field in fields(model)}
    for name in document:
        if name not in sections:
            report.add_unknown((name,), sections)
    read = {
        name: _read_section(name, document.get(name, {}), section, report)
        for name, section in sections.items()
    }
    valid = {name: section for name, section in read.items() if section is not None}
    report.add_problems(check(valid))
    return Error(report.findings) if len(report.findings) else Ok(model(**valid))


def _read_section(
    name: str, content: Any, section: type[StructSection], report: Report
) -> StructSection | None:
    if not isinstance(content, dict):
        report.add((name,), "must be a table")
        return None
    known = {field.name: field for field in fields(section)}
    before = len(report.findings)
    for key in content:
        if key not in known:
            report.add_unknown((name, key), known)
    values = {
        key: _read_value((name, key), content, field, report)
        for key, field in known.items()
        if key in content or field.required
    }
    return section(**values) if len(report.findings) == before else None


def _read_value(path: KeyPath, content: dict[str, Any], field: FieldInfo, report: Report) -> Any:
    if field.name not in content:
        report.add(path, "is missing")
        return None
    try:
        return msgspec.convert(
            _read_addresses(field.type, content[field.name], path),
            type=field.type,
            dec_hook=_decode_path,
            from_attributes=True,
        )
    except _BadEntryError as error:
        report.add(error.path, str(error))
    except msgspec.ValidationError as error:
        entry = _ENTRY_INDEX_PATTERN.search(str(error))
        entry_path = (*path, int(entry[1])) if entry else path
        message = _ENTRY_INDEX_PATTERN.sub("", str(error))
        report.add(entry_path, message[:1].lower() + message[1:])
    return None


class _BadEntryError(ValueError):
    """The address at a key path cannot be parsed."""

    def __init__(self, path: KeyPath, error: ValueError) -> None:
        super().__init__(str(error))
        self.path = path


def _read_addresses(kind: Any, value: Any, path: KeyPath) -> Any:
    """Return a value whose texts are parsed as addresses where its type requires them.

    msgspec would decode the dataclass ``Address`` from a table, but settings write
    addresses as texts.
    """
    if get_origin(kind) is Annotated:
        return _read_addresses(get_args(kind)[0], value, path)
    if get_origin(kind) is tuple and isinstance(value, list):
        entry = get_args(kind)[0]
        return [_read_addresses(entry, one, (*path, n)) for n, one in enumerate(value)]
    if kind is not Address and Address not in get_args(kind):
        return value
    try:
        return parse_address(value)
    except ValueError as error:
        raise _BadEntryError(path, error) from error


def _decode_path(kind: type, value: Any) -> Any:
    if kind is Path and isinstance(value, str):
        return Path(value)
    raise ValueError("must be a path")
