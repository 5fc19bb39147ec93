"""Findings: every fault of a document with its place, reported together."""

import difflib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """One fault: where it is, what it is and what may help."""

    place: str
    message: str
    hint: str | None = None

    def __str__(self) -> str:
        text = f"{self.place}: {self.message}"
        return text if self.hint is None else f"{text} ({self.hint})"


class Findings:
    """Collects findings; empty means that nothing is wrong."""

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
    """Return a hint with the nearest valid name, if one is near."""
    near = difflib.get_close_matches(name, list(valid), n=1)
    return f"did you mean {near[0]!r}?" if near else None
