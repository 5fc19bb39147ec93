"""Scripted endpoint that answers with raw bytes, to reproduce faults byte by byte."""

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Stall:
    """Send nothing until the client closes the connection."""


@dataclass(slots=True)
class Script:
    """The answers of one connection, one per request; the connection is closed after them."""

    answers: list[list[bytes | Stall]] = field(default_factory=list)


class ScriptedServer:
    """Serves one script per connection and records the received requests."""

    def __init__(self, scripts: list[Script]) -> None:
        self._scripts = scripts
        self.connections = 0
        self.requests: list[bytes] = []
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"http://127.0.0.1:{self._socket.getsockname()[1]}"
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        for script in self._scripts:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            self.connections += 1
            thread = threading.Thread(target=self._serve, args=(connection, script), daemon=True)
            thread.start()

    def _serve(self, connection: socket.socket, script: Script) -> None:
        with connection:
            self._answer(connection, script)

    def _answer(self, connection: socket.socket, script: Script) -> None:
        for answer in script.answers:
            if not self._read(connection):
                return
            for part in answer:
                if isinstance(part, Stall):
                    connection.recv(1)
                    return
                connection.sendall(part)

    def _read(self, connection: socket.socket) -> bool:
        data = b""
        while HEAD_END not in data:
            received = connection.recv(65536)
            if not received:
                return False
            data += received
        # The body may arrive after the head. Answering earlier would record a request
        # without its body.
        length = _find_length(data)
        while len(data) < length:
            received = connection.recv(65536)
            if not received:
                return False
            data += received
        self.requests.append(data)
        return True

    def close(self) -> None:
        self._socket.close()


def _find_length(data: bytes) -> int:
    """Return the length of a request including its body, in bytes."""
    head, end, _ = data.partition(HEAD_END)
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(head) + len(end) + int(line.partition(b":")[2])
    return len(head) + len(end)


@contextmanager
def open_server(*scripts: Script) -> Iterator[ScriptedServer]:
    """Yield a server that accepts one connection per script."""
    server = ScriptedServer(list(scripts))
    try:
        yield server
    finally:
        server.close()
