"""Names and limits of the resource API."""

from typing import Final

from chivetrack.const import KIBIBYTE

PREFIX: Final = "/api/v1"
REQUEST_ID_HEADER: Final = "X-Request-Id"
REQUEST_ID_PATTERN: Final = r"[A-Za-z0-9._:-]{1,128}"

MAX_BODY_BYTES: Final = 128 * KIBIBYTE
DEFAULT_PAGE_SIZE: Final = 100
MAX_PAGE_SIZE: Final = 1_000

MAX_PATCH_ATTEMPTS: Final = 3
BOOKMARK_INTERVAL_S: Final = 5.0
MAX_WATCH_BATCH_CHANGES: Final = 256
