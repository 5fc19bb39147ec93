"""HTTP client for requests to endpoints."""

import contextlib
import time
from collections.abc import Iterator, Mapping

import gevent
import urllib3
from expression import Error, Ok, Result

from chivetrack.components.upstream.const import (
    ATTEMPT_HEADER,
    CONNECT_TIMEOUT_S,
    DID_NOT_RUN_HEADER,
    MIN_READ_INTERVAL_S,
    POOL_SIZE,
    READ_SIZE,
    STREAM_END,
    STREAM_TAIL_BYTES,
)
from chivetrack.components.upstream.models import (
    AttemptOutcome,
    BrokenAnswerError,
    Framing,
    UpstreamFault,
    UpstreamRequest,
)
from chivetrack.components.upstream.strict_pool import (
    ChunkedBody,
    UnsoundAnswerError,
    get_original,
    open_pool,
)
from chivetrack.helpers.numbers import read_count

_CONNECT_ERRORS = (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError)
_TRANSFER_ERRORS = (urllib3.exceptions.HTTPError, UnsoundAnswerError, OSError)


class UpstreamAnswer:
    """An answer whose status and headers were received; ``read_chunks`` reads its body.

    The connection returns to the pool only after the complete body was read. In every
    other case it is closed: bytes that are left on a reused connection would be read
    as the start of another caller's answer.
    """

    def __init__(
        self,
        *,
        response: urllib3.HTTPResponse,
        request: UpstreamRequest,
        dedicated_pool: urllib3.HTTPConnectionPool | None,
    ) -> None:
        """Wrap a response; ``dedicated_pool`` is closed together with it."""
        self._response = response
        self._original = get_original(response)
        self._request = request
        self._dedicated_pool = dedicated_pool
        self.status = response.status
        self.headers: Mapping[str, str] = response.headers

    def read_chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives; raise ``BrokenAnswerError`` if it is incomplete."""
        tail = b""
        body = self._original.chunked_body
        chunks = self._read_blocks() if body is None else self._read_stream(body)
        try:
            for chunk in chunks:
                tail = (tail + chunk)[-STREAM_TAIL_BYTES:]
                yield chunk
        except _TRANSFER_ERRORS as error:
            raise BrokenAnswerError(str(error)) from error
        finally:
            # Also runs on GeneratorExit: the caller has left, so the engine must stop.
            if not self._response.closed:
                self.cancel()
            self._close_dedicated_pool()
        self._check_end(tail)

    def _read_blocks(self) -> Iterator[bytes]:
        # read1 does not detect the end of an answer with Content-Length; read does.
        while chunk := self._response.read(READ_SIZE, decode_content=False):
            yield chunk

    def _read_stream(self, body: ChunkedBody) -> Iterator[bytes]:
        """Yield the payload of each read as one piece, without waiting for more."""
        last_read_at = 0.0
        while payload := self._original.read1(READ_SIZE):
            yield payload
            if body.is_ended:
                break
            last_read_at = self._limit_read_rate(last_read_at)
        if body.has_trailing_data:
            raise UnsoundAnswerError("bytes were received after the end of the answer")
        # No bytes are left on the connection, so the next request may use it.
        self._original.close()
        self._response.release_conn()

    def _limit_read_rate(self, last_read_at: float) -> float:
        """Delay the next read of a fast stream, so that one read returns several chunks.

        The wake-up and the write for each chunk dominate the cost of relaying a stream.
        A stream whose chunks are at least ``MIN_READ_INTERVAL_S`` apart is not delayed.
        Returns the time of the last read, in seconds.
        """
        now = time.monotonic()
        if now - last_read_at >= MIN_READ_INTERVAL_S:
            return now
        gevent.sleep(MIN_READ_INTERVAL_S)
        return time.monotonic()

    def _check_end(self, tail: bytes) -> None:
        # When an engine dies behind its own proxy, the stream may end correctly as HTTP
        # and still lack its last events. Only the end mark shows that it is complete.
        if not self._request.expects_stream_end or self.status != 200:
            return
        if STREAM_END not in tail:
            raise BrokenAnswerError("the stream ended without its end mark")

    def _close_dedicated_pool(self) -> None:
        if self._dedicated_pool is not None:
            self._dedicated_pool.close()

    def cancel(self) -> None:
        """Close the connection, which makes the engine stop."""
        connection = self._response.connection
        with contextlib.suppress(OSError):
            self._response.close()
        if connection is not None:
            connection.close()
        self._close_dedicated_pool()


class UpstreamClient:
    """Sends requests to endpoints over pooled connections."""

    def __init__(self, *, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        """Create a client without open connections."""
        self._connect_timeout_s = connect_timeout_s
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}

    def send(self, request: UpstreamRequest) -> Result[UpstreamAnswer, UpstreamFault]:
        """Send a request once and wait for the status and headers of its answer."""
        pool = self._get_pool(request)
        timeout = urllib3.Timeout(
            connect=min(self._connect_timeout_s, request.timeout_s), read=request.timeout_s
        )
        try:
            response = pool.urlopen(
                request.method,
                request.path,
                body=request.body or None,
                headers=dict(request.headers),
                retries=False,
                redirect=False,
                preload_content=False,
                decode_content=False,
                timeout=timeout,
            )
        except _CONNECT_ERRORS as error:
            return Error(UpstreamFault(outcome=AttemptOutcome.NOT_SENT, message=str(error)))
        except _TRANSFER_ERRORS as error:
            return Error(UpstreamFault(outcome=AttemptOutcome.MAYBE_RAN, message=str(error)))
        dedicated_pool = None if request.idempotent else pool
        answer = UpstreamAnswer(
            response=response, request=request, dedicated_pool=dedicated_pool  # type: ignore[arg-type]
        )
        return self._check_head(request, response, answer)  # type: ignore[arg-type]

    def _get_pool(self, request: UpstreamRequest) -> urllib3.HTTPConnectionPool:
        # An endpoint may close an idle connection while a request is being sent on it,
        # and it is then unknown whether the request ran. A request that must not run
        # twice uses a new connection, which rules out this race.
        if not request.idempotent:
            return self._open_pool(request.address)
        pool = self._pools.get(request.address)
        if pool is None:
            pool = self._pools[request.address] = self._open_pool(request.address)
        return pool

    @staticmethod
    def _open_pool(address: str) -> urllib3.HTTPConnectionPool:
        return open_pool(address, maxsize=POOL_SIZE, block=False)

    def _check_head(
        self,
        request: UpstreamRequest,
        response: urllib3.HTTPResponse,
        answer: UpstreamAnswer,
    ) -> Result[UpstreamAnswer, UpstreamFault]:
        echoed = response.headers.get(ATTEMPT_HEADER)
        if echoed is not None and echoed != request.request_id:
            # If a connection is one answer behind, every caller would get the answer to
            # the previous request. The echoed request id reveals this, and the
            # connection is closed.
            answer.cancel()
            message = "the answer carries the id of another request"
            return Error(UpstreamFault(outcome=AttemptOutcome.MAYBE_RAN, message=message))
        if response.headers.get(DID_NOT_RUN_HEADER) == "true":
            return Error(self._read_refusal(answer, response))
        if get_original(response).framing is Framing.CONNECTION:
            answer.cancel()
            message = "the answer has neither a length nor chunks, so a cut would go unnoticed"
            return Error(UpstreamFault(outcome=AttemptOutcome.MAYBE_RAN, message=message))
        self._set_stall_timeout(response, request.stall_timeout_s)
        return Ok(answer)

    @staticmethod
    def _read_refusal(answer: UpstreamAnswer, response: urllib3.HTTPResponse) -> UpstreamFault:
        answer.cancel()
        retry_after_s = read_count(response.headers.get("Retry-After", ""))
        return UpstreamFault(
            outcome=AttemptOutcome.REFUSED,
            message=f"the endpoint refused the request with status {response.status}",
            retry_after_s=None if retry_after_s is None else float(retry_after_s),
        )

    @staticmethod
    def _set_stall_timeout(response: urllib3.HTTPResponse, timeout_s: float) -> None:
        connection = response.connection
        sock = getattr(connection, "sock", None)
        if sock is not None:
            sock.settimeout(timeout_s)

    def close_endpoint(self, address: str) -> None:
        """Close the idle connections to an endpoint that has left."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._pools):
            self.close_endpoint(address)
