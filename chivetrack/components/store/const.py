"""Limits of the store, which are part of the state machine.

All replicas must apply the same limits. A limit may be changed only together with a new
command or snapshot version, and must not become a setting.
"""

from typing import Final

from chivetrack.const import KIBIBYTE, MEBIBYTE

HOUR_MS: Final = 3_600_000
DAY_MS: Final = 24 * HOUR_MS

MAX_SPEC_BYTES: Final = 64 * KIBIBYTE
MAX_STATUS_BYTES: Final = 64 * KIBIBYTE

MAX_HISTORY_CHANGES: Final = 20_000
MAX_HISTORY_BYTES: Final = 16 * MEBIBYTE
CHANGE_OVERHEAD_BYTES: Final = 200

MAX_COMPLETED_REQUESTS: Final = 20_000
MAX_COMPLETED_REQUESTS_BYTES: Final = 16 * MEBIBYTE
COMPLETED_REQUEST_TTL_MS: Final = DAY_MS

MAX_LEASES: Final = 4_096
MAX_LEASE_MS: Final = HOUR_MS

CLAIM_WINDOW_MS: Final = DAY_MS
MAX_CLAIMS_PER_WORKSPACE: Final = 10_000
MAX_CLAIM_BODY_BYTES: Final = 64 * KIBIBYTE
MAX_CLAIM_BODIES_BYTES: Final = 32 * MEBIBYTE
