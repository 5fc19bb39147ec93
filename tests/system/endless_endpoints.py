"""A program with endpoints that answer without end, or soundly, as the path of a request says.

Its arguments are addresses, one for each endpoint; it serves until it is killed.
"""

import contextlib
import http.server
import sys
import threading

PIECE_BYTES = 65_536
ORDINARY = "ordinary"


def _repeat(data: bytes) -> bytes:
    return data * (PIECE_BYTES // len(data))


INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# What follows the head's first lines, and what is written after it without end.
KINDS: dict[str, tuple[bytes, bytes]] = {
    "head-lines": (b"", _repeat(b"X-Name: value\r\n")),
    "trailer-lines": (CHUNKED + b"0\r\n", _repeat(b"a:\r\n")),
    "tiny-chunks": (CHUNKED, _repeat(b"1\r\nx\r\n")),
    "uneven-chunks": (CHUNKED, _repeat(b"1\r\nx\r\n02\r\nxy\r\n")),
    "large-chunks": (CHUNKED, b"f000\r\n" + b"x" * 0xF000 + b"\r\n"),
    "interim": (b"", _repeat(INTERIM)),
    "raw": (b"\r\n", b"x" * PIECE_BYTES),
}


class EndlessHandler(http.server.BaseHTTPRequestHandler):
    """Answers one request."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:  # noqa: N802
        """Answer a probe."""
        self._answer(b"")

    def do_POST(self) -> None:  # noqa: N802
        """Answer with what the last part of the path names."""
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        kind = self.path.rpartition("/")[2]
        if kind == ORDINARY:
            self._answer(b"whole")
            return
        begin, piece = KINDS[kind]
        self.close_connection = True
        with contextlib.suppress(OSError):
            self.wfile.write((b"" if kind == "interim" else self._make_head()) + begin)
            while True:
                self.wfile.write(piece)

    def _make_head(self) -> bytes:
        attempt = self.headers.get("X-Chivetrack-Attempt-Id", "")
        lines = [
            "HTTP/1.1 200 OK",
            "X-Chivetrack-Server-Seal: seal",
            f"X-Chivetrack-Attempt-Id: {attempt}",
        ]
        return "\r\n".join(lines).encode() + b"\r\n"

    def _answer(self, body: bytes) -> None:
        self.wfile.write(self._make_head() + b"Content-Length: %d\r\n\r\n" % len(body) + body)

    def log_message(self, format: str, *args: object) -> None:
        """Suppress the access log."""


class EndlessEndpoint(http.server.ThreadingHTTPServer):
    """An endpoint with a thread for each connection."""

    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: object, client_address: object) -> None:
        """Suppress tracebacks: routers close such connections."""


def main() -> None:
    """Serve at all addresses."""
    servers = []
    for address in sys.argv[1:]:
        host, _, port = address.rpartition(":")
        servers.append(EndlessEndpoint((host, int(port)), EndlessHandler))
    threads = [threading.Thread(target=one.serve_forever) for one in servers]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    main()
