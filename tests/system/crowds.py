"""Crowds of clients that don't keep to the limits, and what a process holds meanwhile.

A client sends its pieces as fast as the server reads them, never reads an answer, and stays
connected after its last piece. One whose connection the server ends connects again.
"""

import contextlib
import functools
import itertools
import json
import os
import random
import selectors
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from tests.system.deployment import make_config

MEBIBYTE = 1024 * 1024
BLOCK = b"x" * 65536
SMALL_BLOCK = b"x" * 4096
SEND_BYTES = 262_144
SAMPLE_INTERVAL_S = 0.03
SETTLE_S = 0.3
FAR_OVER_BYTES = 1024 * MEBIBYTE
SINGLE_TIMEOUT_S = 20.0
ROUTES = 20_000
LISTEN_STATE = "0A"
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

Pieces = Iterator[bytes]


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """A listener, and a request to it without the lines that frame its body.

    ``max_body`` is the largest body (bytes) that the listener allows.
    """

    address: tuple[str, int]
    head: bytes
    max_body: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Footprint:
    """What a process holds; ``memory`` (bytes) counts what arrived and was not read."""

    memory: int
    descriptors: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientKind:
    """How many clients a crowd has, and what each of them sends.

    ``receive_buffer`` is the size (bytes) of a client's receive buffer, 0 for the usual one.
    """

    count: int
    make_pieces: Callable[[Target], Pieces]
    receive_buffer: int = 0


def _frame(target: Target, line: bytes) -> bytes:
    return target.head + line + b"\r\n\r\n"


def _announce(target: Target, length: int) -> bytes:
    return _frame(target, b"Content-Length: %d" % length)


def _begin_chunks(target: Target) -> bytes:
    return _frame(target, b"Transfer-Encoding: chunked")


def _fill(length: int, block: bytes) -> Pieces:
    for start in range(0, length, len(block)):
        yield block[: length - start]


def _make_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def send_all_but_a_byte(target: Target) -> Pieces:
    """Send a body of the largest legal size, but for its last byte."""
    yield _announce(target, target.max_body)
    yield from _fill(target.max_body - 1, BLOCK)


def send_in_small_pieces(target: Target) -> Pieces:
    """Send a body of the largest legal size piece by piece, but for its last byte."""
    yield _announce(target, target.max_body)
    yield from _fill(target.max_body - 1, SMALL_BLOCK)


