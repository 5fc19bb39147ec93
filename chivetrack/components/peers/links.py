"""TCP transport between instances of a large fleet: framed messages, one link for each pair.

A gRPC stream needs a thread in each direction under this event loop, and several thread wake-ups
for each message. A replica that hundreds of routers poll has half a core, so this transport uses
frames on plain sockets, with one connection for both directions.
"""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import gevent
from gevent import socket as gevent_socket
from gevent.lock import BoundedSemaphore
from gevent.server import StreamServer

from chivetrack.components.peers.const import (
    BATCH_LIMIT,
    CONNECT_TIMEOUT_S,
    FLUSH_POLL_S,
    FRAME_OVERHEAD_BYTES,
    GREETING_TIMEOUT_S,
    LINK_IDLE_TIMEOUT_S,
    LISTEN_BACKLOG,
    MAX_RECONNECT_DELAY_S,
    MAX_WAIT_S,
    MIN_RECONNECT_DELAY_S,
    PIECE_BYTES,
    READ_BYTES,
    SEND_TIMEOUT_S,
)
from chivetrack.components.peers.frames import (
    FrameError,
    FrameReader,
    Hello,
    encode_frame,
    split_frame,
)
from chivetrack.components.peers.link import Link, set_options
from chivetrack.components.peers.outbox import Outbox, TrafficCount
from chivetrack.components.peers.room import SendRoom
from chivetrack.helpers.codec import (
    DecodeError,
    EncodeError,
    Message,
    Priority,
    decode,
    get_kind,
    get_priority,
    pack,
)

StreamHandler = Callable[[gevent_socket.socket, Any], None]


class _StreamEndedError(Exception):
    """A connection that belonged to a stream handler has ended."""


@dataclass(frozen=True, slots=True)
class _EncodedMessage:
    """A message that waits to be sent."""

    kind: str
    body: bytes


@dataclass(slots=True)
class _Queue:
    """Messages of one priority waiting for one instance, and the greenlet that sends them."""

    outbox: Outbox[_EncodedMessage]
    sender: gevent.Greenlet


