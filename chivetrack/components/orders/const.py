"""Constants of the orders component; times in seconds."""

from typing import Final

SEND_DEADLINE_S: Final = 1.0
"""Time limit for sending an order. After it the order is dropped, because this instance may
have lost the lease.
"""

MAX_DELIVERY_S: Final = 2.0
"""Maximum time that a sent order may take to reach an engine."""

ORDER_TIMEOUT_S: Final = 5.0
QUERY_TIMEOUT_S: Final = 3.0

STATE_MAX_AGE_S: Final = 2.0
"""An engine's state that is older than this is requested again before an order is sent."""

IDLE_POLL_INTERVAL_S: Final = 60.0
BUSY_POLL_INTERVAL_S: Final = 1.0

MIN_RECONCILE_INTERVAL_S: Final = 0.25
RECONCILED_ENGINES_PER_S: Final = 2000
"""Maximum number of engines reconciled per second. With more engines the reconcile interval
grows, which bounds the CPU time.
"""

MIN_OPEN_QUERY_LIMIT: Final = 32
ENGINES_PER_OPEN_QUERY: Final = 20
"""One query may be open for each group of this many engines, if that is more than
MIN_OPEN_QUERY_LIMIT.
"""

MAX_PENDING_REQUESTS: Final = 64
"""Maximum number of one-time orders that wait for one engine."""

ORDERS_PATH: Final = "/v1/orders"
STATE_PATH: Final = "/v1/engine-state"
FENCING_FIELD: Final = "fencing"
STALE_STATUS: Final = 409
MAX_STATE_BYTES: Final = 1024 * 1024
"""A longer response is not a valid state, and reading it would exhaust the memory."""
