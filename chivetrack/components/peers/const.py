"""Constants of the transport between instances."""

from typing import Final

from chivetrack.const import MEBIBYTE

QUEUE_LIMIT: Final = 512
BATCH_LIMIT: Final = 64
# A backup travels as one message; 49,000 workspaces take 19 MB.
MAX_MESSAGE_BYTES: Final = 128 * MEBIBYTE
DELIVER_TIMEOUT_S: Final = 2.0
RECONNECT_MIN_MS: Final = 100
RECONNECT_MAX_MS: Final = 2000
KEEPALIVE_MS: Final = 10_000
SERVER_WORKERS: Final = 24
STOP_GRACE_S: Final = 1.0

# HTTP/2 frames, compressed headers, TLS records and TCP/IP headers of one call and
# its answer, as counted on loopback; charged so that the budget is one of the wire.
CALL_OVERHEAD_BYTES: Final = 180
