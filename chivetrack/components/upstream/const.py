"""Constants of the client for endpoints."""

from typing import Final

ATTEMPT_HEADER: Final = "X-Request-Id"
DEADLINE_HEADER: Final = "X-Request-Timeout-Ms"
PRIORITY_HEADER: Final = "X-Priority"
DID_NOT_RUN_HEADER: Final = "X-Did-Not-Run"

CONNECT_TIMEOUT_S: Final = 1.0
READ_SIZE: Final = 65536
# Shortest time between two reads of a stream, so that one read returns several chunks.
# A seventh of the 75 ms that are allowed between two tokens.
MIN_READ_INTERVAL_S: Final = 0.01
# An endpoint in trouble may write bytes without end; what is read of it is bounded everywhere.
MAX_HEAD_BYTES: Final = 128 * 1024
MAX_HEAD_LINES: Final = 128
MAX_INTERIM_ANSWERS: Final = 16
MAX_TRAILER_BYTES: Final = 64 * 1024
MAX_TRAILER_LINES: Final = MAX_HEAD_LINES
# The framing of a chunked answer may be as large as its payload, and this much larger.
MAX_FRAMING_EXCESS_BYTES: Final = 8 * 1024
CHUNKED_READ_SIZE: Final = 16 * 1024
MAX_EVENT_BYTES: Final = 256 * 1024
POOL_SIZE: Final = 256
# Last event of a complete stream; it is searched for in the last bytes of the body.
STREAM_END: Final = b"data: [DONE]"
STREAM_TAIL_BYTES: Final = 64

# Headers of a caller that are not forwarded to the endpoint: those of one connection, and
# those that the router consumes or sets itself.
NOT_FORWARDED_HEADERS: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "authorization",
        "x-workspace",
        "cookie",
        "traceparent",
        "tracestate",
    }
)
