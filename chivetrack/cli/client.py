"""Client of the resource API, which reports the outcome of each request or that it is unknown.

A write has a request id that is the same on every attempt, so the server answers a repeated
attempt with the outcome of the first. Without the id, a client that lost an answer could only
report a change as failed that was made, or make the change twice.
"""

import random
import ssl
import time
import uuid
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from typing import Any
from urllib.parse import quote, urlencode

import msgspec
import urllib3
from expression import Error, Ok, Result
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError, SSLError

from chivetrack.cli import const
from chivetrack.cli.models import Document, ErrorBody, Failure, FailureKind, RemoteError
from chivetrack.cli.profile import Connection
from chivetrack.components.upstream.strict_pool import open_pool_manager, request_whole
from chivetrack.const import VERSION
from chivetrack.exceptions import Ran
from chivetrack.helpers.finding import Finding

_TIMEOUT_STATUSES = (408, 425, 499)
# Statuses that concern the request itself and would be the same on every attempt. The other
# statuses (such as 401, 429 or 503) concern one attempt only.
_FINAL_STATUSES = (400, 404, 409, 410, 412, 413, 415, 422)


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """One request; ``path`` is relative to the prefix of the API."""

    method: str
    path: str
    query: dict[str, str | int] = field(default_factory=dict)
    document: Document | None = None
    content: bytes | None = None

    @property
    def is_write(self) -> bool:
        """Return whether the request may change something."""
        return self.method != "GET"


class Client:
    """Sends requests, with retries until the outcome is known or the timeout has passed."""

    def __init__(
        self,
        *,
        connection: Connection,
        context: ssl.SSLContext | None = None,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
        rng: random.Random | None = None,
        notify: Callable[[str], None] = lambda text: None,
    ) -> None:
        """Initialize without opening a connection; tests replace clock, sleep and rng.

        ``notify`` is called at most once for each request, with the reason why it takes long.
        """
        self._connection = connection
        self._clock = clock
        self._sleep = sleep
        self._rng = rng or random.Random()
        self._notify = notify
        self._pool = open_pool_manager(retries=False, ssl_context=context)

    def read(self, path: str, **query: str | int) -> Result[Document, Failure]:
        """Get a document."""
        return self.send(Request(method="GET", path=path, query=query))

    def read_bytes(self, path: str) -> Result[bytes, Failure]:
        """Get the body of an answer as bytes."""
        return self._send_with_retries(Request(method="GET", path=path))

    def send(self, request: Request) -> Result[Document, Failure]:
        """Send a request, with the same request id on every attempt until the outcome is known."""
        return self._send_with_retries(request).bind(lambda body: _decode(body, request))

    def pause(self, seconds: float) -> None:
        """Sleep before the caller retries."""
        self._sleep(seconds)

    def _send_with_retries(self, request: Request) -> Result[bytes, Failure]:
        """Send until there is an outcome or the timeout has passed.

        The failure of a write whose answer was lost is kept: later failures do not say
        whether that attempt changed anything.
        """
        started = self._clock()
        deadline = started + self._connection.timeout_s
        is_notified = False
        request_id = str(uuid.uuid4()) if request.is_write else None
        lost_answer: Failure | None = None
        backoff = const.INITIAL_BACKOFF_S
        while True:
            remaining_s = max(deadline - self._clock(), const.MIN_ATTEMPT_S)
            result = self._attempt(request, request_id, remaining_s)
            if result.is_ok():
                return result
            failure = result.error
            if failure.kind is FailureKind.UNKNOWN and request.is_write:
                lost_answer = failure
            wait = failure.retry_after_s
            if wait is None:
                wait = backoff * self._rng.uniform(0.5, 1.0)
            if not _should_retry(failure) or self._clock() + wait >= deadline:
                return Error(_resolve_failure(failure, lost_answer, request))
            if not is_notified and self._clock() - started >= const.NOTIFY_AFTER_S:
                self._notify(f"{failure}; trying for up to {self._connection.timeout_s:g} s")
                is_notified = True
            self._sleep(wait)
            backoff = min(backoff * 2, const.MAX_BACKOFF_S)

    def _attempt(
        self, request: Request, request_id: str | None, remaining_s: float
    ) -> Result[bytes, Failure]:
        try:
            answer = request_whole(
                self._pool,
                request.method,
                self._make_url(request),
                body=_encode(request),
                headers=self._make_headers(request, request_id),
                timeout=urllib3.Timeout(
                    connect=min(const.CONNECT_TIMEOUT_S, remaining_s),
                    read=min(const.READ_TIMEOUT_S, remaining_s),
                ),
            )
        except HTTPError as error:
            if _may_have_arrived(error):
                return Error(_make_lost_answer_failure(error, request_id))
            return Error(_make_unreachable_failure(self._connection.server, error))
        if answer.status < 300:
            return Ok(answer.body)
        failure = _read_failure(answer.status, answer.body)
        return Error(replace(failure, request_id=request_id))

    @contextmanager
    def open_stream(self, request: Request) -> Iterator[Result[Iterator[bytes], Failure]]:
        """Open a stream of lines, which ends without an error when the connection is lost."""
        try:
            response = self._pool.request(
                request.method,
                self._make_url(request),
                headers=self._make_headers(request, None),
                timeout=urllib3.Timeout(
                    connect=const.CONNECT_TIMEOUT_S, read=const.WATCH_READ_TIMEOUT_S
                ),
                redirect=False,
                preload_content=False,
            )
        except HTTPError as error:
            yield Error(_make_unreachable_failure(self._connection.server, error))
            return
        try:
            if response.status < 300:
                yield Ok(_read_lines(response))
            else:
                yield Error(_read_failure(response.status, response.read()))
        finally:
            response.close()

    def _make_url(self, request: Request) -> str:
        url = f"{self._connection.server}{const.API_PREFIX}/{request.path}"
        return f"{url}?{urlencode(request.query)}" if request.query else url

    def _make_headers(self, request: Request, request_id: str | None) -> dict[str, str]:
        headers = {"User-Agent": f"chivetrack/{VERSION}", "Accept": "application/json"}
        if self._connection.key:
            headers["Authorization"] = f"Bearer {self._connection.key}"
        if request_id is not None:
            headers["X-Request-Id"] = request_id
        if request.document is not None:
            headers["Content-Type"] = "application/json"
        if request.content is not None:
            headers["Content-Type"] = "application/octet-stream"
        return headers


