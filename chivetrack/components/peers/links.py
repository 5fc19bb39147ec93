"""TCP transport between instances of a large fleet: framed messages, one link for each pair.

A gRPC stream needs a thread in each direction under this event loop, and several thread wake-ups
for each message. A replica that hundreds of routers poll has half a core, so this transport uses
frames on plain sockets, with one connection for both directions.
"""

import contextlib
import fcntl
import socket
import struct
import termios
import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent import socket as gevent_socket
from gevent.server import StreamServer

from chivetrack.components.peers.const import (
    BATCH_LIMIT,
    CONNECT_TIMEOUT_S,
    FLUSH_POLL_S,
    FRAME_OVERHEAD_BYTES,
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    KEEPALIVE_PROBES,
    LINK_IDLE_TIMEOUT_S,
    LISTEN_BACKLOG,
    MAX_RECONNECT_DELAY_S,
    MAX_WAIT_S,
    MIN_RECONNECT_DELAY_S,
    READ_BYTES,
    SEND_TIMEOUT_S,
    TCP_USER_TIMEOUT_MS,
)
from chivetrack.components.peers.frames import FrameError, FrameReader, Hello, encode_frame
from chivetrack.components.peers.outbox import Outbox, TrafficCount
from chivetrack.helpers.codec import DecodeError, Message, decode, get_kind, pack

_INT = struct.Struct("i")


@dataclass(frozen=True, slots=True)
class _EncodedMessage:
    """A message that waits to be sent."""

    kind: str
    body: bytes


@dataclass(slots=True, eq=False)
class _Link:
    """One connection; ``peer`` is the address at which the other side listens."""

    socket: gevent_socket.socket
    is_accepted: bool
    peer: str = ""
    is_open: bool = True
    is_sending: bool = False

    def count_unacknowledged(self) -> int:
        """Return the number of sent bytes that the other side's kernel has not acknowledged."""
        try:
            queued = fcntl.ioctl(self.socket.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
        except OSError:
            # The link was closed, or the kernel does not tell.
            return 0
        return int(_INT.unpack(queued)[0])

    def close(self) -> None:
        """Close the connection and wake the greenlets that wait for its bytes."""
        if self.is_open:
            self.is_open = False
            # The shutdown fails if the connection is gone already; the socket is still closed.
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RDWR)
            self.socket.close()


@dataclass(slots=True)
class _Target:
    """Messages waiting for one instance, and the greenlet that sends them."""

    outbox: Outbox[_EncodedMessage]
    sender: gevent.Greenlet


