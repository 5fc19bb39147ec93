"""Constants of a replica."""

from typing import Final

from chivetrack.const import MEBIBYTE

# A restart reads and applies at most about this much again, and memory holds it.
SNAPSHOT_ENTRIES: Final = 10_000
SNAPSHOT_BYTES: Final = 8 * MEBIBYTE

# Messages may be lost; a replica whose disk is stuck drops them rather than its memory.
MAX_WAITING_MESSAGES: Final = 4096

CALL_TIMEOUT_S: Final = 10.0
NOT_LEADER_RETRY_S: Final = 0.5
STORAGE_RETRY_S: Final = 5.0
