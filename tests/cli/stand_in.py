"""A small resource API for tests of the command line, which can inject faults."""

import io
import json
import socket
import threading
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum, auto
from socketserver import ThreadingMixIn
from typing import Any
from wsgiref import simple_server

import bottle

from chivetrack.helpers.tls import Tls

Document = dict[str, Any]


class Fault(Enum):
    """A fault that is injected into the next request."""

    NONE = auto()
    LOSE_REQUEST = auto()
    LOSE_ANSWER = auto()
    CUT_ANSWER = auto()


class StandIn:
    def __init__(self) -> None:
        self.resources: dict[tuple[str, str], Document] = {}
        self.answers: dict[str, tuple[int, Document]] = {}
        self.requests: list[tuple[str, str, str | None]] = []
        self.faults: deque[Fault | tuple[int, Document | str]] = deque()
        self.streams: deque[list[bytes]] = deque()
        self.queries: list[dict[str, str]] = []
        self.keys: list[str | None] = []
        self.documents: dict[str, Document] = {}
        self.content = b""
        self.revision = 10
        self.page = 500
        self.url = ""

    def count(self, method: str) -> int:
        return sum(entry[0] == method for entry in self.requests)

    def handle(self, path: str = "") -> bytes | Iterator[bytes]:
        request = bottle.request
        request_id = request.get_header("X-Request-Id")
        self.requests.append((request.method, path, request_id))
        self.keys.append(request.get_header("Authorization"))
        self.queries.append(dict(request.query))
        fault = self.faults.popleft() if self.faults else Fault.NONE
        if isinstance(fault, tuple):
            bottle.response.status = fault[0]
            return fault[1].encode() if isinstance(fault[1], str) else json.dumps(fault[1]).encode()
        if fault is Fault.LOSE_REQUEST:
            _close_connection(request)
        if request.query.get("watch"):
            return iter(self.streams.popleft())
        status, document = self._answer_once(path, request_id)
        if fault is Fault.LOSE_ANSWER:
            _close_connection(request)
        is_content = path == "backup" and request.method == "GET"
        body = self.content if is_content else json.dumps(document).encode()
        bottle.response.status = status
        if fault is Fault.CUT_ANSWER:
            bottle.response.set_header("Content-Length", str(len(body) + 9))
        return body

    def _answer_once(self, path: str, request_id: str | None) -> tuple[int, Document]:
        if request_id is None:
            return self._answer(path)
        if request_id not in self.answers:
            self.answers[request_id] = self._answer(path)
        return self.answers[request_id]

    def _answer(self, path: str) -> tuple[int, Document]:
        if path in self.documents:
            return 200, self.documents[path]
        if path == "backup":
            self.content = bottle.request.body.read() or self.content
            return 200, {}
        kind, _, name = path.partition("/")
        method: Callable[[str, str], tuple[int, Document]]
        method = getattr(self, f"_{bottle.request.method.lower()}")
        return method(kind, name)

    def _get(self, kind: str, name: str) -> tuple[int, Document]:
        if not name:
            return 200, self._list(kind)
        if (kind, name) not in self.resources:
            return 404, write_error("not_found", f"there is no {kind} {name}")
        return 200, self.resources[kind, name]

    def _list(self, kind: str) -> Document:
        start = int(bottle.request.query.get("continue", "0"))
        items = [item for key, item in sorted(self.resources.items()) if key[0] == kind]
        page: Document = {"items": items[start : start + self.page], "revision": self.revision}
        if start + self.page < len(items):
            page["continue"] = str(start + self.page)
        return page

    def _post(self, kind: str, name: str) -> tuple[int, Document]:
        document = bottle.request.json
        if kind == "replicas":
            self.documents[f"replicas/{document['id']}"] = document
            return 200, document
        return 201, self.store(document)

    def _put(self, kind: str, name: str) -> tuple[int, Document]:
        document = bottle.request.json
        current = self.resources.get((kind, name))
        if current and current["metadata"]["revision"] != document["metadata"].get("revision"):
            return 409, write_error("conflict", "another change came first")
        return 200, self.store(document)

    def _delete(self, kind: str, name: str) -> tuple[int, Document]:
        if self.resources.pop((kind, name), None) is None:
            return 404, write_error("not_found", f"there is no {kind} {name}")
        return 200, {}

    def store(self, document: Document) -> Document:
        self.revision += 1
        metadata = {**document["metadata"], "revision": self.revision}
        stored = {**document, "metadata": metadata}
        self.resources[stored["kind"], metadata["name"]] = stored
        return stored


def write_error(code: str, message: str, ran: str = "no", **more: Any) -> Document:
    return {"error": {"code": code, "message": message, "ran": ran, **more}}


@contextmanager
def open_stand_in(tls: Tls | None = None) -> Iterator[StandIn]:
    stand_in = StandIn()
    app = bottle.Bottle()
    app.route("/api/v1/<path:path>", ["GET", "POST", "PUT", "DELETE"], stand_in.handle)
    server = simple_server.make_server(
        "127.0.0.1", 0, app, server_class=_Server, handler_class=_Handler
    )
    stand_in.url = f"{'https' if tls else 'http'}://127.0.0.1:{server.server_port}"
    if tls is not None:
        server.socket = tls.server_context.wrap_socket(server.socket, server_side=True)
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01})
    thread.start()
    try:
        yield stand_in
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


class _Server(ThreadingMixIn, simple_server.WSGIServer):
    daemon_threads = True

    def handle_error(self, request: Any, client_address: Any) -> None:
        pass


class _Handler(simple_server.WSGIRequestHandler):
    def get_environ(self) -> Document:
        return {**super().get_environ(), "stand_in.socket": self.connection}

    def get_stderr(self) -> io.StringIO:  # type: ignore[override]
        return io.StringIO()

    def log_message(self, *args: object) -> None:
        pass


def _close_connection(request: bottle.BaseRequest) -> None:
    request.environ["stand_in.socket"].shutdown(socket.SHUT_RDWR)
    raise ConnectionAbortedError
