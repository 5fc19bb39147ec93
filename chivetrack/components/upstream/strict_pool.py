"""Connection pools of urllib3 whose answers are read by the strict parsers.

``http.client`` ends a head, the last chunk and a trailer where the connection ends as well. An
answer whose sender fails in its head would pass for a shorter one that is whole.
"""

import http.client
import io
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection

from chivetrack.components.upstream.answer_head import (
    AnswerHead,
    AnswerHeadError,
    AnswerHeaders,
    AnswerHeadParser,
)
from chivetrack.components.upstream.chunks import ChunkDecoder, ChunkError
from chivetrack.components.upstream.const import (
    MAX_FRAMING_EXCESS_BYTES,
    MAX_HEAD_BYTES,
    READ_SIZE,
)
from chivetrack.components.upstream.models import Framing

_HTTP_1_1 = 11


class UnsoundAnswerError(http.client.HTTPException):
    """The bytes are no answer, or not all of one; urllib3 raises its ``ProtocolError`` for it."""


class ChunkedBody(io.RawIOBase):
    """The payload of a chunked body; a body that lacks its end raises ``UnsoundAnswerError``."""

    def __init__(self, source: io.BufferedReader) -> None:
        """Decode the bytes of ``source``, which is closed together with the body."""
        self._source = source
        self._decoder = ChunkDecoder(max_framing_excess=MAX_FRAMING_EXCESS_BYTES)
        self._payload = b""

    @property
    def is_ended(self) -> bool:
        """Return whether the whole body was read."""
        return self._decoder.is_ended and not self._payload

    @property
    def has_trailing_data(self) -> bool:
        """Return whether bytes were received after the end of the body."""
        return self._decoder.has_trailing_data

    def readable(self) -> bool:
        """Return that the body can be read."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Read what has arrived, at least one byte; return 0 at the end of the body."""
        while not self._payload and not self._decoder.is_ended:
            self._payload = self._decode_more()
        size = min(len(buffer), len(self._payload))
        buffer[:size], self._payload = self._payload[:size], self._payload[size:]
        return size

    def _decode_more(self) -> bytes:
        data = self._source.read1(READ_SIZE)
        if not data:
            raise UnsoundAnswerError("the answer ended before its last chunk")
        try:
            return self._decoder.feed(data)
        except ChunkError as error:
            raise UnsoundAnswerError(str(error)) from error

    def close(self) -> None:
        """Close the body and its source."""
        self._source.close()
        super().close()


class StrictResponse(http.client.HTTPResponse):
    """An answer whose head is whole, and whose body ends where the head says."""

    _method: str
    framing = Framing.CONNECTION
    chunked_body: ChunkedBody | None = None

    def begin(self) -> None:
        """Read the head; raise ``UnsoundAnswerError`` unless it is a whole one."""
        try:
            head = self._read_head()
        except AnswerHeadError as error:
            self.close()
            raise UnsoundAnswerError(str(error)) from error
        self.version = _HTTP_1_1
        self.code = self.status = head.status
        self.reason = head.reason
        self.headers = self.msg = _make_message(head.headers)
        self.will_close = head.closes or head.framing is Framing.CONNECTION
        self._expect_body(head)

    def _read_head(self) -> AnswerHead:
        """Read line by line, so that the body stays unread."""
        parser = AnswerHeadParser(method=self._method)
        head: AnswerHead | None = None
        while head is None:
            line = self.fp.readline(MAX_HEAD_BYTES)
            if not line:
                raise parser.make_cut_error()
            head = parser.feed(line)
        return head

    def _expect_body(self, head: AnswerHead) -> None:
        self.framing = head.framing
        self.length = head.length if head.framing in (Framing.LENGTH, Framing.NO_BODY) else None
        # The class of the standard library must not look for chunks in the decoded body.
        self.chunked = False
        if head.framing is Framing.CHUNKED:
            self.chunked_body = ChunkedBody(self.fp)
            self.fp = io.BufferedReader(self.chunked_body)


def _make_message(headers: AnswerHeaders) -> http.client.HTTPMessage:
    message = http.client.HTTPMessage()
    for name, value in headers.items():
        message.add_header(name, value)
    return message


class _StrictConnection(HTTPConnection):
    response_class = StrictResponse


class _StrictTlsConnection(HTTPSConnection):
    response_class = StrictResponse


class _StrictPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _StrictConnection


class _StrictTlsPool(urllib3.HTTPSConnectionPool):
    ConnectionCls = _StrictTlsConnection


_POOLS = {"http": _StrictPool, "https": _StrictTlsPool}


@dataclass(frozen=True, slots=True, kw_only=True)
class WholeAnswer:
    """An answer that was read to its end."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class _Requests(Protocol):
    """What sends a request: a pool or a manager of pools."""

    def request(self, method: str, url: str, **options: Any) -> urllib3.BaseHTTPResponse: ...


def open_pool(url: str, **options: Any) -> urllib3.HTTPConnectionPool:
    """Return a pool of connections to the host of ``url``, with the options of its class."""
    parsed = urllib3.util.parse_url(url)
    pool = _POOLS[parsed.scheme or "http"]
    return pool(parsed.host or "", port=parsed.port, **options)


def open_pool_manager(**options: Any) -> urllib3.PoolManager:
    """Return pools of connections to any host, with the options of ``urllib3.PoolManager``."""
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = _POOLS
    return manager


def get_original(response: urllib3.BaseHTTPResponse) -> StrictResponse:
    """Return the answer that a response of a strict pool wraps."""
    original = getattr(response, "_original_response", None)
    assert isinstance(original, StrictResponse)
    return original


def request_whole(
    requests: _Requests,
    method: str,
    url: str,
    *,
    max_body_bytes: int | None = None,
    **options: Any,
) -> WholeAnswer:
    """Send a request and read its whole answer; raise ``HTTPError`` if it may be cut.

    An answer with neither a length nor chunks looks the same whether its sender has ended it or
    has failed. An answer with more than ``max_body_bytes`` raises as well.
    """
    response = requests.request(method, url, redirect=False, preload_content=False, **options)
    if get_original(response).framing is Framing.CONNECTION:
        response.close()
        raise urllib3.exceptions.ProtocolError("the answer doesn't tell where it ends")
    body = response.read(None if max_body_bytes is None else max_body_bytes + 1)
    if max_body_bytes is not None and len(body) > max_body_bytes:
        response.close()
        raise urllib3.exceptions.ProtocolError("the answer is too long")
    return WholeAnswer(status=response.status, headers=response.headers, body=body)
