"""Constants of the transport between instances."""

from typing import Final

from chivetrack.const import MEBIBYTE

QUEUE_LIMIT: Final = 512
BATCH_LIMIT: Final = 64
# A backup travels as one message; 49,000 workspaces take 19 MB.
MAX_MESSAGE_BYTES: Final = 128 * MEBIBYTE
# A message that has waited longer is dropped: what it says is old by then.
MAX_WAIT_S: Final = 2.0
# A stream that carried nothing for so long is closed; most pairs of a large fleet
# rarely talk.
IDLE_STREAM_S: Final = 30.0
RETRY_STREAM_S: Final = 0.1
RECONNECT_MIN_MS: Final = 100
RECONNECT_MAX_MS: Final = 2000
KEEPALIVE_MS: Final = 10_000
# The library's own default.
PING_TIMEOUT_MS: Final = 20_000
# One for each stream that is open; they are greenlets and cost a few KB.
SERVER_WORKERS: Final = 1024
STOP_GRACE_S: Final = 1.0

# The HTTP/2 data frame, gRPC's prefix and the TCP/IP headers of one batch, and the
# acknowledgement; charged so that the budget is one of the wire.
BATCH_OVERHEAD_BYTES: Final = 130
