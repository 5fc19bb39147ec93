"""The HTTP client towards endpoints."""

import contextlib
import time
from collections.abc import Iterator, Mapping

import gevent
import urllib3
from expression import Error, Ok, Result

from chivetrack.components.upstream.chunks import ChunkDecoder, ChunkError
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
    UpstreamFault,
    UpstreamRequest,
)

_NOT_CONNECTED = (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError)
_BROKEN = (urllib3.exceptions.HTTPError, ChunkError, OSError)


class UpstreamAnswer:
    """An answer whose head has arrived; the body is read by ``read_chunks``.

    Its connection goes back to the pool only when the whole body was read. Every
    other end closes it: bytes left on a reused connection would become the start
    of another caller's answer.
    """

    def __init__(
        self,
        *,
        response: urllib3.HTTPResponse,
        request: UpstreamRequest,
        own_pool: urllib3.HTTPConnectionPool | None,
    ) -> None:
        """Take over a response; ``own_pool`` is closed with it."""
        self._response = response
        self._request = request
        self._own_pool = own_pool
        self.status = response.status
        self.headers: Mapping[str, str] = response.headers

    def read_chunks(self) -> Iterator[bytes]:
        """Yield the body as it comes; raise ``BrokenAnswerError`` if it is not whole."""
        tail = b""
        chunks = self._read_stream() if self._response.chunked else self._read_blocks()
        try:
            for chunk in chunks:
                tail = (tail + chunk)[-STREAM_TAIL_BYTES:]
                yield chunk
        except _BROKEN as error:
            raise BrokenAnswerError(str(error)) from error
        finally:
            # Also on GeneratorExit: the caller has gone, so the engine must stop.
            if not self._response.closed:
                self.cancel()
            self._close_own_pool()
        self._check_end(tail)

    def _read_blocks(self) -> Iterator[bytes]:
        # Read in full blocks: read1 does not see the end of an answer with a length.
        while chunk := self._response.read(READ_SIZE, decode_content=False):
            yield chunk

    def _read_stream(self) -> Iterator[bytes]:
        """Yield what arrived together as one piece, as soon as it is there."""
        raw = self._response._fp
        source = raw.fp  # type: ignore[union-attr]
        decoder = ChunkDecoder()
        last_read_at = 0.0
        while True:
            data = source.read1(READ_SIZE)
            if not data:
                raise ChunkError("the answer ended before its last chunk")
            if payload := decoder.feed(data):
                yield payload
            if decoder.is_ended:
                break
            last_read_at = self._pace(last_read_at)
        if decoder.has_trailing_data:
            raise ChunkError("bytes came after the end of the answer")
        # The connection is free for the next request: nothing is left on it.
        raw.close()  # type: ignore[union-attr]
        self._response.release_conn()

    def _pace(self, last_read_at: float) -> float:
        """Give a fast stream a moment, so that its next chunks come in one read.

        A wake-up and a write for each chunk cost more than all else. Streams whose
        chunks are further apart than ``MIN_READ_INTERVAL_S`` never wait.
        """
        now = time.monotonic()
        if now - last_read_at >= MIN_READ_INTERVAL_S:
            return now
        gevent.sleep(MIN_READ_INTERVAL_S)
        return time.monotonic()

    def _check_end(self, tail: bytes) -> None:
        # An engine that dies behind a proxy of its own may leave a stream that ends
        # cleanly as HTTP and yet lacks its last events; only the end mark tells.
        if not self._request.expects_stream_end or self.status != 200:
            return
        if STREAM_END not in tail:
            raise BrokenAnswerError("the stream ended without its end mark")

    def _close_own_pool(self) -> None:
        if self._own_pool is not None:
            self._own_pool.close()

    def cancel(self) -> None:
        """Close the connection, which tells the engine to stop."""
        connection = self._response.connection
        with contextlib.suppress(OSError):
            self._response.close()
        if connection is not None:
            connection.close()
        self._close_own_pool()


class UpstreamClient:
    """Sends requests to endpoints over pooled connections."""

    def __init__(self, *, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        """Create a client with no connections."""
        self._connect_timeout_s = connect_timeout_s
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}

    def send(self, request: UpstreamRequest) -> Result[UpstreamAnswer, UpstreamFault]:
        """Send a request once and wait for the head of its answer."""
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
        except _NOT_CONNECTED as error:
            return Error(UpstreamFault(outcome=AttemptOutcome.NOT_SENT, message=str(error)))
        except _BROKEN as error:
            return Error(UpstreamFault(outcome=AttemptOutcome.MAYBE_RAN, message=str(error)))
        own_pool = None if request.idempotent else pool
        answer = UpstreamAnswer(
            response=response, request=request, own_pool=own_pool  # type: ignore[arg-type]
        )
        return self._check_head(request, response, answer)  # type: ignore[arg-type]

    def _get_pool(self, request: UpstreamRequest) -> urllib3.HTTPConnectionPool:
        # An idle connection may be closed by the endpoint just as a request goes out
        # on it; nobody can tell then whether it ran. A request that must not run
        # twice gets a connection of its own, so that race cannot happen to it.
        if not request.idempotent:
            return self._open_pool(request.address)
        pool = self._pools.get(request.address)
        if pool is None:
            pool = self._pools[request.address] = self._open_pool(request.address)
        return pool

    @staticmethod
    def _open_pool(address: str) -> urllib3.HTTPConnectionPool:
        return urllib3.connection_from_url(address, maxsize=POOL_SIZE, block=False)

    def _check_head(
        self,
        request: UpstreamRequest,
        response: urllib3.HTTPResponse,
        answer: UpstreamAnswer,
    ) -> Result[UpstreamAnswer, UpstreamFault]:
        echoed = response.headers.get(ATTEMPT_HEADER)
        if echoed is not None and echoed != request.request_id:
            # A connection that is one answer behind would hand every caller the
            # answer of the one before. The echo shows it; the connection goes.
            answer.cancel()
            message = "the endpoint answered another request"
            return Error(UpstreamFault(outcome=AttemptOutcome.MAYBE_RAN, message=message))
        if response.headers.get(DID_NOT_RUN_HEADER) == "true":
            return Error(self._read_refusal(answer, response))
        if not self._is_framed(response):
            answer.cancel()
            message = "the answer has no length, so its end could not be told from a cut"
            return Error(UpstreamFault(outcome=AttemptOutcome.MAYBE_RAN, message=message))
        self._set_stall_timeout(response, request.stall_timeout_s)
        return Ok(answer)

    @staticmethod
    def _read_refusal(answer: UpstreamAnswer, response: urllib3.HTTPResponse) -> UpstreamFault:
        answer.cancel()
        retry_after = response.headers.get("Retry-After", "")
        return UpstreamFault(
            outcome=AttemptOutcome.REFUSED,
            message=f"the endpoint refused with status {response.status}",
            retry_after_s=float(retry_after) if retry_after.isdigit() else None,
        )

    @staticmethod
    def _is_framed(response: urllib3.HTTPResponse) -> bool:
        if response.status in (204, 304):
            return True
        headers = response.headers
        return "Content-Length" in headers or response.chunked

    @staticmethod
    def _set_stall_timeout(response: urllib3.HTTPResponse, timeout_s: float) -> None:
        connection = response.connection
        sock = getattr(connection, "sock", None)
        if sock is not None:
            sock.settimeout(timeout_s)

    def close_endpoint(self, address: str) -> None:
        """Close the idle connections to an endpoint that has gone."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._pools):
            self.close_endpoint(address)