class LinkTransport:
    """Sends messages to other instances and receives theirs; an id is a ``host:port``.

    Delivery is best effort: a message may be lost or late, and never waits for more than
    ``QUEUE_LIMIT`` others or ``MAX_WAIT_S`` seconds. ``on_message`` gets the sender's address and
    the message; messages of one sender are delivered one after the other.
    """

    def __init__(
        self,
        *,
        address: str,
        on_message: Callable[[str, Message], None],
        on_error: Callable[[str], None],
    ) -> None:
        """Set the own address; nothing is opened before ``start``."""
        self._address = address
        self._on_message = on_message
        self._on_error = on_error
        self._links: dict[str, _Link] = {}
        self._targets: dict[str, _Target] = {}
        self._readers: set[gevent.Greenlet] = set()
        self.traffic = TrafficCount()
        host, _, port = address.rpartition(":")
        self._server = StreamServer((host, int(port)), self._accept, backlog=LISTEN_BACKLOG)

    def start(self) -> None:
        """Start to listen; raise ``OSError`` if the address is in use."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening, close all links and drop waiting messages."""
        self._server.stop(timeout=0)
        senders = [target.sender for target in self._targets.values()]
        gevent.killall([*senders, *self._readers])
        for link in list(self._links.values()):
            self._close(link)

    def send(self, target: str, message: Message) -> None:
        """Queue a message and return at once; a link is opened if there is none."""
        known = self._targets.get(target)
        if known is None:
            outbox = Outbox[_EncodedMessage](self.traffic)
            sender = gevent.spawn(self._run_sender, target, outbox)
            known = self._targets[target] = _Target(outbox, sender)
        known.outbox.put(_EncodedMessage(get_kind(message), pack(message)))

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

    def _has_unsent(self, link: _Link) -> bool:
        if not link.is_open:
            return False
        target = self._targets.get(link.peer)
        has_queued = target is not None and len(target.outbox) > 0
        return has_queued or link.is_sending or link.count_unacknowledged() > 0

    # Sending

    def _run_sender(self, target: str, outbox: Outbox[_EncodedMessage]) -> None:
        delay_s = MIN_RECONNECT_DELAY_S
        while outbox.ready.wait(LINK_IDLE_TIMEOUT_S):
            link = self._links.get(target) or self._connect(target)
            if link is None:
                outbox.drop_expired(max_wait_s=MAX_WAIT_S)
                gevent.sleep(delay_s)
                delay_s = min(MAX_RECONNECT_DELAY_S, 2 * delay_s)
                continue
            delay_s = MIN_RECONNECT_DELAY_S
            self._send_waiting(link, outbox)
        del self._targets[target]
        link = self._links.get(target)
        if link is not None and not link.is_accepted:
            # The link is idle; the side that opened a link also closes it.
            self._close(link)

    def _send_waiting(self, link: _Link, outbox: Outbox[_EncodedMessage]) -> None:
        outbox.drop_expired(max_wait_s=MAX_WAIT_S)
        queued = outbox.pop(BATCH_LIMIT)
        if not queued:
            return
        batch = [message for _, message in queued]
        frame = encode_frame([message.body for message in batch])
        self._count_sent(batch, frame)
        link.is_sending = True
        try:
            with gevent.Timeout(SEND_TIMEOUT_S, TimeoutError()):
                link.socket.sendall(frame)
        except OSError:
            self.traffic.dropped_messages += len(batch)
            self._close(link)
        finally:
            link.is_sending = False
        now = time.monotonic()
        for queued_at, message in queued:
            self.traffic.record_wait(message.kind, now - queued_at)

    def _count_sent(self, batch: list[_EncodedMessage], frame: bytes) -> None:
        self.traffic.sent_batches += 1
        self.traffic.sent_bytes += len(frame) + FRAME_OVERHEAD_BYTES
        for message in batch:
            self.traffic.sent_by_kind[message.kind] += len(message.body)

    def _connect(self, target: str) -> _Link | None:
        host, _, port = target.rpartition(":")
        try:
            opened = gevent_socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
        except OSError:
            return None
        link = _Link(opened, is_accepted=False)
        try:
            _set_options(opened)
            opened.sendall(encode_frame([pack(Hello(self._address))]))
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
        link = _Link(accepted, is_accepted=True)
        try:
            _set_options(accepted)
        except OSError:
            link.close()
            return
        self._read(link)

    def _register(self, link: _Link, peer: str) -> None:
        """Use a link for all messages to ``peer`` from now on."""
        link.peer = peer
        previous = self._links.get(peer)
        self._links[peer] = link
        if previous is not None and previous.is_accepted and link.is_accepted:
            # The other side connects again only once its end of the previous link is closed. If
            # the reset was lost, this end would stay open without ever receiving anything.
            previous.close()

    def _read(self, link: _Link) -> None:
        reader = FrameReader()
        try:
            while data := link.socket.recv(READ_BYTES):
                self.traffic.received_bytes += len(data)
                for kind, payload in reader.feed(data):
                    self.traffic.received_by_kind[kind] += len(payload)
                    self._handle_message(link, kind, payload)
        except FrameError as error:
            self._on_error(f"bad frame from {link.peer or 'an unnamed instance'}: {error}")
        except OSError:
            pass  # The link is closed; the next message opens another one.
        finally:
            self._close(link)

    def _handle_message(self, link: _Link, kind: str, payload: bytes) -> None:
        try:
            message = decode(kind, payload)
        except DecodeError as error:
            # A message that can't be decoded does not affect the others.
            self._on_error(f"bad message from {link.peer}: {error}")
            return
        if isinstance(message, Hello):
            self._register(link, message.source)
        elif link.peer:
            self._on_message(link.peer, message)
        else:
            raise FrameError("the first message does not name its sender")

    def _close(self, link: _Link) -> None:
        link.close()
        if self._links.get(link.peer) is link:
            del self._links[link.peer]


def _set_options(opened: gevent_socket.socket) -> None:
    """Set a connection to send small messages at once and to close when the other side is gone.

    Behind a network cut, or after a lost reset, no data and no error arrives. The kernel closes a
    connection whose bytes or keepalive probes are not acknowledged, so an idle connection costs
    this process nothing.
    """
    opened.settimeout(None)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
