"""Reads and validates a settings file; all findings are reported together."""

from collections.abc import Iterator
from dataclasses import fields
from pathlib import Path
from typing import Any

from expression import Result

from chivetrack.components.settings.checks import CHECKS, ValidSections
from chivetrack.components.settings.const import PATTERN_MEANINGS
from chivetrack.components.settings.models import Settings
from chivetrack.helpers.finding import Findings
from chivetrack.helpers.sections.base import Section
from chivetrack.helpers.sections.reader import find_inner_model, parse_sections
from chivetrack.helpers.sections.text import Problem, format_path, read_text

__all__ = ["find_inner_model", "format_path", "load_settings", "parse_settings"]


def load_settings(path: Path) -> Result[Settings, Findings]:
    """Read and validate a settings file; the error holds all findings."""
    return read_text(path).bind(lambda text: parse_settings(text, source=str(path)))


def parse_settings(text: str, *, source: str) -> Result[Settings, Findings]:
    """Validate the text of a settings file; ``source`` names it in the places of findings."""
    return parse_sections(
        text,
        source=source,
        model=Settings,
        check=_check_settings,
        pattern_messages=PATTERN_MEANINGS,
    )


def _check_settings(valid: dict[str, Section]) -> Iterator[Problem]:
    known = {field.name for field in fields(ValidSections)}
    sections_by_name: dict[str, Any] = {
        name: section for name, section in valid.items() if name in known
    }
    sections = ValidSections(**sections_by_name)
    for check in CHECKS.values():
        yield from check(sections)
