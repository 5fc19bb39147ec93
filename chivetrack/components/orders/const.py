"""Constants of the orders component; times in seconds."""

from typing import Final

SEND_DEADLINE_S: Final = 1.0
"""An order that has not left by then is dropped: its holder may have lost the lease."""

MAX_DELIVERY_S: Final = 2.0
"""How long what has left may take to reach an engine."""

ORDER_TIMEOUT_S: Final = 5.0
QUERY_TIMEOUT_S: Final = 3.0

STATE_MAX_AGE_S: Final = 2.0
"""An engine's state that is older than this is asked for anew before an order."""

IDLE_POLL_INTERVAL_S: Final = 60.0
BUSY_POLL_INTERVAL_S: Final = 1.0

MIN_RECONCILE_INTERVAL_S: Final = 0.25
RECONCILED_ENGINES_PER_S: Final = 2000
"""Above this many engines looks get rarer, to bound the share of the processor."""

MIN_OPEN_QUERY_LIMIT: Final = 32
ENGINES_PER_OPEN_QUERY: Final = 20
"""Of very many engines this part may be asked at a time."""

MAX_PENDING_REQUESTS: Final = 64
"""One-time orders that may wait for one engine."""

ORDERS_PATH: Final = "/v1/orders"
STATE_PATH: Final = "/v1/engine-state"
FENCING_FIELD: Final = "fencing"
STALE_STATUS: Final = 409
MAX_STATE_BYTES: Final = 1024 * 1024
"""A longer answer is not a state; reading it would take the daemon's memory."""
