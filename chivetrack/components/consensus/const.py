"""Constants of the replicated log."""

from typing import Final

from chivetrack.const import KIBIBYTE, MEBIBYTE

HEARTBEAT_S: Final = 0.150
ELECTION_MIN_S: Final = 0.600
ELECTION_MAX_S: Final = 1.200
# The first elections after a start have their own timeout bounds (see ``Timing``). Several
# attempts are allowed, since the other replicas may not be listening yet.
FIRST_ELECTION_ATTEMPTS: Final = 4

MAX_VOTERS: Final = 9

# Entries are batched: each message costs the sender and the receiver about 600 us of CPU time.
MAX_APPEND_BYTES: Final = 256 * KIBIBYTE
ENTRY_OVERHEAD_BYTES: Final = 32
MAX_APPENDS_IN_FLIGHT: Final = 16
SNAPSHOT_CHUNK_BYTES: Final = 256 * KIBIBYTE

# An entry is sent in one message, and gRPC limits a message to 4 MiB.
MAX_ENTRY_BYTES: Final = MEBIBYTE

# Bounds the memory of a leader that accepts proposals but cannot commit them.
MAX_UNCOMMITTED_ENTRIES: Final = 8192
MAX_UNCOMMITTED_BYTES: Final = 16 * MEBIBYTE

# A learner that lacks at most this many committed entries counts as caught up. Under
# writes it always lags by a few entries, so requiring all of them would never succeed.
MAX_PROMOTION_LAG: Final = 64

# Entries kept after compaction although the snapshot covers them, so that a replica
# that lags slightly is sent entries instead of the whole snapshot.
TRAILING_ENTRIES: Final = 1024
TRAILING_BYTES: Final = MEBIBYTE
# Entries of this size are kept in any case. Beyond it, entries that are more than the snapshot
# itself are dropped: a replica that lags is sent the snapshot sooner than them.
MIN_KEPT_BYTES: Final = 256 * KIBIBYTE
