"""Reading of settings files as TOML, and findings that name their lines."""

import re
import tomllib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from chivetrack.helpers.finding import Findings, suggest_name
from chivetrack.helpers.sections.line_index import KeyPath, LineIndex

_SYNTAX_ERROR_PATTERN = re.compile(
    r"^(?P<message>.*) \(at (line (?P<line>\d+), column \d+|end of document)\)$", re.DOTALL
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """A fault that a check found at a key path."""

    path: KeyPath
    message: str
    hint: str | None = None


class Report:
    """Collects the findings of one text, each with its line."""

    def __init__(self, *, source: str, text: str) -> None:
        """Initialize with a text that ``read_document`` accepts; ``source`` is its file name."""
        self.findings = Findings()
        self._source = source
        self._line_index = LineIndex(text=text)

    def add(self, path: KeyPath, message: str, *, hint: str | None = None) -> None:
        """Add a finding for a key path."""
        line = self._line_index.find_line(path)
        place = self._source if line is None else f"{self._source}:{line}"
        self.findings.add(f"{place} {format_path(path)}", message, hint=hint)

    def add_unknown(self, path: KeyPath, names: Iterable[str]) -> None:
        """Add a finding for an unknown key; ``names`` are the valid names there."""
        valid = list(names)
        hint = suggest_name(str(path[-1]), valid)
        self.add(path, "is not a setting", hint=hint or "valid here: " + ", ".join(valid))

    def add_problems(self, problems: Iterable[Problem]) -> None:
        """Add the faults that checks have found."""
        for problem in problems:
            self.add(problem.path, problem.message, hint=problem.hint)


def read_text(path: Path) -> Result[str, Findings]:
    """Read a settings file as text."""
    try:
        return Ok(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        findings = Findings()
        reason = error.strerror if isinstance(error, OSError) else "is not UTF-8 text"
        findings.add(str(path), f"cannot be read: {reason}")
        return Error(findings)


def read_document(text: str, *, source: str) -> Result[dict[str, Any], Findings]:
    """Parse a text as TOML; ``source`` names the text in findings."""
    try:
        return Ok(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        return Error(_report_syntax(str(error), text, source))


def _report_syntax(message: str, text: str, source: str) -> Findings:
    findings = Findings()
    match = _SYNTAX_ERROR_PATTERN.match(message)
    if match is None:
        findings.add(source, f"is not TOML: {message}")
        return findings
    line = match["line"] or len(text.splitlines())
    findings.add(f"{source}:{line}", f"is not TOML: {match['message']}")
    return findings


def format_path(path: KeyPath) -> str:
    """Format a key path as in TOML, with list entries counted from 1."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part + 1}]"
        else:
            text += f".{part}" if text else part
    return text
