"""The client of the resource API: what happened to each request, known or unknown.

A write carries a request id, the same on every attempt, so that the server answers a
resend with the outcome of the first. Without it a lost answer would leave two choices,
both wrong: to give up on a change that happened, or to make it twice.
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
from chivetrack.const import VERSION
from chivetrack.exceptions import Ran
from chivetrack.helpers.finding import Finding

_TIMEOUT_STATUSES = (408, 425, 499)
# What the server says of the request itself, whenever it is asked. The others (such as
# 401, 429 or 503) speak of one attempt only.
_FINAL_STATUSES = (400, 404, 409, 410, 412, 413, 415, 422)


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """One request; ``path`` is below the API's prefix."""

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
    """Sends requests until the outcome is known or the time is up."""

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
        """Open no connection yet; clock, sleep and chance may be a test's own.

        ``notify`` is told once a request when it takes long, and why.
        """
        self._connection = connection
        self._clock = clock
        self._sleep = sleep
        self._chance = rng or random.Random()
        self._notify = notify
        self._pool = urllib3.PoolManager(retries=False, ssl_context=context)

    def read(self, path: str, **query: str | int) -> Result[Document, Failure]:
        """Get a document."""
        return self.send(Request(method="GET", path=path, query=query))

    def read_bytes(self, path: str) -> Result[bytes, Failure]:
        """Get the bytes of an answer."""
        return self._send_with_retries(Request(method="GET", path=path))

    def send(self, request: Request) -> Result[Document, Failure]:
        """Send a request, again with the same id while its outcome is open."""
        return self._send_with_retries(request).bind(lambda body: _decode(body, request))

    def pause(self, seconds: float) -> None:
        """Wait before the caller tries something again."""
        self._sleep(seconds)

    def _send_with_retries(self, request: Request) -> Result[bytes, Failure]:
        """Try until there is an outcome; once sent, a lost answer stays in memory."""
        started = self._clock()
        deadline = started + self._connection.timeout_s
        is_notified = False
        request_id = str(uuid.uuid4()) if request.is_write else None
        lost: Failure | None = None
        backoff = const.INITIAL_BACKOFF_S
        while True:
            remaining_s = max(deadline - self._clock(), const.MIN_ATTEMPT_S)
            result = self._attempt(request, request_id, remaining_s)
            if result.is_ok():
                return result
            failure = result.error
            if failure.kind is FailureKind.UNKNOWN and request.is_write:
                lost = failure
            wait = failure.retry_after_s
            if wait is None:
                wait = backoff * self._chance.uniform(0.5, 1.0)
            if not _should_retry(failure) or self._clock() + wait >= deadline:
                return Error(_resolve_failure(failure, lost, request))
            if not is_notified and self._clock() - started >= const.NOTIFY_AFTER_S:
                self._notify(f"{failure}; trying for up to {self._connection.timeout_s:g} s")
                is_notified = True
            self._sleep(wait)
            backoff = min(backoff * 2, const.MAX_BACKOFF_S)

    def _attempt(
        self, request: Request, request_id: str | None, remaining_s: float
    ) -> Result[bytes, Failure]:
        try:
            response = self._pool.request(
                request.method,
                self._make_url(request),
                body=_encode(request),
                headers=self._make_headers(request, request_id),
                timeout=urllib3.Timeout(
                    connect=min(const.CONNECT_TIMEOUT_S, remaining_s),
                    read=min(const.READ_TIMEOUT_S, remaining_s),
                ),
                redirect=False,
            )
        except HTTPError as error:
            if _may_have_arrived(error):
                return Error(_make_lost_answer_failure(error, request_id))
            return Error(_make_unreachable_failure(self._connection.server, error))
        if response.status < 300:
            return Ok(response.data)
        failure = _read_failure(response.status, response.data)
        return Error(replace(failure, request_id=request_id))

    @contextmanager
    def open_stream(self, request: Request) -> Iterator[Result[Iterator[bytes], Failure]]:
        """Open a stream of lines; it ends without an error when the connection is lost."""
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
    """Return a path below the API's prefix, each part quoted."""
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
        message = "the answer is not one of the resource API; is the server address right?"
        return Error(Failure(kind=kind, code="bad_answer", message=message))


def _read_failure(status: int, body: bytes) -> Failure:
    try:
        error = msgspec.json.decode(body, type=ErrorBody).error
    except msgspec.MsgspecError:
        # Not ours, so some proxy's: a 4xx was not passed on, a 5xx may have been.
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

    Of the TLS errors only an untrusted certificate is sure to come before the request;
    an instance that dies while it answers shows as a TLS error too.
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


def _resolve_failure(failure: Failure, lost: Failure | None, request: Request) -> Failure:
    """Say what is known in the end.

    After a lost answer, an attempt that cannot connect or is turned away tells nothing
    about the one that was sent. Reported as it is, "refused" would be read as "did not
    happen" of a change that did; so only a final answer counts.
    """
    if failure.kind is FailureKind.UNKNOWN and not request.is_write:
        return replace(failure, kind=FailureKind.UNREACHABLE)
    if lost is None or failure.kind is FailureKind.UNKNOWN or failure.status in _FINAL_STATUSES:
        return failure
    return replace(lost, message=f"{lost.message}; then {failure.message}")


def _read_lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield whole lines; what is left of a line when the connection ends is dropped."""
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
