"""Findings: all faults of a document, each with its place, reported together."""

import difflib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """One fault: its place, its description and an optional hint how to fix it."""

    place: str
    message: str
    hint: str | None = None

    def __str__(self) -> str:
        text = f"{self.place}: {self.message}"
        return text if self.hint is None else f"{text} ({self.hint})"


class Findings:
    """Collects findings; it is empty when a document has no faults."""

    def __init__(self) -> None:
        """Start with no findings."""
        self._findings: list[Finding] = []

    def add(self, place: str, message: str, *, hint: str | None = None) -> None:
        """Record one fault."""
        self._findings.append(Finding(place=place, message=message, hint=hint))

    def __iter__(self) -> Iterator[Finding]:
        return iter(self._findings)

    def __len__(self) -> int:
        return len(self._findings)


def suggest_name(name: str, valid: Iterable[str]) -> str | None:
    """Return a hint with the most similar valid name, ``None`` if no name is similar."""
    matches = difflib.get_close_matches(name, list(valid), n=1)
    return f"did you mean {matches[0]!r}?" if matches else None
