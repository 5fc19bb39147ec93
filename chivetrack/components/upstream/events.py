"""Cuts an event stream into whole events."""

_BLANK_LINES = (b"\n\n", b"\r\n\r\n")


class EventSplitter:
    """Gives back whole events and remembers the id of the last one.

    An endpoint may stop in the middle of an event. If the half of it had gone to the
    caller, the same event from the next endpoint would be joined to it.
    """

    def __init__(self, *, last_id: str = "") -> None:
        """Start before the first event; ``last_id`` is that of the event before it."""
        self._buffer = b""
        self.last_id = last_id
        self.count = 0

    @property
    def has_partial_event(self) -> bool:
        """Return whether a part of an event is left."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are complete with ``data``, joined."""
        self._buffer += data
        end = max(self._find_end(blank) for blank in _BLANK_LINES)
        if end <= 0:
            return b""
        events, self._buffer = self._buffer[:end], self._buffer[end:]
        self._note(events)
        return events

    def _find_end(self, blank: bytes) -> int:
        at = self._buffer.rfind(blank)
        return at + len(blank) if at >= 0 else -1

    def _note(self, events: bytes) -> None:
        for line in events.split(b"\n"):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                self.count += 1

    def discard_partial_event(self) -> None:
        """Forget the part of an event that will never be whole."""
        self._buffer = b""
