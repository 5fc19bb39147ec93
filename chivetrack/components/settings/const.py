"""Limits, patterns and defaults of the settings."""

from types import MappingProxyType
from typing import Final

from chivetrack.const import KIBIBYTE, MEBIBYTE

MAX_PORT: Final = 65_535
MAX_NAME_LENGTH: Final = 63
NAME_PATTERN: Final = r"^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$"
KEY_HASH_PATTERN: Final = r"^sha256:[0-9a-f]{64}$"
URL_PATTERN: Final = r"^(https?://[^\s/]+.*)?$"
PATTERN_MEANINGS: Final = MappingProxyType(
    {
        NAME_PATTERN: "must be of lower-case letters, digits, dots and hyphens, "
        "with a letter or digit at both ends",
        KEY_HASH_PATTERN: "must be a hash that `chivetrack key make` or `key hash` printed",
        URL_PATTERN: "must be a URL that starts with http:// or https://",
    }
)

MAX_REPLICAS: Final = 9

DEFAULT_MAX_BODY_BYTES: Final = 8 * MEBIBYTE
DEFAULT_MAX_HEADER_BYTES: Final = 32 * KIBIBYTE
DEFAULT_MAX_HEADERS: Final = 100
DEFAULT_MAX_STREAMS: Final = 1_000
DEFAULT_DEADLINE_S: Final = 120.0
MAX_DEADLINE_S: Final = 3_600.0

DEFAULT_SETTLE_S: Final = 5.0
DEFAULT_STOP_DEADLINE_S: Final = 150.0

DEFAULT_CONFIRM_WITHIN_S: Final = 5.0

DEFAULT_CONTROL_BYTES_PER_S: Final = 4 * KIBIBYTE
MIN_CONTROL_BYTES_PER_S: Final = KIBIBYTE
MAX_CONTROL_BYTES_PER_S: Final = 19 * KIBIBYTE

DEFAULT_SAMPLE_RATIO: Final = 0.01
