"""A server that begins an answer to each caller and is killed in the middle of it."""

from typing import Any

import gevent

from chivetrack.daemon.server import HttpServer

PIECE = b"data: first\n\n"


def answer(environ: Any, start_response: Any) -> list[bytes]:
    start_response("200 OK", [("Content-Type", "text/event-stream")])(PIECE)
    gevent.sleep(60)
    return []


if __name__ == "__main__":
    server = HttpServer(address=("127.0.0.1", 0), application=answer, is_closing=lambda: False)
    server.start()
    print(server.server_port, flush=True)
    while True:
        gevent.sleep(1)
