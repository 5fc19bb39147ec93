"""Output of the commands: tables for people, JSON for programs."""

import os
import sys
from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import Any

import msgspec
import typer

from chivetrack.helpers.finding import Finding

INDENT = "  "


class Output(StrEnum):
    """The form in which results are printed."""

    TABLE = "table"
    JSON = "json"


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    _write(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_line(text: str) -> None:
    """Print a line of text."""
    _write(replace_control_characters(text))


def print_error(text: str) -> None:
    """Print a line to stderr."""
    _write(replace_control_characters(text), to_stderr=True)


def _write(text: str, *, to_stderr: bool = False) -> None:
    """Write a line; a closed pipe (as with ``| head``) does not end the command.

    Otherwise the command could end between two changes, with an exit code that means
    "refused".
    """
    try:
        typer.echo(text, err=to_stderr)
    except BrokenPipeError:
        null_device = open(os.devnull, "w")  # noqa: SIM115
        if to_stderr:
            sys.stderr = null_device
        else:
            sys.stdout = null_device


def print_findings(findings: Iterable[Finding]) -> None:
    """Print findings to stderr, one on each line."""
    for finding in findings:
        print_error(str(finding))


def format_table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a table whose columns are separated by two spaces."""
    cells = [list(headers), *([format_value(value) for value in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    lines = []
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        lines.append("  ".join(padded).rstrip())
    return "\n".join(lines)


def format_document(value: dict[str, Any], *, depth: int = 0) -> str:
    """Return the values as indented ``name: value`` lines, with lists of objects as tables."""
    lines = []
    margin = INDENT * depth
    for name, inner in value.items():
        if isinstance(inner, dict) and inner:
            lines += [f"{margin}{name}:", format_document(inner, depth=depth + 1)]
        elif _is_table(inner):
            table = _format_entries(inner)
            lines += [f"{margin}{name}:", *(f"{margin}{INDENT}{row}" for row in table.split("\n"))]
        else:
            lines.append(f"{margin}{name}: {format_value(inner)}")
    return "\n".join(lines)


def format_value(value: object) -> str:
    """Return a value formatted on one line."""
    if value is None or value in ({}, [], ()):
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, dict):
        return ",".join(f"{name}={format_value(inner)}" for name, inner in value.items())
    if isinstance(value, list | tuple):
        return ",".join(format_value(inner) for inner in value)
    return replace_control_characters(str(value))


def replace_control_characters(text: str) -> str:
    """Replace control characters: names set by others could contain terminal commands."""
    return "".join(char if char.isprintable() or char == "\n" else "?" for char in text)


def _is_table(value: object) -> bool:
    return bool(value) and isinstance(value, list) and all(isinstance(row, dict) for row in value)


def _format_entries(entries: list[dict[str, Any]]) -> str:
    names = list(dict.fromkeys(name for entry in entries for name in entry))
    return format_table(
        [name.upper() for name in names], [[entry.get(n) for n in names] for entry in entries]
    )
