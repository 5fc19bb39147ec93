"""Lets the senders of all links wait until their messages fit into the send window."""

import itertools
import time
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import gevent
from gevent.event import AsyncResult
from gevent.socket import socket

from chivetrack.components.peers.const import (
    ACKNOWLEDGEMENT_POLL_S,
    MAX_BULK_WAIT_S,
    PIECE_BYTES,
    SEND_TIMEOUT_S,
)
from chivetrack.components.peers.link import Link
from chivetrack.components.peers.window import SendWindow
from chivetrack.helpers.codec import Priority


@dataclass(slots=True, eq=False, kw_only=True)
class _Waiter:
    """A frame or a piece that waits for room, and fails if its link is stalled for too long."""

    link: Link
    size: int
    since: float
    timeout_s: float
    is_answer: bool
    granted: AsyncResult = field(default_factory=AsyncResult)


class SendRoom:
    """Grants room on the network link to frames and pieces of all connections.

    What replicas tell each other takes turns with what routers are sent, and the log goes before
    other state. Urgent messages don't ask: ``reserve`` only counts them.
    """

    def __init__(self) -> None:
        """Start with a window for a link of unknown rate."""
        self.window = SendWindow[Link]()
        self._waiting: dict[Priority, deque[_Waiter]] = {one: deque() for one in Priority}
        self._poller: gevent.Greenlet | None = None
        self._is_bulk_next = False
        self._is_pacing = True
        self._backlogged_since: float | None = None
        self._congested_s = 0.0
        self._refreshed_at = float("-inf")

    @property
    def is_congested(self) -> bool:
        """Return whether messages have waited for room all the time for ``MAX_BULK_WAIT_S``."""
        since = self._backlogged_since
        return since is not None and time.monotonic() - since > MAX_BULK_WAIT_S

    def pop_congested_s(self) -> float:
        """Return for how long messages have waited for room since the last call, in seconds."""
        congested_s, self._congested_s = self._congested_s, 0.0
        return congested_s

    def count_in_flight(self) -> int:
        """Return the bytes in flight now on links that are not stalled."""
        if self._poller is None:
            # Nobody has counted since the last message that had to wait.
            self._refresh(time.monotonic())
        return self.window.in_flight

    def reserve(self, link: Link, size: int) -> None:
        """Count bytes that are sent now, whether or not there is room."""
        link.unwritten += size
        self.window.record_sent(link, size, now=time.monotonic())

    def acquire(self, link: Link, size: int, priority: Priority) -> None:
        """Wait for room for ``size`` bytes and count them.

        Raises ``OSError`` if the link is closed meanwhile, and ``TimeoutError`` if the other side
        has acknowledged nothing for ``SEND_TIMEOUT_S``.
        """
        self._wait_for_room(link, size, priority, timeout_s=SEND_TIMEOUT_S, is_answer=False)

    def _wait_for_room(
        self, link: Link, size: int, priority: Priority, *, timeout_s: float, is_answer: bool
    ) -> None:
        now = time.monotonic()
        if self._poller is None and self._has_room(link, size, now):
            self.reserve(link, size)
            return
        waiter = _Waiter(link=link, size=size, since=now, timeout_s=timeout_s, is_answer=is_answer)
        self._waiting[priority].append(waiter)
        if self._poller is None:
            self._poller = gevent.spawn(self._poll)
        waiter.granted.get()

    def pace(self, connection: socket, data: bytes) -> Iterator[bytes]:
        """Yield an answer on a connection without a link, in pieces, each once there is room.

        Raises ``TimeoutError`` if the caller has acknowledged nothing for the connection's timeout.
        """
        link = Link(connection, is_accepted=True)
        timeout_s = connection.gettimeout() or float("inf")
        start = 0
        while self._is_pacing and len(data) - start > PIECE_BYTES:
            self._wait_for_room(
                link, PIECE_BYTES, Priority.LOG, timeout_s=timeout_s, is_answer=True
            )
            try:
                yield data[start : start + PIECE_BYTES]
            finally:
                link.unwritten -= PIECE_BYTES
            start += PIECE_BYTES
        yield data[start:]

    def stop_pacing(self) -> None:
        """Let answers be sent as a whole from now on: the kernel sends them after the exit."""
        self._is_pacing = False
        waiting = self._waiting[Priority.LOG]
        for waiter in [one for one in waiting if one.is_answer]:
            waiting.remove(waiter)
            self.reserve(waiter.link, waiter.size)
            waiter.granted.set(None)

    def remove_link(self, link: Link) -> None:
        """Stop counting a link that is closed."""
        self.window.remove_link(link, now=time.monotonic())

    def stop(self) -> None:
        """Stop granting room."""
        if self._poller is not None:
            self._poller.kill(block=False)

    def _has_room(self, link: Link, size: int, now: float) -> bool:
        """Return whether there is room, after a look at the acknowledgements if it seems not."""
        if self._fits(link, size, now):
            return True
        if now - self._refreshed_at < ACKNOWLEDGEMENT_POLL_S:
            return False
        self._refresh(now)
        return self._fits(link, size, now)

    def _fits(self, link: Link, size: int, now: float) -> bool:
        return self.window.has_room(size) and not self.window.is_stalled(link, now=now)

    def _poll(self) -> None:
        try:
            while True:
                now = time.monotonic()
                self._refresh(now)
                self._fail_hopeless(now)
                self._grant(now)
                if not any(self._waiting.values()):
                    return
                gevent.sleep(ACKNOWLEDGEMENT_POLL_S)
                if self._backlogged_since is not None:
                    self._congested_s += time.monotonic() - now
        finally:
            self._poller = None
            self._backlogged_since = None

    def _refresh(self, now: float) -> None:
        self._refreshed_at = now
        sizes = {link: link.count_in_flight() for link in self.window.list_links()}
        is_backlogged = self._backlogged_since is not None
        self.window.record_unacknowledged(sizes, now=now, is_backlogged=is_backlogged)

    def _fail_hopeless(self, now: float) -> None:
        """Wake the senders whose link is closed, or stalled for longer than a send may take."""
        for waiting in self._waiting.values():
            for waiter in list(waiting):
                if not waiter.link.is_open:
                    waiting.remove(waiter)
                    waiter.granted.set_exception(ConnectionError("the link was closed"))
                elif self._has_timed_out(waiter, now):
                    waiting.remove(waiter)
                    waiter.granted.set_exception(TimeoutError("nothing was acknowledged"))

    def _has_timed_out(self, waiter: _Waiter, now: float) -> bool:
        is_late = now - waiter.since > waiter.timeout_s
        return is_late and self.window.is_stalled(waiter.link, now=now)

    def _grant(self, now: float) -> None:
        while (found := self._find_next(now)) is not None:
            priority, waiter = found
            if not self.window.has_room(waiter.size):
                self._backlogged_since = self._backlogged_since or now
                return
            self._waiting[priority].remove(waiter)
            self._is_bulk_next = priority is not Priority.BULK
            self.reserve(waiter.link, waiter.size)
            waiter.granted.set(None)
        self._backlogged_since = None

    def _find_next(self, now: float) -> tuple[Priority, _Waiter] | None:
        for priority in self._list_order():
            for waiter in self._waiting[priority]:
                if not self.window.is_stalled(waiter.link, now=now):
                    return priority, waiter
        return None

    def _list_order(self) -> Iterator[Priority]:
        others = (one for one in Priority if one is not Priority.BULK)
        if self._is_bulk_next:
            return itertools.chain((Priority.BULK,), others)
        return itertools.chain(others, (Priority.BULK,))
