"""Index of the lines on which the keys of a TOML text stand.

``tomllib`` does not report line numbers.
"""

import tomllib
from collections.abc import Iterator
from dataclasses import dataclass

KeyPath = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class _Statement:
    """One header or assignment, with the line on which it starts."""

    line: int
    text: str


class LineIndex:
    """Finds the line of a key path; a missing path gets the line of its nearest parent."""

    def __init__(self, *, text: str) -> None:
        """Index the lines of a text that ``tomllib`` accepts."""
        self._lines: dict[KeyPath, int] = {}
        prefix: KeyPath = ()
        for statement in _split_statements(text):
            content = tomllib.loads(statement.text)
            if statement.text.lstrip().startswith("["):
                prefix = self._index_header(content, statement.line)
            else:
                self._index_values(prefix, content, statement.line)

    def find_line(self, path: KeyPath) -> int | None:
        """Return the line of a key path, counted from 1; ``None`` without any parent."""
        for length in range(len(path), 0, -1):
            line = self._lines.get(path[:length])
            if line is not None:
                return line
        return None

    def _index_header(self, content: dict[str, object], line: int) -> KeyPath:
        path: KeyPath = ()
        value: object = content
        while isinstance(value, dict) and value:
            name, value = next(iter(value.items()))
            path = self._resolve((*path, name), is_new=isinstance(value, list))
            self._lines.setdefault(path, line)
        return path

    def _resolve(self, path: KeyPath, *, is_new: bool) -> KeyPath:
        """Append the element's index to a path that names an array of tables.

        ``is_new`` means that the header starts a new element; otherwise the header refers
        to the last one.
        """
        count = 0
        while (*path, count) in self._lines:
            count += 1
        if is_new:
            return (*path, count)
        return (*path, count - 1) if count else path

    def _index_values(self, path: KeyPath, value: object, line: int) -> None:
        items: list[tuple[str | int, object]] = []
        if isinstance(value, dict):
            items = list(value.items())
        elif isinstance(value, list):
            items = list(enumerate(value))
        for name, inner in items:
            self._lines.setdefault((*path, name), line)
            self._index_values((*path, name), inner, line)


def _split_statements(text: str) -> Iterator[_Statement]:
    """Split a text into the shortest runs of lines that are valid TOML on their own."""
    pending: list[str] = []
    start = 1
    for number, line in enumerate(text.replace("\r\n", "\n").split("\n"), start=1):
        if not pending:
            start = number
        pending.append(line)
        statement = "\n".join(pending)
        if _is_complete(statement):
            pending = []
            if statement.strip() and not statement.lstrip().startswith("#"):
                yield _Statement(start, statement)


def _is_complete(text: str) -> bool:
    try:
        tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        return False
    return True
