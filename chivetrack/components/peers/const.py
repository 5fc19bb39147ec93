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
STREAM_IDLE_TIMEOUT_S: Final = 30.0
STREAM_RETRY_DELAY_S: Final = 0.1
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

# Links of plain frames. The largest message is a snapshot of one document of 4 MiB.
MAX_FRAME_BYTES: Final = 16 * MEBIBYTE
# Bytes; shorter bodies hardly shrink.
MIN_COMPRESS_BYTES: Final = 400
# The fastest: processor time is dearer than the bytes that a higher level would save.
COMPRESSION_LEVEL: Final = 1
READ_BYTES: Final = 16 * 1024
# All routers of a large fleet may connect in one moment.
LISTEN_BACKLOG: Final = 1024
CONNECT_TIMEOUT_S: Final = 0.5
MIN_RECONNECT_DELAY_S: Final = 0.1
MAX_RECONNECT_DELAY_S: Final = 0.4
LINK_IDLE_TIMEOUT_S: Final = 30.0
# A frozen process leaves bytes unread while its kernel goes on acknowledging probes.
SEND_TIMEOUT_S: Final = 3.0
# A silent cut is noticed in 2 s where something was sent, in 4 s on an idle link.
TCP_USER_TIMEOUT_MS: Final = 1500
KEEPALIVE_IDLE_S: Final = 2
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
# The TCP/IP headers of a frame and of its acknowledgement.
FRAME_OVERHEAD_BYTES: Final = 100
