"""Constants used by more than one component."""

from typing import Final

VERSION: Final = "0.1.0"

KIBIBYTE: Final = 1024
MEBIBYTE: Final = 1024 * KIBIBYTE

MILLISECONDS_PER_SECOND: Final = 1000
