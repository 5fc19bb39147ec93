"""A link between instances that can be cut without a sign, as a process of its own.

It stands before one instance's peer port. The file given by ``--cuts`` names process
ids, one a line: bytes from and to those processes are swallowed while the connections
stay up. A ``*`` swallows everything.
"""

import os
import signal
import socket
from pathlib import Path
from typing import Annotated

import gevent
import typer
from gevent.server import StreamServer

from standins.const import PUMP_SIZE

READ_EVERY_S = 0.05
TCP_TABLE = Path("/proc/net/tcp")


def find_owner(port: int, pids: list[int]) -> int:
    """Return which of the processes owns the connection from this local port, or 0."""
    inode = _find_inode(port)
    if not inode:
        return 0
    for pid in pids:
        if _owns(pid, f"socket:[{inode}]"):
            return pid
    return 0


def _find_inode(port: int) -> str:
    for line in TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].rpartition(":")[2], 16) == port and fields[9] != "0":
            return fields[9]
    return ""


def _owns(pid: int, name: str) -> bool:
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


class Link:
    """Pipes connections to one instance and swallows what is cut."""

    def __init__(self, *, listen: str, target: str, cuts: Path) -> None:
        """Bind the listener."""
        host, _, port = listen.rpartition(":")
        self._target = target
        self._cuts = cuts
        self._cut: frozenset[str] = frozenset()
        self.server = StreamServer((host, int(port)), self._handle)

    def watch(self) -> None:
        """Read the file of cuts again and again."""
        while True:
            try:
                self._cut = frozenset(self._cuts.read_text().split())
            except OSError:
                self._cut = frozenset()
            gevent.sleep(READ_EVERY_S)

    def _handle(self, source: socket.socket, address: tuple[str, int]) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            sink = socket.create_connection((host, int(port)), timeout=2)
        except OSError:
            source.close()
            return
        sink.settimeout(None)
        source_port = address[1]
        other = gevent.spawn(self._pump, sink, source, source_port)
        self._pump(source, sink, source_port)
        other.join()
        source.close()
        sink.close()

    def _pump(self, source: socket.socket, sink: socket.socket, port: int) -> None:
        try:
            while data := source.recv(PUMP_SIZE):
                if not self._is_cut(port):
                    sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            source.close()
            sink.close()

    def _is_cut(self, port: int) -> bool:
        if not self._cut:
            return False
        if "*" in self._cut:
            return True
        return find_owner(port, [int(pid) for pid in self._cut]) != 0


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
