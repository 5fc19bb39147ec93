"""Constants of the replicated log."""

from typing import Final

from chivetrack.const import KIBIBYTE, MEBIBYTE

HEARTBEAT_S: Final = 0.150
ELECTION_MIN_S: Final = 0.600
ELECTION_MAX_S: Final = 1.200
# The first tries may come before the others listen; after these, the usual bounds hold.
FIRST_ELECTION_ATTEMPTS: Final = 4

MAX_VOTERS: Final = 9

# One message carries many entries: each costs both sides some 600 us of processor time.
MAX_APPEND_BYTES: Final = 256 * KIBIBYTE
ENTRY_OVERHEAD_BYTES: Final = 32
MAX_APPENDS_IN_FLIGHT: Final = 16
SNAPSHOT_CHUNK_BYTES: Final = 256 * KIBIBYTE

# An entry travels in one message, and gRPC takes no more than 4 MiB.
MAX_ENTRY_BYTES: Final = MEBIBYTE

# A leader that cannot commit must not collect proposals without end.
MAX_UNCOMMITTED_ENTRIES: Final = 8192
MAX_UNCOMMITTED_BYTES: Final = 16 * MEBIBYTE

# A learner this close to the commit index counts as caught up; entries written
# meanwhile are always a few ahead of it.
MAX_PROMOTION_LAG: Final = 64

# Entries kept behind a snapshot, so that a replica that is a little late is sent
# entries and not the whole snapshot.
TRAILING_ENTRIES: Final = 1024
TRAILING_BYTES: Final = MEBIBYTE