class LinkTransport:
    """Sends messages to other instances and receives theirs; an id is a ``host:port``.

    Delivery is best effort: a message may be lost or late, and never waits for more than
    ``QUEUE_LIMIT`` others or ``MAX_WAIT_S`` seconds. ``on_message`` gets the sender's address and
    the message; messages of one sender are delivered one after the other, those of one priority in
    the order in which they were sent.

    Urgent messages are sent at once. All others wait for room on the network link, which the links
    of this instance share, so that an urgent message waits there behind little.
    """

    def __init__(
        self,
        *,
        address: str,
        on_message: Callable[[str, Message], None],
        on_error: Callable[[str], None],
        stream_handlers: Mapping[type[Message], StreamHandler] | None = None,
    ) -> None:
        """Set the own address; nothing is opened before ``start``.

        A connection whose first message has a type in ``stream_handlers`` belongs to the handler,
        which is called with the socket and returns once it has closed it or is done with it.
        """
        self._address = address
        self._stream_handlers = stream_handlers or {}
        self._on_message = on_message
        self._on_error = on_error
        self._links: dict[str, Link] = {}
        self._queues: dict[tuple[str, Priority], _Queue] = {}
        self._connect_locks: dict[str, BoundedSemaphore] = {}
        self._readers: set[gevent.Greenlet] = set()
        self.room = SendRoom()
        self.traffic = TrafficCount()
        host, _, port = address.rpartition(":")
        self._server = StreamServer((host, int(port)), self._accept, backlog=LISTEN_BACKLOG)

    def start(self) -> None:
        """Start to listen; raise ``OSError`` if the address is in use."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening, close all links and drop waiting messages."""
        self._server.stop(timeout=0)
        self.room.stop()
        senders = [queue.sender for queue in self._queues.values()]
        gevent.killall([*senders, *self._readers])
        for link in list(self._links.values()):
            self._close(link)

    def send(self, target: str, message: Message) -> None:
        """Queue a message and return at once; a link is opened if there is none.

        One that can't be encoded is reported and dropped, so that it ends no loop of the caller.
        """
        try:
            body = pack(message)
        except EncodeError as error:
            self.traffic.dropped_messages += 1
            self._on_error(f"message for {target} not sent: {error}")
            return
        priority = get_priority(message)
        known = self._queues.get((target, priority))
        if known is None:
            outbox = Outbox[_EncodedMessage](self.traffic)
            sender = gevent.spawn(self._run_sender, target, priority, outbox)
            known = self._queues[target, priority] = _Queue(outbox, sender)
        known.outbox.put(_EncodedMessage(get_kind(message), body))

    def answer(self, target: str, message: Message) -> None:
        """Queue a message for an instance that has an open link; drop it if the link is gone.

        No link is opened, because an instance that wants an answer connects itself. Otherwise each
        change would cost a replica one connection attempt for each router that is down.
        """
        if target in self._links:
            self.send(target, message)
        else:
            self.traffic.dropped_messages += 1

    def flush(self, *, ends_at: float) -> int:
        """Wait until the messages queued for open links have reached the other machines.

        The kernel of this process drops what it has not sent yet if bytes arrive after the exit.
        Return the number of links that still hold messages at ``ends_at`` (s, monotonic).
        """
        waiting = list(self._links.values())
        while waiting := [link for link in waiting if self._has_unsent(link)]:
            if time.monotonic() >= ends_at:
                break
            gevent.sleep(FLUSH_POLL_S)
        return len(waiting)

    def _has_unsent(self, link: Link) -> bool:
        if not link.is_open:
            return False
        queues = [self._queues.get((link.peer, priority)) for priority in Priority]
        has_queued = any(queue is not None and len(queue.outbox) > 0 for queue in queues)
        return has_queued or link.sending > 0 or link.count_unacknowledged() > 0

    # Sending

    def _run_sender(self, target: str, priority: Priority, outbox: Outbox[_EncodedMessage]) -> None:
        delay_s = MIN_RECONNECT_DELAY_S
        while outbox.ready.wait(LINK_IDLE_TIMEOUT_S):
            link = self._find_link(target)
            if link is None:
                outbox.drop_expired(max_wait_s=MAX_WAIT_S)
                gevent.sleep(delay_s)
                delay_s = min(MAX_RECONNECT_DELAY_S, 2 * delay_s)
                continue
            delay_s = MIN_RECONNECT_DELAY_S
            self._send_waiting(link, priority, outbox)
        del self._queues[target, priority]
        if not any((target, other) in self._queues for other in Priority):
            self._close_idle(target)

    def _close_idle(self, target: str) -> None:
        self._connect_locks.pop(target, None)
        link = self._links.get(target)
        if link is not None and not link.is_accepted:
            # The side that opened a link also closes it.
            self._close(link)

    def _find_link(self, target: str) -> Link | None:
        """Return the link to an instance; open one if there is none."""
        # The senders of all priorities share one link.
        with self._connect_locks.setdefault(target, BoundedSemaphore()):
            return self._links.get(target) or self._connect(target)

    def _send_waiting(
        self, link: Link, priority: Priority, outbox: Outbox[_EncodedMessage]
    ) -> None:
        outbox.drop_expired(max_wait_s=MAX_WAIT_S)
        queued = outbox.pop(BATCH_LIMIT)
        if not queued:
            return
        batch = [message for _, message in queued]
        frame = encode_frame([message.body for message in batch])
        self._count_sent(batch, frame)
        link.sending += 1
        try:
            self._write(link, frame, priority)
        except OSError:
            self.traffic.dropped_messages += len(batch)
            self._close(link)
        finally:
            link.sending -= 1
        now = time.monotonic()
        for queued_at, message in queued:
            self.traffic.record_wait(message.kind, now - queued_at)

    def _write(self, link: Link, frame: bytes, priority: Priority) -> None:
        """Write a frame, in pieces if it is large; raise ``OSError`` if the link fails."""
        if len(frame) > PIECE_BYTES and not link.greeted.wait(GREETING_TIMEOUT_S):
            # An instance of an older version does not answer the greeting.
            link.greeted.set()
        pieces = split_frame(frame, priority) if link.reads_pieces else (frame,)
        for piece in pieces:
            if _may_go_at_once(priority, len(frame)):
                self.room.reserve(link, len(piece))
            else:
                self.room.acquire(link, len(piece), priority)
            with gevent.Timeout(SEND_TIMEOUT_S, TimeoutError()):
                link.write(piece)

    def _count_sent(self, batch: list[_EncodedMessage], frame: bytes) -> None:
        self.traffic.sent_batches += 1
        self.traffic.sent_bytes += len(frame) + FRAME_OVERHEAD_BYTES
        for message in batch:
            self.traffic.sent_by_kind[message.kind] += len(message.body)

    def _connect(self, target: str) -> Link | None:
        host, _, port = target.rpartition(":")
        try:
            opened = gevent_socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
        except OSError:
            return None
        link = Link(opened, is_accepted=False)
        try:
            set_options(opened)
            opened.sendall(encode_frame([pack(Hello(self._address, reads_pieces=True))]))
        except OSError:
            link.close()
            return None
        self._register(link, target)
        reader = gevent.spawn(self._read, link)
        self._readers.add(reader)
        reader.link(self._readers.discard)
        return link

    # Receiving

    def _accept(self, accepted: gevent_socket.socket, _address: object) -> None:
        link = Link(accepted, is_accepted=True)
        try:
            set_options(accepted)
        except OSError:
            link.close()
            return
        self._read(link)

    def _register(self, link: Link, peer: str) -> None:
        """Use a link for all messages to ``peer`` from now on."""
        link.peer = peer
        previous = self._links.get(peer)
        self._links[peer] = link
        if previous is not None and previous.is_accepted and link.is_accepted:
            # The other side connects again only once its end of the previous link is closed. If
            # the reset was lost, this end would stay open without ever receiving anything.
            previous.close()

    def _read(self, link: Link) -> None:
        reader = FrameReader()
        try:
            while data := link.socket.recv(READ_BYTES):
                self.traffic.received_bytes += len(data)
                for kind, payload in reader.feed(data):
                    self.traffic.received_by_kind[kind] += len(payload)
                    self._handle_message(link, kind, payload)
        except FrameError as error:
            self._on_error(f"bad frame from {link.peer or 'an unnamed instance'}: {error}")
        except (OSError, _StreamEndedError):
            pass  # The link is closed; the next message opens another one.
        finally:
            self._close(link)

    def _handle_message(self, link: Link, kind: str, payload: bytes) -> None:
        try:
            message = decode(kind, payload)
        except DecodeError as error:
            # A message that can't be decoded does not affect the others.
            self._on_error(f"bad message from {link.peer}: {error}")
            return
        if isinstance(message, Hello):
            self._handle_hello(link, message)
        elif link.peer:
            self._on_message(link.peer, message)
        elif type(message) in self._stream_handlers:
            self._stream_handlers[type(message)](link.socket, message)
            raise _StreamEndedError
        else:
            raise FrameError("the first message does not name its sender")

    def _handle_hello(self, link: Link, hello: Hello) -> None:
        is_first = not link.reads_pieces
        link.reads_pieces = hello.reads_pieces
        link.greeted.set()
        if not link.is_accepted:
            return
        self._register(link, hello.source)
        if hello.reads_pieces and is_first:
            # On this link, since the other side may know the one that this side opened as well.
            frame = encode_frame([pack(Hello(self._address, reads_pieces=True))])
            self.room.reserve(link, len(frame))
            link.write(frame)

    def _close(self, link: Link) -> None:
        link.close()
        self.room.remove_link(link)
        if self._links.get(link.peer) is link:
            del self._links[link.peer]


def _may_go_at_once(priority: Priority, size: int) -> bool:
    """Return whether a frame is sent without room; large ones wait for it at any priority."""
    return priority <= Priority.LOG and size <= PIECE_BYTES
