"""Limit on the bytes that all links of an instance have in flight together; free of I/O."""

from collections import deque
from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from chivetrack.components.peers.const import (
    INITIAL_WINDOW_BYTES,
    MAX_BULK_WAIT_S,
    MAX_WINDOW_BYTES,
    MAX_WINDOW_CHANGE,
    MIN_WINDOW_BYTES,
    OVERTAKEN_S,
    SILENT_NETWORK_S,
    WINDOW_SAMPLE_S,
)

LinkT = TypeVar("LinkT", bound=Hashable)


@dataclass(slots=True)
class _Piece:
    """Bytes that were handed to the kernel together."""

    sent_at: float
    size: int


@dataclass(slots=True)
class _Flight:
    """What a link has in flight, oldest first."""

    pieces: deque[_Piece] = field(default_factory=deque)
    size: int = 0

    def add(self, size: int, now: float) -> None:
        self.pieces.append(_Piece(now, size))
        self.size += size

    def acknowledge(self, size: int) -> list[_Piece]:
        """Remove the oldest ``size`` bytes and return them."""
        self.size -= size
        acknowledged = []
        while size > 0:
            oldest = self.pieces[0]
            part = min(size, oldest.size)
            acknowledged.append(_Piece(oldest.sent_at, part))
            oldest.size -= part
            size -= part
            if not oldest.size:
                self.pieces.popleft()
        return acknowledged


@dataclass(slots=True)
class _Sample:
    """What was acknowledged since ``started_at``, while more waited for room all the time."""

    started_at: float
    size: int = 0
    delay_bytes_s: float = 0.0
    """Sum over the acknowledged bytes of the time from their send to their acknowledgement."""


@dataclass(slots=True, kw_only=True)
class SendWindow(Generic[LinkT]):
    """Limits what is in flight to what the network link carries in ``MAX_BULK_WAIT_S``.

    All connections of an instance share its network link, and an urgent message on one of them
    waits there behind everything that the kernel holds for the others. So the limit is on their
    sum. Its size follows the time from the send of a byte to its acknowledgement: it shrinks while
    that is longer than ``MAX_BULK_WAIT_S``, and grows while that is shorter and more is waiting.

    An instance that is frozen or without power acknowledges nothing. What is in flight to it is not
    on its way through the network link and does not count. It is told apart from a slow network
    link by what was sent to others later and is acknowledged already.
    """

    limit: float = INITIAL_WINDOW_BYTES
    rate: float | None = None
    """Bytes a second acknowledged while more was waiting, ``None`` before that has happened."""
    _flights: dict[LinkT, _Flight] = field(default_factory=dict)
    _in_flight: int = 0
    _newest_acknowledged: float = float("-inf")
    """When the newest acknowledged byte was sent."""
    _acknowledged_at: float = float("-inf")
    _sample: _Sample | None = None

    @property
    def in_flight(self) -> int:
        """Return the bytes in flight on links that are not stalled."""
        return self._in_flight

    def has_room(self, size: int) -> bool:
        """Return whether ``size`` more bytes may be sent; any size may if half of it is free.

        Whole frames for instances that can't read pieces may be larger than the window.
        """
        return self._in_flight + min(size, self.limit / 2) <= self.limit

    def record_sent(self, link: LinkT, size: int, *, now: float) -> None:
        """Record that ``size`` bytes were handed to the kernel for a link."""
        self._flights.setdefault(link, _Flight()).add(size, now)
        self._in_flight += size

    def is_stalled(self, link: LinkT, *, now: float) -> bool:
        """Return whether the other side of a link acknowledges nothing, unlike others."""
        flight = self._flights.get(link)
        return flight is not None and self._is_stalled(flight, now)

    def _is_stalled(self, flight: _Flight, now: float) -> bool:
        if not flight.pieces:
            return False
        sent_at = flight.pieces[0].sent_at
        is_overtaken = self._newest_acknowledged - sent_at > OVERTAKEN_S
        return is_overtaken or now - max(sent_at, self._acknowledged_at) > SILENT_NETWORK_S

    def remove_link(self, link: LinkT, *, now: float) -> None:
        """Stop counting a link that is closed; what it had in flight is lost."""
        if self._flights.pop(link, None) is not None:
            self._in_flight = self._sum_in_flight(now)

    def list_links(self) -> list[LinkT]:
        """Return the links that have bytes in flight."""
        return list(self._flights)

    def record_unacknowledged(
        self, sizes: Mapping[LinkT, int], *, now: float, is_backlogged: bool
    ) -> None:
        """Record how many bytes each link has in flight now; a link that is not named has none.

        ``is_backlogged``: more waits for room than may be sent. Only then does the window's size
        matter, and the acknowledged rate shows what the network link carries.
        """
        for link, flight in list(self._flights.items()):
            size = sizes.get(link, 0)
            if size < flight.size:
                self._record_acknowledged(flight.acknowledge(flight.size - size), now)
            if not flight.size:
                del self._flights[link]
        self._in_flight = self._sum_in_flight(now)
        self._adapt(now, is_backlogged)

    def _record_acknowledged(self, pieces: list[_Piece], now: float) -> None:
        self._acknowledged_at = now
        for piece in pieces:
            self._newest_acknowledged = max(self._newest_acknowledged, piece.sent_at)
            if self._sample is not None:
                self._sample.size += piece.size
                self._sample.delay_bytes_s += piece.size * (now - piece.sent_at)

    def _sum_in_flight(self, now: float) -> int:
        return sum(
            flight.size for flight in self._flights.values() if not self._is_stalled(flight, now)
        )

    def _adapt(self, now: float, is_backlogged: bool) -> None:
        if not is_backlogged:
            self._sample = None
            return
        sample = self._sample
        if sample is None:
            self._sample = _Sample(now)
            return
        if now - sample.started_at < WINDOW_SAMPLE_S:
            return
        self._sample = _Sample(now)
        if not sample.size:
            # Only instances that acknowledge nothing were sent anything.
            return
        delay_s = sample.delay_bytes_s / sample.size
        is_growing = delay_s < MAX_BULK_WAIT_S
        if is_growing and self._has_late(now):
            # Part of the window is taken by instances that may be gone.
            return
        self.rate = sample.size / (now - sample.started_at)
        change = MAX_BULK_WAIT_S / max(delay_s, MAX_BULK_WAIT_S / MAX_WINDOW_CHANGE)
        changed = self.limit * max(change, 1 / MAX_WINDOW_CHANGE)
        self.limit = min(MAX_WINDOW_BYTES, max(MIN_WINDOW_BYTES, changed))

    def _has_late(self, now: float) -> bool:
        """Return whether a byte has been in flight for twice as long as a full window takes."""
        oldest = (flight.pieces[0].sent_at for flight in self._flights.values() if flight.pieces)
        return now - min(oldest, default=now) > 2 * MAX_BULK_WAIT_S
