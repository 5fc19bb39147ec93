"""A link between instances that can be cut without a sign, as a process of its own.

It stands before one instance's peer port. The file given by ``--cuts`` names process
ids, one a line: bytes from and to those processes are swallowed while the connections
stay up. A ``*`` swallows everything.
"""

import os
import signal
import socket
import sys
from pathlib import Path
from typing import Annotated

import gevent
import typer
from gevent.server import StreamServer

from standins.const import RECEIVE_BUFFER_BYTES

CUTS_POLL_INTERVAL_S = 0.05
MAX_TABLE_READS = 20
TABLE_RETRY_DELAY_S = 0.005
# gRPC opens sockets that speak both versions of IP where the machine has both; those to an
# IPv4 address stand in the second table, with the address behind this prefix.
TCP_TABLES = ((Path("/proc/net/tcp"), ""), (Path("/proc/net/tcp6"), "0000000000000000FFFF0000"))


SocketAddress = tuple[str, int]


def find_owner(inode: str, pids: list[int]) -> int:
    """Return which of the processes owns the socket with an inode, or 0."""
    if not inode:
        return 0
    for pid in pids:
        if _has_socket(pid, f"socket:[{inode}]"):
            return pid
    return 0


def find_inode(source: SocketAddress, target: SocketAddress) -> str:
    """Return the inode of the socket that connects source to target, empty if there is none.

    Both ends count: two processes may connect from the same local port to different
    targets at once, and the port alone would name either of them. The kernel gives its
    table out in pieces, and a socket that others move past meanwhile is left out; so it
    is read again before a connection counts as unknown.
    """
    for _ in range(MAX_TABLE_READS):
        for table, prefix in TCP_TABLES:
            wanted = [prefix + _format_address(source), prefix + _format_address(target)]
            inode = _read_inode(table, wanted)
            if inode:
                return inode
        gevent.sleep(TABLE_RETRY_DELAY_S)
    return ""


def _read_inode(table: Path, wanted: list[str]) -> str:
    if not table.exists():
        return ""
    for line in table.read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1:3] == wanted and fields[9] != "0":
            return fields[9]
    return ""


def _format_address(end: SocketAddress) -> str:
    """Write an address as the kernel's table does: hexadecimal, in its own byte order."""
    number = int.from_bytes(socket.inet_aton(end[0]), sys.byteorder)
    return f"{number:08X}:{end[1]:04X}"


def _has_socket(pid: int, name: str) -> bool:
    folder = Path(f"/proc/{pid}/fd")
    try:
        links = list(folder.iterdir())
    except OSError:
        return False
    for link in links:
        try:
            if os.readlink(link) == name:
                return True
        except OSError:
            continue
    return False


def get_applied_path(cuts: Path) -> Path:
    """Return the file into which a link writes the cuts that it has taken."""
    return cuts.with_suffix(".taken")


class Link:
    """Pipes connections to one instance and swallows what is cut."""

    def __init__(self, *, listen: str, target: str, cuts: Path) -> None:
        """Bind the listener."""
        host, _, port = listen.rpartition(":")
        self._target = target
        self._cuts = cuts
        self._cut: frozenset[str] = frozenset()
        self._text: str | None = None
        self.server = StreamServer((host, int(port)), self._handle)

    def watch(self) -> None:
        """Read the file of cuts again and again."""
        while True:
            try:
                text = self._cuts.read_text()
            except OSError:
                text = ""
            if text != self._text:
                self._text = text
                self._cut = frozenset(text.split())
                get_applied_path(self._cuts).write_text(text)
            gevent.sleep(CUTS_POLL_INTERVAL_S)

    def _handle(self, source: socket.socket, address: tuple[str, int]) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            sink = socket.create_connection((host, int(port)), timeout=2)
        except OSError:
            source.close()
            return
        sink.settimeout(None)
        inode = find_inode((address[0], address[1]), source.getsockname()[:2])
        other = gevent.spawn(self._pump, sink, source, inode)
        self._pump(source, sink, inode)
        other.join()
        source.close()
        sink.close()

    def _pump(self, source: socket.socket, sink: socket.socket, inode: str) -> None:
        try:
            while data := source.recv(RECEIVE_BUFFER_BYTES):
                if not self._is_cut(inode):
                    sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            source.close()
            sink.close()

    def _is_cut(self, inode: str) -> bool:
        if not self._cut:
            return False
        if "*" in self._cut:
            return True
        return find_owner(inode, [int(pid) for pid in self._cut]) != 0


def main(
    listen: Annotated[str, typer.Option(help="host:port.")],
    target: Annotated[str, typer.Option(help="host:port of the instance.")],
    cuts: Annotated[Path, typer.Option(help="File with the process ids that are cut.")],
) -> None:
    """Run a link until SIGTERM."""
    link = Link(listen=listen, target=target, cuts=cuts)
    link.server.start()
    loop = gevent.spawn(link.watch)
    gevent.signal_handler(signal.SIGTERM, loop.kill)
    print(f"ready {listen}", flush=True)
    loop.join()
    link.server.stop(timeout=0)
