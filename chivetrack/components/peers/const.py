"""Constants of the transport between instances."""

from typing import Final

from chivetrack.const import MEBIBYTE

QUEUE_LIMIT: Final = 512
BATCH_LIMIT: Final = 64
# A backup is sent as one message; 49,000 workspaces take 19 MB.
MAX_MESSAGE_BYTES: Final = 128 * MEBIBYTE
# A message that has waited longer is dropped, because its content is outdated by then.
MAX_WAIT_S: Final = 2.0
# An unused stream is closed after this time, because most pairs of instances in a large
# fleet rarely exchange messages.
STREAM_IDLE_TIMEOUT_S: Final = 30.0
STREAM_RETRY_DELAY_S: Final = 0.1
RECONNECT_MIN_MS: Final = 100
RECONNECT_MAX_MS: Final = 2000
KEEPALIVE_MS: Final = 10_000
# The default of the gRPC library.
PING_TIMEOUT_MS: Final = 20_000
# One worker for each open stream; workers are greenlets and take a few KB each.
SERVER_WORKERS: Final = 1024
STOP_GRACE_S: Final = 1.0

# HTTP/2 data frame, gRPC prefix and TCP/IP headers of one batch, and its acknowledgement;
# counted so that the traffic counts are bytes on the wire.
BATCH_OVERHEAD_BYTES: Final = 130

# Limit for links of plain frames. The largest message is a snapshot of one document of 4 MiB.
MAX_FRAME_BYTES: Final = 16 * MEBIBYTE
# Shorter bodies hardly shrink.
MIN_COMPRESS_BYTES: Final = 400
# The fastest level: processor time costs more than the bytes that a higher level would save.
COMPRESSION_LEVEL: Final = 1
READ_BYTES: Final = 16 * 1024
# All routers of a large fleet may connect at the same moment.
LISTEN_BACKLOG: Final = 1024
CONNECT_TIMEOUT_S: Final = 0.5
MIN_RECONNECT_DELAY_S: Final = 0.1
MAX_RECONNECT_DELAY_S: Final = 0.4
LINK_IDLE_TIMEOUT_S: Final = 30.0
# The kernel of a frozen process still acknowledges keepalive probes, so only this timeout
# detects that the process reads no bytes.
SEND_TIMEOUT_S: Final = 3.0
# A network cut is detected within 2 s after a send, and within 4 s on an idle link.
TCP_USER_TIMEOUT_MS: Final = 1500
KEEPALIVE_IDLE_S: Final = 2
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
FLUSH_POLL_S: Final = 0.01
# TCP/IP headers of a frame and of its acknowledgement.
FRAME_OVERHEAD_BYTES: Final = 100
