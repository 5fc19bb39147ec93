"""Reading and checking a settings file; all findings are reported together."""

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
    """Read a settings file; the error side holds everything that is wrong with it."""
    return read_text(path).bind(lambda text: parse_settings(text, source=str(path)))


def parse_settings(text: str, *, source: str) -> Result[Settings, Findings]:
    """Check a settings text; ``source`` names it in the findings' places."""
    return parse_sections(
        text,
        source=source,
        model=Settings,
        check=_check_settings,
        pattern_messages=PATTERN_MEANINGS,
    )


def _check_settings(valid: dict[str, Section]) -> Iterator[Problem]:
    known = {field.name for field in fields(ValidSections)}
    picked: dict[str, Any] = {n: section for n, section in valid.items() if n in known}
    sections = ValidSections(**picked)
    for check in CHECKS.values():
        yield from check(sections)
