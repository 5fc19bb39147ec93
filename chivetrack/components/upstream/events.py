"""Splitter of a server-sent event stream into complete events."""

from chivetrack.components.upstream.const import MAX_EVENT_BYTES
from chivetrack.components.upstream.models import BrokenAnswerError

_BLANK_LINES = (b"\n\n", b"\r\n\r\n")
_MAX_BLANK_BYTES = max(len(one) for one in _BLANK_LINES)


class EventSplitter:
    """Returns only complete events, and keeps the id of the last one.

    An endpoint may fail in the middle of an event. If the first half had been relayed to
    the caller, the repeated event from the next endpoint would be appended to it.
    """

    def __init__(self, *, last_id: str = "") -> None:
        """Create a splitter; ``last_id`` is the id of the event before the stream."""
        self._buffer = bytearray()
        self.last_id = last_id
        self.count = 0

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer holds an incomplete event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Append ``data`` and return the events that are complete now, joined.

        Raise ``BrokenAnswerError`` if an event has no end within ``MAX_EVENT_BYTES``.
        """
        # An event may come byte by byte, so each byte is copied and searched once.
        unsearched = max(0, len(self._buffer) - _MAX_BLANK_BYTES + 1)
        self._buffer += data
        end = max(self._find_end(blank, unsearched) for blank in _BLANK_LINES)
        if len(self._buffer) - max(0, end) > MAX_EVENT_BYTES:
            raise BrokenAnswerError("an event is too large")
        if end <= 0:
            return b""
        events = bytes(self._buffer[:end])
        del self._buffer[:end]
        self._record_ids(events)
        return events

    def _find_end(self, blank: bytes, start: int) -> int:
        at = self._buffer.rfind(blank, start)
        return at + len(blank) if at >= 0 else -1

    def _record_ids(self, events: bytes) -> None:
        for line in events.split(b"\n"):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                self.count += 1

    def discard_partial_event(self) -> None:
        """Discard an incomplete event whose remaining bytes will not arrive."""
        self._buffer.clear()
