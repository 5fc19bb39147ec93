"""Defaults and limits of the distribution of configuration; sizes in bytes."""

from typing import Final

from chivetrack.const import KIBIBYTE

DEFAULT_POLL_INTERVAL_S: Final = 1.0
DEFAULT_ANSWER_TIMEOUT_S: Final = 1.0
DEFAULT_CONFIRMATION_WINDOW_S: Final = 5.0
DEFAULT_STALE_UPSTREAM_S: Final = 2.5
DEFAULT_BATCH_BYTES: Final = 256 * KIBIBYTE
DEFAULT_PUSH_INTERVAL_S: Final = 0.2

# Largest relative difference between the rates of two machines' clocks. Ages and
# windows are corrected by it towards the safe side.
CLOCK_DRIFT: Final = 0.01

# A timer may fire this much early because of rounding.
WAKE_TOLERANCE_S: Final = 0.001

# Relative deviation of each poll interval.
POLL_JITTER: Final = 0.1
MAX_ACKNOWLEDGE_DELAY_S: Final = 0.1
MAX_RELAY_DELAY_S: Final = 0.25
# The low bits of a correlation count the requests of one incarnation; the rest is the
# incarnation.
CORRELATION_BITS: Final = 20
RELAYS_PER_ZONE: Final = 2
SILENT_PENALTY_S: Final = 3.0
STALE_PENALTY_S: Final = 1.0
MAX_PENDING_CONFIRMATIONS: Final = 8

# Changes are pushed to the instances that pulled within this time.
DOWNSTREAM_TTL_S: Final = 3.0
ACKNOWLEDGEMENT_TTL_S: Final = 60.0
ACKNOWLEDGEMENT_REFRESH_INTERVAL_S: Final = 10.0
MAX_KEPT_COMMITS: Final = 1000

# The index of keys is rebuilt after more than this many written workspaces, or after as many
# as there are workspaces if that is more.
REINDEX_AFTER_CHANGES: Final = 10_000