def send_large_chunks(target: Target) -> Pieces:
    """Send large chunks up to the legal size, and no last chunk."""
    yield _begin_chunks(target)
    yield from itertools.repeat(_make_chunk(BLOCK), target.max_body // len(BLOCK) - 1)


def send_tiny_chunks(target: Target) -> Pieces:
    """Send chunks of two bytes up to the legal size, and no last chunk."""
    yield _begin_chunks(target)
    group = _make_chunk(b"xx") * 8192
    yield from itertools.repeat(group, target.max_body // (2 * 8192) - 1)


def send_mixed_tiny_chunks(target: Target) -> Pieces:
    """Send chunks of one to three bytes up to the legal size, and no last chunk."""
    yield _begin_chunks(target)
    group = b"".join(_make_chunk(b"x" * size) for size in (1, 3, 2)) * 2048
    yield from itertools.repeat(group, target.max_body // (6 * 2048) - 1)


def send_whole(target: Target) -> Pieces:
    """Send a whole body of the largest legal size."""
    yield _announce(target, target.max_body)
    yield from _fill(target.max_body, BLOCK)


def send_whole_configurations(target: Target) -> Pieces:
    """Send whole configurations of many routes that are older than the one in force."""
    document = _make_large_document()
    yield _announce(target, len(document))
    yield document


@functools.cache
def _make_large_document() -> bytes:
    return json.dumps(make_config(1, *[f"/p{number}/" for number in range(ROUTES)])).encode()


def announce_far_over(target: Target) -> Pieces:
    """Announce a length far over the limit, and send it."""
    yield _announce(target, FAR_OVER_BYTES)
    yield from _fill(FAR_OVER_BYTES, BLOCK)


def send_far_over(target: Target) -> Pieces:
    """Send chunks without an end."""
    yield _begin_chunks(target)
    yield from itertools.repeat(_make_chunk(BLOCK), FAR_OVER_BYTES // len(BLOCK))


def send_one_huge_chunk(target: Target) -> Pieces:
    """Announce one chunk far over the limit, and send it."""
    yield _begin_chunks(target) + b"%x\r\n" % FAR_OVER_BYTES
    yield from _fill(FAR_OVER_BYTES, BLOCK)


def send_trailers(target: Target) -> Pieces:
    """Send one chunk and lines of a trailer without an end."""
    yield _begin_chunks(target) + _make_chunk(b"x") + b"0\r\n"
    yield from itertools.repeat(b"X-Trailer: value\r\n" * 1000, 1000)


def send_extensions(target: Target) -> Pieces:
    """Send chunks of a byte with an extension each."""
    yield _begin_chunks(target)
    yield from itertools.repeat(b"1;name=value\r\nx\r\n" * 4000, 1000)


def send_long_extension(target: Target) -> Pieces:
    """Send the extension of a chunk without an end."""
    yield _begin_chunks(target) + b"1;"
    yield from _fill(FAR_OVER_BYTES, BLOCK)


def send_head_without_end(target: Target) -> Pieces:
    """Send header lines of 15 kB, and no end of the head."""
    yield target.head + b"X-Filler: " + b"y" * 7000 + b"\r\nX-Filler: " + b"y" * 7000 + b"\r\n"


def send_endless_head(target: Target) -> Pieces:
    """Send one header line without an end."""
    yield target.head + b"X-Filler: "
    yield from _fill(FAR_OVER_BYTES, BLOCK)


def send_pipelined(target: Target) -> Pieces:
    """Send requests one after the other, and read no answer."""
    yield from itertools.repeat(_announce(target, 1) + b"x", 2000)


def send_one_request(target: Target) -> Pieces:
    """Send one ordinary request, and read no answer."""
    yield _announce(target, 1) + b"x"


def send_nothing(target: Target) -> Pieces:
    """Stay connected without a byte."""
    return iter(())


ALL_KINDS = (
    send_all_but_a_byte,
    send_in_small_pieces,
    send_large_chunks,
    send_tiny_chunks,
    send_mixed_tiny_chunks,
    send_whole,
    announce_far_over,
    send_far_over,
    send_one_huge_chunk,
    send_trailers,
    send_extensions,
    send_long_extension,
    send_head_without_end,
    send_endless_head,
    send_pipelined,
    send_nothing,
)


def make_mixture(seed: int) -> Callable[[Target], Pieces]:
    """Return what clients of all kinds send, each of a kind drawn at its connection."""
    rng = random.Random(seed)

    def send_any(target: Target) -> Pieces:
        return rng.choice(ALL_KINDS)(target)

    return send_any


class _Client:
    """One client of a crowd; ``is_done`` once it has sent its last piece."""

    def __init__(self, kind: ClientKind, target: Target) -> None:
        self._kind = kind
        self._target = target
        self.connect()

    def connect(self) -> None:
        self.is_done = False
        self._pieces = self._kind.make_pieces(self._target)
        self._unsent = memoryview(b"")
        self.socket = socket.socket()
        self.socket.setblocking(False)
        if self._kind.receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._kind.receive_buffer)
        self.socket.connect_ex(self._target.address)

    def send(self) -> None:
        """Send what the server takes; raise ``OSError`` if the connection has ended."""
        budget = SEND_BYTES
        while budget > 0 and not self.is_done:
            if not self._unsent:
                piece = next(self._pieces, None)
                self.is_done = piece is None
                self._unsent = memoryview(piece or b"")
                continue
            try:
                sent = self.socket.send(self._unsent)
            except BlockingIOError:
                return
            self._unsent = self._unsent[sent:]
            budget -= sent


class Crowd:
    """The clients of one kind at one listener."""

    def __init__(self, *, kind: ClientKind, target: Target) -> None:
        """Connect all clients."""
        self._selector = selectors.DefaultSelector()
        self._clients = [_Client(kind, target) for _ in range(kind.count)]
        for client in self._clients:
            self._selector.register(client.socket, selectors.EVENT_WRITE, client)

    def press(self, *, for_s: float, check: Callable[[], None]) -> None:
        """Send until all is sent, or for a time at most; ``check`` is called all along."""
        ends_at = time.monotonic() + for_s
        checked_at = 0.0
        while (now := time.monotonic()) < ends_at and self._selector.get_map():
            for key, _ in self._selector.select(SAMPLE_INTERVAL_S):
                self._serve(key.data)
            if now - checked_at >= SAMPLE_INTERVAL_S:
                checked_at = now
                check()
        for _ in range(int(SETTLE_S / SAMPLE_INTERVAL_S)):
            time.sleep(SAMPLE_INTERVAL_S)
            check()

    def _serve(self, client: _Client) -> None:
        try:
            client.send()
        except OSError:
            self._selector.unregister(client.socket)
            client.socket.close()
            client.connect()
            self._selector.register(client.socket, selectors.EVENT_WRITE, client)
            return
        if client.is_done:
            self._selector.unregister(client.socket)

    def close(self) -> None:
        """Close all connections."""
        self._selector.close()
        for client in self._clients:
            client.socket.close()


@contextmanager
def open_crowd(kind: ClientKind, target: Target) -> Iterator[Crowd]:
    """Open a crowd, whose clients stay connected to the end of the context."""
    crowd = Crowd(kind=kind, target=target)
    try:
        yield crowd
    finally:
        crowd.close()


def measure(pid: int, ports: frozenset[int], host: str) -> Footprint:
    """Return what a process that listens at ``ports`` of ``host`` holds."""
    resident = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES
    descriptors = len(os.listdir(f"/proc/{pid}/fd"))
    return Footprint(memory=resident + _count_unread(host, ports), descriptors=descriptors)


def _count_unread(host: str, ports: frozenset[int]) -> int:
    """Return the bytes that have arrived at a host's ports and that no process has read."""
    raw = socket.inet_aton(host)[::-1].hex().upper()
    addresses = {f"{raw}:{port:04X}" for port in ports}
    unread = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split(None, 5)
        if fields[1] in addresses and fields[3] != LISTEN_STATE:
            unread += int(fields[4].partition(":")[2], 16)
    return unread


def send_to_its_end(target: Target, make_pieces: Callable[[Target], Pieces]) -> bytes:
    """Send what a client of a crowd sends, and the end that it leaves out; return the answer."""
    with socket.create_connection(target.address, SINGLE_TIMEOUT_S) as caller:
        pieces = list(make_pieces(target))
        caller.sendall(b"".join(pieces))
        if b"chunked" in pieces[0]:
            caller.sendall(b"0\r\n\r\n")
        elif sum(map(len, pieces[1:])) < target.max_body:
            caller.sendall(b"x")
        return caller.recv(4096)


def ask(target: Target, *, timeout_s: float) -> bytes:
    """Send an ordinary request with a small body and return the first bytes of its answer."""
    with (
        contextlib.suppress(OSError),
        socket.create_connection(target.address, timeout_s) as caller,
    ):
        caller.settimeout(timeout_s)
        caller.sendall(_frame(target, b"Connection: close\r\nContent-Length: 4") + b"body")
        return caller.recv(4096)
    return b""
