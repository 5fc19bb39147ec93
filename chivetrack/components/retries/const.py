"""Constants of the retries component."""

from typing import Final

MAX_ATTEMPTS: Final = 3
"""Maximum number of attempts per request, each at another endpoint."""

BUDGET_RATIO: Final = 0.1
"""Tokens that a request adds to a budget; a retry takes one token."""

BUDGET_CAP: Final = 20.0
"""Maximum number of tokens in a budget."""

BUDGET_START: Final = 3.0
"""Tokens of a new budget, so that the first failures can be retried."""

MAX_WORKSPACE_BUDGETS: Final = 4096
"""Maximum number of workspace budgets; the least recently used ones are evicted."""

MIN_REMAINING_S: Final = 0.05
"""Time left until the deadline below which no new attempt is made."""

RETRY_AFTER_S: Final = 1.0
"""``Retry-After`` for a failed request that the caller may send again."""

WINDOW_SLOTS: Final = 50
"""Slots into which the window of a service's budget is divided."""

SAFETY_FACTOR: Final = 0.9
"""Part of the ratio that is used: a retry may arrive after the window in which it was counted."""

SPARE_SHARE: Final = 0.5
"""Part of the ratio that hedged requests may use up; the rest is kept for requests that failed."""

LEASE_DURATION_S: Final = 1.0
"""Time from a router's request until a retry that was leased to it expires: longer than the waits
between the check of a retry and its sending, for example for a permit."""

MAX_ARRIVAL_DELAY_S: Final = 1.0
"""Longest time from the sending of a retry to its arrival that the leases allow for."""

MAX_CONFIRMATION_AGE_S: Final = 1.0
"""A lender whose leadership was not confirmed for this time lends nothing."""

CONFIRMATION_INTERVAL_S: Final = 0.25
"""Interval at which the leader has its leadership confirmed."""

LEASE_TIMEOUT_S: Final = 0.2
"""Time that a router waits for the lender: the farthest regions are 0.15 s apart, both ways."""

MIN_LEASE_BACKOFF_S: Final = 0.2
MAX_LEASE_BACKOFF_S: Final = 5.0
"""Bounds of the time for which a router does not ask again after a refusal or no answer."""
