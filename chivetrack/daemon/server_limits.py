"""Limits of an HTTP server for one connection, and header lines read within them."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from chivetrack.components.pipeline import faults
from chivetrack.daemon.const import (
    HEADER_TIMEOUT_S,
    IDLE_TIMEOUT_S,
    MAX_HEADER_BYTES,
    MAX_HEADERS,
)
from chivetrack.exceptions import FaultError

if TYPE_CHECKING:
    # Imported at runtime only by the program that has these settings.
    from chivetrack.components.settings.models import LimitSettings


SHORT_HEAD_BYTES: Final = 4 * 1024
HEAD_OBJECTS_FACTOR: Final = 4
"""Bytes that a byte of a head takes in all forms in which it is kept."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerLimits:
    """Limits for one connection; times are in seconds.

    ``idle_timeout_s`` also limits how long a caller may leave sent bytes unread.
    """

    max_header_bytes: int = MAX_HEADER_BYTES
    max_headers: int = MAX_HEADERS
    header_timeout_s: float = HEADER_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S


def make_server_limits(settings: "LimitSettings") -> ServerLimits:
    """Return the limits from the settings."""
    return ServerLimits(
        max_header_bytes=settings.max_header_bytes, max_headers=settings.max_headers
    )


class LimitedLines:
    """Source of header lines that raises ``FaultError`` when a limit is exceeded."""

    def __init__(
        self, *, source: Any, limits: ServerLimits, reserve: Callable[[int], None]
    ) -> None:
        """Read from ``source``, a file of bytes.

        ``reserve`` is called for memory beyond that of a short head; it raises ``FaultError`` if
        there is none.
        """
        self._source = source
        self._limits = limits
        self._reserve = reserve
        self._unreserved_left = SHORT_HEAD_BYTES
        self._bytes_left = limits.max_header_bytes
        self._lines_left = limits.max_headers

    def readline(self, size: int = -1) -> bytes:
        """Return the next line; raise ``FaultError`` if it exceeds the limits."""
        line: bytes = self._source.readline(self._bytes_left + 1)
        self._bytes_left -= len(line)
        self._unreserved_left -= len(line)
        if self._unreserved_left < 0:
            self._reserve(min(len(line), -self._unreserved_left) * HEAD_OBJECTS_FACTOR)
        if line.strip():
            self._lines_left -= 1
        if self._bytes_left < 0 or self._lines_left < 0:
            limits = self._limits
            raise FaultError(faults.headers_too_large(limits.max_header_bytes, limits.max_headers))
        return line
