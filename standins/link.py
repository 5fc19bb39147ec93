"""A proxy for the peer port of one instance that can drop bytes to simulate a partition.

It runs in its own process. The file given by ``--cuts`` lists process ids, one per line:
bytes from and to those processes are dropped while their connections stay open. A ``*``
drops all bytes.
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
# gRPC opens dual-stack sockets where the machine supports IPv6. Their connections to IPv4
# addresses are listed in the tcp6 table, with this prefix before the address.
TCP_TABLES = ((Path("/proc/net/tcp"), ""), (Path("/proc/net/tcp6"), "0000000000000000FFFF0000"))


SocketAddress = tuple[str, int]


def find_owner(inode: str, pids: list[int]) -> int:
    """Return the id of the process in ``pids`` that owns the socket ``inode``, or 0."""
    if not inode:
        return 0
    for pid in pids:
        if _has_socket(pid, f"socket:[{inode}]"):
            return pid
    return 0


def find_inode(source: SocketAddress, target: SocketAddress) -> str:
    """Return the inode of the socket that connects source to target, or an empty string.

    Both ends are compared: two processes may connect from the same local port to different
    targets at once, so the port alone is ambiguous. The kernel returns its table in pieces
    and omits a socket whose position changes between two of them, so the table is read up to
    ``MAX_TABLE_READS`` times before a connection counts as unknown.
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
    """Format an address as in the kernel's table: hexadecimal, in the machine's byte order."""
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
    """Return the path of the file to which a link writes the cuts that it has applied."""
    return cuts.with_suffix(".taken")


class Link:
    """Forwards connections to one instance and drops the bytes of cut processes."""

    def __init__(self, *, listen: str, target: str, cuts: Path) -> None:
        """Create the server; ``listen`` and ``target`` have the form ``host:port``."""
        host, _, port = listen.rpartition(":")
        self._target = target
        self._cuts = cuts
        self._cut: frozenset[str] = frozenset()
        self._text: str | None = None
        self.server = StreamServer((host, int(port)), self._handle)

    def watch(self) -> None:
        """Poll the file of cuts and apply its changes until the greenlet is killed."""
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
        reverse = gevent.spawn(self._pump, sink, source, inode)
        self._pump(source, sink, inode)
        reverse.join()
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
    cuts: Annotated[Path, typer.Option(help="File with the ids of the processes to cut off.")],
) -> None:
    """Run a link until SIGTERM."""
    link = Link(listen=listen, target=target, cuts=cuts)
    link.server.start()
    loop = gevent.spawn(link.watch)
    gevent.signal_handler(signal.SIGTERM, loop.kill)
    print(f"ready {listen}", flush=True)
    loop.join()
    link.server.stop(timeout=0)
