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

# Longest time that bulk may hold up an urgent message on its network link. A confirmed read takes
# up to five messages: forwarded, sent to a majority, acknowledged, answered, and the answer to the
# operator. They are due within the 0.7 s for which a follower waits for the leader, and half of
# that is left for the links of the receivers.
MAX_BULK_WAIT_S: Final = 0.06
# What is in flight before the rate of the network link is known: 0.06 s at 2 Mbit/s.
INITIAL_WINDOW_BYTES: Final = 16_000
# A link that carries less than this in 0.06 s (0.5 Mbit/s) delays urgent messages for longer.
MIN_WINDOW_BYTES: Final = 4_000
MAX_WINDOW_BYTES: Final = 1_000_000
MAX_WINDOW_CHANGE: Final = 2.0
WINDOW_SAMPLE_S: Final = 0.1
# A link is stalled if bytes that were sent this much later on others are acknowledged: the network
# link keeps their order, but the ways to other instances differ by tens of milliseconds.
OVERTAKEN_S: Final = 0.1
# If no link acknowledges anything for this long, only instances that are gone have bytes in flight.
SILENT_NETWORK_S: Final = 0.15
# Poll interval for acknowledgements while messages wait for room in the window.
ACKNOWLEDGEMENT_POLL_S: Final = 0.01
GREETING_TIMEOUT_S: Final = 0.5
# Larger frames are sent in pieces, and other messages go between them on the same link.
PIECE_BYTES: Final = 2_000
