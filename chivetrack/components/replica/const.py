"""Constants of a replica."""

from typing import Final

from chivetrack.const import MEBIBYTE

# A snapshot is taken after this many entries or bytes. This bounds what a restart has to
# read and apply again, and the entries held in memory.
SNAPSHOT_ENTRIES: Final = 10_000
MAX_SNAPSHOT_BYTES: Final = 8 * MEBIBYTE

# Bounds the memory of a replica whose disk is blocked: further messages are dropped, which
# is safe because messages may be lost anyway.
MAX_WAITING_MESSAGES: Final = 4096

CALL_TIMEOUT_S: Final = 10.0
NOT_LEADER_RETRY_S: Final = 0.5
STORAGE_RETRY_S: Final = 5.0
