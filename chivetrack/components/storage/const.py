"""File names and sizes in the data folder."""

from typing import Final

from chivetrack.const import MEBIBYTE

LOCK_NAME: Final = "lock"
IDENTITY_NAME: Final = "identity"
SEGMENT_PREFIX: Final = "log-"
SNAPSHOT_PREFIX: Final = "snapshot-"
TEMPORARY_SUFFIX: Final = ".tmp"

SEGMENT_BYTES: Final = 8 * MEBIBYTE
SNAPSHOT_FRAME_BYTES: Final = MEBIBYTE

# Devices write whole sectors; a sector that was not written before a power failure reads
# as zeros.
SECTOR_BYTES: Final = 512
