"""A stand-in endpoint that simulates a model engine or a plain service in its own process."""

import signal
import socket
import time
from collections.abc import Callable, Iterator
from typing import Annotated, Any

import gevent
import msgspec
import typer
from bottle import Bottle, HTTPResponse, request
from gevent.event import Event
from gevent.pywsgi import WSGIHandler, WSGIServer

from standins.announcer import Announcer
from standins.cache import PrefixCache
from standins.const import (
    DEFAULT_CACHE_CHATS,
    DEFAULT_TOKEN_MS,
    DEFAULT_TOKENS,
    HEADER_DID_NOT_RUN,
    HEADER_REQUEST_ID,
    LEASE_S,
    STOP_TIMEOUT_S,
)
from standins.models import EndpointIdentity, Faults, SeenRequest


class NoDelayHandler(WSGIHandler):
    """Request handler that sets TCP_NODELAY, so that each write is sent at once.

    pywsgi writes head and body separately. With Nagle's algorithm the body would wait up to
    40 ms for the peer's acknowledgement of the head.
    """

    def handle(self) -> None:
        """Disable Nagle's algorithm and serve the connection."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Close the connection without an answer for an injected crash."""
        if isinstance(v, CutError):
            self.close_connection = True
            return
        super().handle_error(t, v, tb)


class CutError(Exception):
    """Aborts an answer to simulate an engine that crashes."""


class StandInEndpoint:
    """Serves chat completions and plain calls, and records the requests that it receives."""

    def __init__(
        self,
        *,
        identity: EndpointIdentity,
        tokens: int,
        token_ms: float,
        cache_chats: int,
        end: Callable[[], None],
    ) -> None:
        """Initialize the endpoint.

        An answer has ``tokens`` tokens, each of which takes ``token_ms`` milliseconds; the
        prefix cache holds ``cache_chats`` chats. ``end`` requests the end of the process.
        """
        self.identity = identity
        self.faults = Faults()
        self.seen: list[SeenRequest] = []
        self.in_flight = 0
        self.leaving = False
        self._tokens = tokens
        self._token_s = token_ms / 1000
        self._cache = PrefixCache(chats=cache_chats)
        self._end = end

    def build(self) -> Bottle:
        """Return the WSGI application."""
        app = Bottle(catchall=False)
        app.route("/v1/chat/completions", "POST", self._serve_chat)
        app.route("/standin/seen", "GET", self._show_seen)
        app.route("/standin/faults", "POST", self._set_faults)
        app.route("/<path:path>", ["GET", "POST", "PUT", "DELETE"], self._serve_call)
        return app

    def _show_seen(self) -> HTTPResponse:
        return _answer_json({"seen": self.seen, "in_flight": self.in_flight}, "")

    def _set_faults(self) -> HTTPResponse:
        self.faults = msgspec.convert(msgspec.json.decode(request.body.read()), Faults)
        return HTTPResponse(status=204)

    def _record(self, *, chat: str, ran: bool = True) -> SeenRequest:
        seen = SeenRequest(
            request_id=request.get_header(HEADER_REQUEST_ID, ""),
            chat=chat,
            path=request.path,
            priority=request.get_header("X-Priority", ""),
            traceparent=request.get_header("traceparent", ""),
            idempotency_key=request.get_header("Idempotency-Key", ""),
            ran=ran,
        )
        self.seen.append(seen)
        return seen

    def _inject_early_fault(self, fault: str, chat: str) -> HTTPResponse | None:
        if fault == "refuse":
            self._record(chat=chat, ran=False)
            headers = {HEADER_DID_NOT_RUN: "true", "Retry-After": "1"}
            return HTTPResponse(status=503, headers=headers)
        if fault == "late":
            gevent.sleep(self.faults.delay_s)
        if fault == "error":
            self._record(chat=chat)
            return _answer_json({"error": "played"}, "", status=500)
        if fault == "die":
            self._record(chat=chat)
            raise CutError
        return None

    def _serve_call(self, path: str) -> HTTPResponse:
        chat = request.get_header("X-Chat-Id", "")
        fault = self.faults.pop_next()
        early = self._inject_early_fault(fault, chat)
        if early is not None:
            return early
        seen = self._record(chat=chat)
        seen.finished = True
        answer = {
            "endpoint": self.identity.endpoint_id,
            "path": path,
            "query": request.query_string,
            "run": len(self.seen),
            "echo": request.body.read().decode(),
        }
        return _answer_json(answer, _echo_id(fault))

    def _serve_chat(self) -> HTTPResponse:
        body = msgspec.json.decode(request.body.read())
        chat = request.get_header("X-Chat-Id", "")
        fault = self.faults.pop_next()
        early = self._inject_early_fault(fault, chat)
        if early is not None:
            return early
        seen = self._record(chat=chat)
        seen.cached = self._cache.use(chat)
        text = str(body["messages"][-1].get("content", ""))
        if not body.get("stream"):
            return self._answer_unstreamed(seen, text, fault)
        headers = {"Content-Type": "text/event-stream", HEADER_REQUEST_ID: _echo_id(fault)}
        stream = TokenStream(endpoint=self, seen=seen, text=text, fault=fault, count=self._tokens)
        return HTTPResponse(body=stream, status=200, headers=headers)

    def _answer_unstreamed(self, seen: SeenRequest, text: str, fault: str) -> HTTPResponse:
        self.in_flight += 1
        try:
            gevent.sleep(self._tokens * self._token_s)
        except BaseException:
            seen.cancelled = True
            raise
        finally:
            self.in_flight -= 1
        seen.finished = True
        content = "".join(self.make_token(seen, text, i) for i in range(self._tokens))
        answer = {
            "object": "chat.completion",
            "endpoint": self.identity.endpoint_id,
            "cached": seen.cached,
            "choices": [{"message": {"role": "assistant", "content": content}}],
        }
        response = _answer_json(answer, _echo_id(fault))
        if fault == "cut":
            response.headers["Content-Length"] = str(len(response.body) + 10)
            response.headers["Connection"] = "close"
        if fault == "double":
            response.body += _format_raw_answer(response)
        return response

    def make_token(self, seen: SeenRequest, text: str, number: int) -> str:
        """Return a token that names its request, so that tests can detect mixed-up answers."""
        return f"{seen.chat}/{text}/{number} "

    def wait_token(self) -> None:
        """Wait for the time of one token."""
        gevent.sleep(self._token_s)


