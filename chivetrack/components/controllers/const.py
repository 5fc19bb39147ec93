"""Constants of the controllers component; times in seconds."""

from typing import Final

LEASE_DURATION_S: Final = 9.0
"""Duration of a lease; a successor starts at most this plus one acquire attempt later."""

RENEWALS_PER_LEASE: Final = 3

CLOCK_DRIFT: Final = 0.01
"""Largest relative difference between the rates of two machines' clocks."""

STEP_DOWN_MARGIN_S: Final = 0.5
"""A holder stops acting this long before the lease expires on its own clock."""

STANDBY_RETRY_DELAY_S: Final = 4.0
"""Delay between acquire attempts while another holds the lease; each is a log entry."""

RETRY_DELAY_S: Final = 0.5
JITTER: Final = 0.25

PROPOSAL_TIMEOUT_S: Final = 3.0
"""An unanswered proposal is sent again after this time, under the same request id."""

ANSWER_TIMEOUT_S: Final = PROPOSAL_TIMEOUT_S + RETRY_DELAY_S
"""An answer that is missing after this time was lost within this process."""

INITIAL_BACKOFF_S: Final = 0.5
MAX_BACKOFF_S: Final = 60.0
BACKOFF_FACTOR: Final = 2.0

MAX_RECONCILE_INTERVAL_S: Final = 10.0
"""A holder reconciles at least this often, even if its controller asks for a later time."""
TABLE_POLL_INTERVAL_S: Final = 0.05

MAX_ACTIONS_PER_RECONCILE: Final = 64
"""Most writes that one reconciliation sends; the others follow in the next one."""

WARM_UP_S: Final = 15.0
"""A process may not know all endpoints before it has run for this long."""
