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
