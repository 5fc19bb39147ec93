"""Logs on stderr: short sentences with a fixed prefix for each part of the program.

Never log what callers or endpoints send (bodies, headers, chat ids, prompts, answers)
nor keys or their hashes: logs are copied to systems that must not receive such content.
Log the program's own ids (request, instance, endpoint, workspace) and counts instead.
"""

import logging
import sys
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import UTC
from enum import StrEnum
from typing import Any, TextIO

import logbook
import msgspec
from logbook.compat import RedirectLoggingHandler

_CONTROL_CHARACTERS = {code: f"\\x{code:02x}" for code in (*range(32), 127)}
_CONTROL_CHARACTERS[ord("\n")] = "\\n"


class LogFormat(StrEnum):
    """The form of a log line."""

    TEXT = "text"
    JSON = "json"


def get_logger(part: str) -> logbook.Logger:
    """Return the logger of a part of the program; its lines start with ``[part]``."""
    return logbook.Logger(part)


@contextmanager
def open_logs(
    *, level: str = "info", form: str = LogFormat.TEXT, stream: TextIO | None = None
) -> Iterator[None]:
    """Write log lines of at least ``level`` to ``stream`` (stderr) until the block ends.

    Warnings of libraries that use the standard ``logging`` are written in the same form,
    with the library's name as the part.
    """
    formatter = format_json if LogFormat(form) is LogFormat.JSON else format_text
    handler = _LineHandler(
        stream=stream if stream is not None else sys.stderr,
        level=logbook.lookup_level(level.upper()),
        formatter=formatter,
    )
    redirect = RedirectLoggingHandler()
    root = logging.getLogger()
    root.addHandler(redirect)
    try:
        with handler.applicationbound():
            yield
    finally:
        root.removeHandler(redirect)


def format_text(record: logbook.LogRecord, _handler: Any = None) -> str:
    """Format a record as ``[part] time level: sentence``, with a traceback on lines below."""
    part = _get_part(record)
    head = f"[{part}] {_format_time(record)} {record.level_name.lower()}"
    lines = [f"{head}: {_escape(record.message or '')}"]
    trace = record.formatted_exception
    if trace:
        lines += [f"[{part}]   {_escape(line)}" for line in trace.splitlines()]
    return "\n".join(lines)


def format_json(record: logbook.LogRecord, _handler: Any = None) -> str:
    """Format a record as one JSON object on one line."""
    fields = {
        "time": _format_time(record),
        "level": record.level_name.lower(),
        "part": _get_part(record),
        "message": record.message or "",
    }
    if record.formatted_exception:
        fields["exception"] = record.formatted_exception
    return msgspec.json.encode(fields).decode()


def _get_part(record: logbook.LogRecord) -> str:
    return (record.channel or "library").partition(".")[0]


def _format_time(record: logbook.LogRecord) -> str:
    moment = record.time
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=UTC)
    return moment.astimezone(UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _escape(text: str) -> str:
    """Escape control characters: a name with a line break could forge a second record."""
    return text.translate(_CONTROL_CHARACTERS)


class _LineHandler(logbook.Handler):
    """Writes log lines; drops them if the stream cannot be written."""

    def __init__(self, *, stream: TextIO, level: int, formatter: Any) -> None:
        super().__init__(level=level)
        self.formatter = formatter
        self._stream = stream
        self._lock = threading.Lock()

    def emit(self, record: logbook.LogRecord) -> None:
        line = self.format(record) + "\n"
        with self._lock:
            try:
                self._stream.write(line)
                self._stream.flush()
            except (OSError, ValueError):
                # The reader of the pipe ended or the stream was closed. The library would
                # print a traceback to stderr; if stderr is closed, that raises an error
                # during a request. The line is dropped instead.
                return
