"""Constants of the client towards endpoints."""

from typing import Final

ATTEMPT_HEADER: Final = "X-Request-Id"
DEADLINE_HEADER: Final = "X-Request-Timeout-Ms"
PRIORITY_HEADER: Final = "X-Priority"
DID_NOT_RUN_HEADER: Final = "X-Did-Not-Run"

CONNECT_TIMEOUT_S: Final = 1.0
READ_SIZE: Final = 65536
# How long a stream whose chunks come faster than this is let alone between two reads.
# A seventh of the 75 ms that may pass between two tokens.
MIN_READ_INTERVAL_S: Final = 0.01
POOL_SIZE: Final = 256
STREAM_END: Final = b"data: [DONE]"
STREAM_TAIL_BYTES: Final = 64

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
