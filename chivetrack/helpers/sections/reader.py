"""Reading and checking a settings file; all findings are reported together."""

import re
import tomllib
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Generic, TypeVar, get_args

from expression import Error, Ok, Result
from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from chivetrack.helpers.finding import Findings, suggest_name
from chivetrack.helpers.sections.base import Section
from chivetrack.helpers.sections.places import KeyPath, Places

SettingsT = TypeVar("SettingsT", bound=BaseModel)
_NO_MEANINGS: Mapping[str, str] = {}

_SYNTAX_PLACE = re.compile(
    r"^(?P<message>.*) \(at (line (?P<line>\d+), column \d+|end of document)\)$", re.DOTALL
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """What a check found, at a key path."""

    path: KeyPath
    message: str
    hint: str | None = None


def read_text(path: Path) -> Result[str, Findings]:
    """Read a settings file as text."""
    try:
        return Ok(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        findings = Findings()
        reason = error.strerror if isinstance(error, OSError) else "is not UTF-8 text"
        findings.add(str(path), f"cannot be read: {reason}")
        return Error(findings)


def parse_sections(
    text: str,
    *,
    source: str,
    model: type[SettingsT],
    check: Callable[[dict[str, Section]], Iterator[Problem]],
    meanings: Mapping[str, str] = _NO_MEANINGS,
) -> Result[SettingsT, Findings]:
    """Check a text against a model of sections, and then what reads more than one of them.

    ``meanings`` says in words what the patterns of the model ask for.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Error(_report_syntax(str(error), text, source))
    reader = _Reader(source=source, places=Places(text=text), model=model, meanings=meanings)
    settings = reader.read(document, check)
    return Error(reader.findings) if settings is None else Ok(settings)


def _report_syntax(message: str, text: str, source: str) -> Findings:
    findings = Findings()
    match = _SYNTAX_PLACE.match(message)
    if match is None:
        findings.add(source, f"is not TOML: {message}")
        return findings
    line = match["line"] or len(text.splitlines())
    findings.add(f"{source}:{line}", f"is not TOML: {match['message']}")
    return findings


class _Reader(Generic[SettingsT]):
    """Checks one document section by section, so that one fault hides no other."""

    def __init__(
        self, *, source: str, places: Places, model: type[SettingsT], meanings: Mapping[str, str]
    ) -> None:
        self.findings = Findings()
        self._source = source
        self._places = places
        self._model = model
        self._meanings = meanings

    def read(
        self,
        document: dict[str, Any],
        check: Callable[[dict[str, Section]], Iterator[Problem]],
    ) -> SettingsT | None:
        """Return the settings, or ``None`` after recording what is wrong."""
        for name in document:
            if name not in self._model.model_fields:
                self._add_unknown((name,), self._model)
        valid = {}
        for name in self._model.model_fields:
            section = self._read_section(name, document.get(name, {}))
            if section is not None:
                valid[name] = section
        for problem in check(valid):
            self._add(problem.path, problem.message, hint=problem.hint)
        return None if len(self.findings) else self._model.model_validate(valid)

    def _read_section(self, name: str, content: Any) -> Section | None:
        model = self._model.model_fields[name].annotation
        assert isinstance(model, type) and issubclass(model, Section)
        try:
            return model.model_validate(content)
        except ValidationError as error:
            for detail in error.errors(include_input=False, include_url=False):
                self._add_detail((name, *detail["loc"]), detail, model)
        return None

    def _add_detail(self, path: KeyPath, detail: ErrorDetails, model: type[Section]) -> None:
        if detail["type"] == "extra_forbidden":
            self._add_unknown(path, _find_model(model, path[1:-1]))
            return
        if detail["type"] == "missing":
            self._add(path, "is missing")
            return
        self._add(path, self._tidy_message(detail))

    def _tidy_message(self, detail: ErrorDetails) -> str:
        """Say it in words, without the library's opening; the place already names the value."""
        pattern = str(detail.get("ctx", {}).get("pattern"))
        if pattern in self._meanings:
            return self._meanings[pattern]
        text = detail["msg"].removeprefix("Value error, ").replace("Input should be", "must be")
        return text[:1].lower() + text[1:]

    def _add_unknown(self, path: KeyPath, model: type[BaseModel]) -> None:
        hint = suggest_name(str(path[-1]), model.model_fields)
        self._add(path, "is not a setting", hint=hint or _list_names(model.model_fields))

    def _add(self, path: KeyPath, message: str, *, hint: str | None = None) -> None:
        line = self._places.find_line(path)
        place = self._source if line is None else f"{self._source}:{line}"
        self.findings.add(f"{place} {format_path(path)}", message, hint=hint)


def format_path(path: KeyPath) -> str:
    """Write a key path the way the file does, with list entries counted from 1."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part + 1}]"
        else:
            text += f".{part}" if text else part
    return text


def _list_names(names: Iterable[str]) -> str:
    return "valid here: " + ", ".join(names)


def _find_model(model: type[BaseModel], path: KeyPath) -> type[BaseModel]:
    """Return the model that describes the table at ``path`` below ``model``."""
    for part in path:
        if isinstance(part, int):
            continue
        model = find_inner_model(model.model_fields[part].annotation) or model
    return model


def find_inner_model(annotation: Any) -> type[BaseModel] | None:
    """Return the model inside an annotation such as ``Model | None`` or ``tuple[Model, ...]``."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    for argument in get_args(annotation):
        inner = find_inner_model(argument)
        if inner is not None:
            return inner
    return None
