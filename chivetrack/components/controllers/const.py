"""Constants of the controllers component; times in seconds."""

from typing import Final

LEASE_DURATION_S: Final = 9.0
"""How long a lease lasts; a successor starts at most this much and a try later."""

RENEWALS_PER_LEASE: Final = 3

CLOCK_DRIFT: Final = 0.01
"""By how much the rates of two machines' clocks may differ."""

STEP_DOWN_MARGIN_S: Final = 0.5
"""A holder gives up this much before its own count of the lease ends."""

STANDBY_RETRY_DELAY_S: Final = 4.0
"""Between two tries of an instance that finds the lease held; each try is a log entry."""

RETRY_DELAY_S: Final = 0.5
JITTER: Final = 0.25

PROPOSAL_TIMEOUT_S: Final = 3.0
"""After this long a proposal without an answer is sent again under the same request id."""

ANSWER_TIMEOUT_S: Final = PROPOSAL_TIMEOUT_S + RETRY_DELAY_S
"""An answer that is still missing then was lost on the way within this process."""

INITIAL_BACKOFF_S: Final = 0.5
MAX_BACKOFF_S: Final = 60.0
BACKOFF_FACTOR: Final = 2.0

MAX_RECONCILE_INTERVAL_S: Final = 10.0
"""How rarely a holder compares desired with observed, whatever its controller asks for."""
TABLE_POLL_INTERVAL_S: Final = 0.05

MAX_ACTIONS_PER_RECONCILE: Final = 64
"""How many writes of one comparison go out at once; the rest follows in the next."""

WARM_UP_S: Final = 15.0
"""A process that started less than this ago does not know all endpoints yet."""
