"""Strict parser for the header lines of a request."""

import re
from typing import Any

from chivetrack.components.pipeline import faults
from chivetrack.exceptions import FaultError

# Blanks around the value are stripped later: several repetitions that match them take cubic time.
_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([^\x00\r\n]*)\r?\n")
_BLANKS = " \t"
_END = (b"\r\n", b"\n")


class RequestHeaders:
    """Headers with the interface that the request handler of gevent expects.

    The e-mail parser of the standard library accepts folded lines, blanks before the
    colon and lines without a colon, and treats all headers after such a line as body.
    The Content-Length is then lost, and the body would be read as the next request.
    """

    status = ""

    def __init__(self, *, headers: list[str], values: dict[str, list[str]]) -> None:
        """Store the raw lines, and the values by header name in lower case."""
        self.headers = headers
        self._values = values

    @property
    def typeheader(self) -> str | None:
        """Return the value of the Content-Type header, or ``None``."""
        return self.get("content-type")

    def get(self, name: str, default: Any = None) -> Any:
        """Return the first value of a header, or ``default``."""
        values = self._values.get(name.lower())
        return values[0] if values else default

    getheader = get

    def get_all(self, name: str) -> list[str]:
        """Return all values of a header."""
        return self._values.get(name.lower(), [])

    def list_lines(self) -> list[tuple[str, str]]:
        """Return the name and the value of each line, with the case that was sent."""
        lines = (line.partition(":") for line in self.headers)
        return [(name, value.strip()) for name, _, value in lines]

    def __delitem__(self, name: str) -> None:
        del self._values[name.lower()]


def read_headers(source: Any) -> RequestHeaders:
    """Read lines up to the empty line; raise ``FaultError`` for an invalid header line."""
    headers: list[str] = []
    values: dict[str, list[str]] = {}
    while (line := source.readline()) not in _END:
        match = _LINE.fullmatch(line)
        if match is None:
            raise FaultError(faults.bad_request())
        text = line.decode("latin-1")
        headers.append(text)
        name = text[: match.end(1)].lower()
        value = text[match.start(2) : match.end(2)].strip(_BLANKS)
        values.setdefault(name, []).append(value)
    return RequestHeaders(headers=headers, values=values)
