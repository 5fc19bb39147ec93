"""Selects routers that relay a document to others, so that replicas send few copies."""

from chivetrack.components.distribution.const import MAX_DOCUMENT_BYTES_IN_FLIGHT


def fits_in_flight(in_flight: int, size: int) -> bool:
    """Return whether a sender may send ``size`` more bytes of documents; one always fits."""
    return in_flight == 0 or in_flight + size <= MAX_DOCUMENT_BYTES_IN_FLIGHT


class RelaySelector:
    """Selects the router that relays a document; free of I/O.

    When 195 routers lack a document of 24 kB, five replicas with links of 4 Mbit/s take over three
    seconds to send it to all of them. Routers have wider links and become more with each copy: each
    router that has confirmed the document sends it to a few others at a time, at any size.
    """

    def __init__(self) -> None:
        """Start without a router that holds the document."""
        self._in_flight: dict[str, int] = {}

    def clear(self) -> None:
        """Forget all holders, because there is a newer document."""
        self._in_flight.clear()

    def add(self, router: str) -> None:
        """Record that a router holds the newest document and can relay it."""
        self._in_flight.setdefault(router, 0)

    def remove(self, router: str) -> None:
        """Record that a router can't relay the newest document."""
        self._in_flight.pop(router, None)

    def choose(self, size: int) -> str:
        """Return the holder that relays least now, empty if none may relay ``size`` more bytes."""
        holder = min(self._in_flight, key=self._in_flight.__getitem__, default="")
        return holder if holder and fits_in_flight(self._in_flight[holder], size) else ""

    def record_start(self, holder: str, size: int) -> int:
        """Count a relayed copy and return the bytes that its holder has in flight."""
        self._in_flight[holder] += size
        return self._in_flight[holder]

    def record_end(self, holder: str, size: int) -> None:
        """Stop counting a relayed copy that was confirmed or lost."""
        if holder in self._in_flight:
            self._in_flight[holder] = max(0, self._in_flight[holder] - size)
