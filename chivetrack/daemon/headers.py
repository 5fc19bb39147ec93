"""The header lines of a request, read strictly."""

import re
from typing import Any

from chivetrack.components.pipeline import faults
from chivetrack.exceptions import FaultError

_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\x00\r\n]*?)[ \t]*\r?\n")
_END = (b"\r\n", b"\n")


class RequestHeaders:
    """The interface that gevent's handler reads headers by.

    The e-mail parser of the standard library accepts folded lines, blanks before the
    colon and lines without one; after such a line it takes the rest of the headers for
    body. The length is lost then, and the body becomes the next request.
    """

    status = ""

    def __init__(self, *, headers: list[str], values: dict[str, list[str]]) -> None:
        """Take the raw lines and the values by name in lower case."""
        self.headers = headers
        self._values = values

    @property
    def typeheader(self) -> str | None:
        """Return the content type as it was sent."""
        return self.get("content-type")

    def get(self, name: str, default: Any = None) -> Any:
        """Return the first value of a header."""
        values = self._values.get(name.lower())
        return values[0] if values else default

    getheader = get

    def get_all(self, name: str) -> list[str]:
        """Return all values of a header."""
        return self._values.get(name.lower(), [])

    def list_lines(self) -> list[tuple[str, str]]:
        """Return name and value of each line as they were sent."""
        lines = (line.partition(":") for line in self.headers)
        return [(name, value.strip()) for name, _, value in lines]

    def __delitem__(self, name: str) -> None:
        del self._values[name.lower()]


def read_headers(source: Any) -> RequestHeaders:
    """Read lines up to the empty one; raise ``FaultError`` for what is not a header."""
    headers: list[str] = []
    values: dict[str, list[str]] = {}
    while (line := source.readline()) not in _END:
        match = _LINE.fullmatch(line)
        if match is None:
            raise FaultError(faults.bad_request())
        headers.append(line.decode("latin-1"))
        name, value = match.groups()
        values.setdefault(name.decode("latin-1").lower(), []).append(value.decode("latin-1"))
    return RequestHeaders(headers=headers, values=values)