def join_path(*parts: str) -> str:
    """Return a path relative to the prefix of the API, with each part percent-encoded."""
    return "/".join(quote(part, safe="") for part in parts)


def _encode(request: Request) -> bytes | None:
    if request.document is not None:
        return msgspec.json.encode(request.document)
    return request.content


def _decode(body: bytes, request: Request) -> Result[Document, Failure]:
    if not body:
        return Ok({})
    try:
        return Ok(msgspec.json.decode(body, type=dict[str, Any]))
    except msgspec.MsgspecError:
        kind = FailureKind.UNKNOWN if request.is_write else FailureKind.REFUSED
        message = "the answer is not from the resource API; check the server address"
        return Error(Failure(kind=kind, code="bad_answer", message=message))


def _read_failure(status: int, body: bytes) -> Failure:
    try:
        error = msgspec.json.decode(body, type=ErrorBody).error
    except msgspec.MsgspecError:
        # The answer is not from the resource API, so it comes from a proxy. With a 4xx status
        # the proxy did not forward the request; with a 5xx status it may have done so.
        is_refused = status < 500 and status not in _TIMEOUT_STATUSES
        ran = Ran.NO if is_refused else Ran.MAYBE
        message = f"the server answered {status} without an error of the resource API"
        error = RemoteError(code=f"http_{status}", message=message, ran=ran)
    return Failure(
        kind=FailureKind.UNKNOWN if error.ran is Ran.MAYBE else FailureKind.REFUSED,
        code=error.code,
        message=error.message,
        status=status,
        retry_after_s=error.retry_after_s,
        findings=tuple(
            Finding(place=found.place, message=found.message, hint=found.hint)
            for found in error.findings
        ),
    )


def _make_unreachable_failure(server: str, error: Exception) -> Failure:
    message = f"{server} cannot be reached: {error}"
    code = "untrusted" if _is_untrusted(error) else "unreachable"
    return Failure(kind=FailureKind.UNREACHABLE, code=code, message=message)


def _make_lost_answer_failure(error: Exception, request_id: str | None) -> Failure:
    message = f"the answer was lost: {error}"
    return Failure(
        kind=FailureKind.UNKNOWN, code="answer_lost", message=message, request_id=request_id
    )


def _may_have_arrived(error: HTTPError) -> bool:
    """Return whether the server may have received the request.

    Among TLS errors, only an untrusted certificate always occurs before the request is sent;
    an instance that crashes while it answers also causes a TLS error.
    """
    if isinstance(error, SSLError):
        return not _is_untrusted(error)
    return not isinstance(error, NewConnectionError | ConnectTimeoutError)


def _is_untrusted(error: Exception) -> bool:
    return isinstance(error.args[0] if error.args else None, ssl.SSLCertVerificationError)


def _should_retry(failure: Failure) -> bool:
    if failure.kind is FailureKind.REFUSED:
        return failure.retry_after_s is not None
    return failure.code != "untrusted"


def _resolve_failure(failure: Failure, lost_answer: Failure | None, request: Request) -> Failure:
    """Return the failure to report after the last attempt.

    After a lost answer, a later attempt that cannot connect or is refused says nothing about
    the attempt that was sent. Reporting its "refused" would mean "it did not happen" for a
    change that may have been made, so only a final answer replaces the unknown outcome.
    """
    if failure.kind is FailureKind.UNKNOWN and not request.is_write:
        return replace(failure, kind=FailureKind.UNREACHABLE)
    if (
        lost_answer is None
        or failure.kind is FailureKind.UNKNOWN
        or failure.status in _FINAL_STATUSES
    ):
        return failure
    return replace(lost_answer, message=f"{lost_answer.message}; then {failure.message}")


def _read_lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield complete lines; an incomplete line at the end of the connection is dropped."""
    pending = b""
    while True:
        try:
            data = response.read1()
        except HTTPError:
            return
        if not data:
            return
        *lines, pending = (pending + data).split(b"\n")
        yield from lines