class TokenStream:
    """The chunks of one streamed answer; closing it before its end counts as a cancel."""

    def __init__(
        self, *, endpoint: StandInEndpoint, seen: SeenRequest, text: str, fault: str, count: int
    ) -> None:
        """Count the stream as in flight."""
        self._endpoint = endpoint
        self._seen = seen
        self._chunks = self._make_chunks(text, fault, count)
        self._open = True
        endpoint.in_flight += 1

    def __iter__(self) -> "TokenStream":
        return self

    def __next__(self) -> bytes:
        return next(self._chunks)

    def close(self) -> None:
        """Count the stream as ended, and as cancelled if it was not finished."""
        if not self._open:
            return
        self._open = False
        self._endpoint.in_flight -= 1
        self._seen.cancelled = not self._seen.finished

    def _make_chunks(self, text: str, fault: str, count: int) -> Iterator[bytes]:
        faults = self._endpoint.faults
        for number in range(count):
            if fault in ("cut", "truncate", "stall") and number == faults.after_chunks:
                if fault == "cut":
                    raise CutError
                if fault == "truncate":
                    return
                gevent.sleep(faults.delay_s)
            self._endpoint.wait_token()
            yield self._make_event(text, number)
        self._seen.finished = True
        yield b"data: [DONE]\n\n"

    def _make_event(self, text: str, number: int) -> bytes:
        token = self._endpoint.make_token(self._seen, text, number)
        event = {
            "object": "chat.completion.chunk",
            "endpoint": self._endpoint.identity.endpoint_id,
            "cached": self._seen.cached,
            "choices": [{"delta": {"content": token}}],
        }
        return b"data: " + msgspec.json.encode(event) + b"\n\n"


