"""Reader for settings texts described by pydantic models; reports all findings together."""

from collections.abc import Callable, Iterator, Mapping
from typing import Any, Generic, TypeVar, get_args

from expression import Error, Ok, Result
from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from chivetrack.helpers.finding import Findings
from chivetrack.helpers.sections.base import Section
from chivetrack.helpers.sections.line_index import KeyPath
from chivetrack.helpers.sections.text import Problem, Report, read_document

SettingsT = TypeVar("SettingsT", bound=BaseModel)
_NO_PATTERN_MESSAGES: Mapping[str, str] = {}


def parse_sections(
    text: str,
    *,
    source: str,
    model: type[SettingsT],
    check: Callable[[dict[str, Section]], Iterator[Problem]],
    pattern_messages: Mapping[str, str] = _NO_PATTERN_MESSAGES,
) -> Result[SettingsT, Findings]:
    """Validate a text against a model of sections, then run the checks across sections.

    ``pattern_messages`` maps a pattern of the model to the message for a value that does
    not match it.
    """
    return read_document(text, source=source).bind(
        lambda document: _Reader(
            report=Report(source=source, text=text), model=model, pattern_messages=pattern_messages
        ).read(document, check)
    )


class _Reader(Generic[SettingsT]):
    """Validates a document section by section, so that one fault does not hide others."""

    def __init__(
        self, *, report: Report, model: type[SettingsT], pattern_messages: Mapping[str, str]
    ) -> None:
        self._report = report
        self._model = model
        self._pattern_messages = pattern_messages

    def read(
        self,
        document: dict[str, Any],
        check: Callable[[dict[str, Section]], Iterator[Problem]],
    ) -> Result[SettingsT, Findings]:
        """Return the settings, or all findings."""
        for name in document:
            if name not in self._model.model_fields:
                self._report.add_unknown((name,), self._model.model_fields)
        valid = {}
        for name in self._model.model_fields:
            section = self._read_section(name, document.get(name, {}))
            if section is not None:
                valid[name] = section
        self._report.add_problems(check(valid))
        findings = self._report.findings
        return Error(findings) if len(findings) else Ok(self._model.model_validate(valid))

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
            self._report.add_unknown(path, _find_model(model, path[1:-1]).model_fields)
            return
        if detail["type"] == "missing":
            self._report.add(path, "is missing")
            return
        self._report.add(path, self._format_message(detail))

    def _format_message(self, detail: ErrorDetails) -> str:
        """Return the message of an error without the library's prefix.

        The finding's place already names the value.
        """
        pattern = str(detail.get("ctx", {}).get("pattern"))
        if pattern in self._pattern_messages:
            return self._pattern_messages[pattern]
        text = detail["msg"].removeprefix("Value error, ").replace("Input should be", "must be")
        return text[:1].lower() + text[1:]


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