def _echo_id(fault: str) -> str:
    given = request.get_header(HEADER_REQUEST_ID, "")
    return "another-request" if fault == "wrong_id" else given


def _format_raw_answer(response: HTTPResponse) -> bytes:
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in response.headerlist)]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + response.body


def _answer_json(value: Any, request_id: str, *, status: int = 200) -> HTTPResponse:
    headers = {"Content-Type": "application/json"}
    if request_id:
        headers[HEADER_REQUEST_ID] = request_id
    body = msgspec.json.encode(value)
    headers["Content-Length"] = str(len(body))
    return HTTPResponse(body=body, status=status, headers=headers)


def serve(
    *,
    identity: EndpointIdentity,
    listen: str,
    announce_to: list[str],
    tokens: int,
    token_ms: float,
    cache_chats: int,
    key: str,
) -> None:
    """Serve until SIGTERM; then announce ``leaving`` and complete the requests in flight."""
    stop = Event()
    endpoint = StandInEndpoint(
        identity=identity,
        tokens=tokens,
        token_ms=token_ms,
        cache_chats=cache_chats,
        end=stop.set,
    )
    host, _, port = listen.rpartition(":")
    server = WSGIServer(
        (host, int(port)),
        endpoint.build(),
        log=None,
        error_log=None,
        handler_class=NoDelayHandler,
    )
    server.start()
    address = f"{host}:{server.server_port}"

    def make_announcement(state: str) -> dict[str, Any]:
        return identity.make_announcement(address=address, state=state, lease_s=LEASE_S)

    announcer = Announcer(targets=announce_to, make_announcement=make_announcement, key=key)
    loop = gevent.spawn(announcer.run)
    gevent.signal_handler(signal.SIGTERM, stop.set)
    print(f"ready {address}", flush=True)
    stop.wait()
    announcer.state = "leaving"
    announcer.announce()
    deadline = time.monotonic() + STOP_TIMEOUT_S
    gevent.sleep(LEASE_S)
    while endpoint.in_flight and time.monotonic() < deadline:
        gevent.sleep(0.05)
    loop.kill()
    server.stop(timeout=1)


def main(
    endpoint_id: Annotated[str, typer.Option("--id", help="Endpoint id.")],
    announce_to: Annotated[
        list[str] | None, typer.Option("--announce-to", help="http://host:port")
    ] = None,
    listen: Annotated[str, typer.Option(help="host:port; port 0 chooses one.")] = "127.0.0.1:0",
    kind: Annotated[str, typer.Option(help="engine or service.")] = "engine",
    service: Annotated[
        str, typer.Option(help="Service that the endpoint belongs to.")
    ] = "valuation",
    model: Annotated[
        list[str] | None, typer.Option(help="Models that the endpoint serves.")
    ] = None,
    region: Annotated[str, typer.Option(help="Region.")] = "kyushu",
    zone: Annotated[str, typer.Option(help="Availability zone.")] = "fukuoka-hall",
    capacity: Annotated[int, typer.Option(help="Requests served at once.")] = 16,
    tokens: Annotated[int, typer.Option(help="Tokens of each answer.")] = DEFAULT_TOKENS,
    token_ms: Annotated[float, typer.Option(help="Time per token in ms.")] = DEFAULT_TOKEN_MS,
    cache_chats: Annotated[int, typer.Option(help="Chats in the cache.")] = DEFAULT_CACHE_CHATS,
    incarnation: Annotated[int, typer.Option(help="Incarnation; 0: the current time in ms.")] = 0,
    key: Annotated[str, typer.Option(help="Key for the announcements.")] = "",
) -> None:
    """Run a stand-in endpoint."""
    identity = EndpointIdentity(
        endpoint_id=endpoint_id,
        incarnation=incarnation or time.time_ns() // 1_000_000,
        kind=kind,
        service=service,
        region=region,
        zone=zone,
        capacity=capacity,
        models=model or [],
    )
    serve(
        identity=identity,
        listen=listen,
        announce_to=announce_to or [],
        tokens=tokens,
        token_ms=token_ms,
        cache_chats=cache_chats,
        key=key,
    )
