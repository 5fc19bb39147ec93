"""Constants of the retries component."""

from typing import Final

MAX_ATTEMPTS: Final = 3
"""Endpoints that one request is sent to, at most."""

BUDGET_RATIO: Final = 0.1
"""Retries allowed for each request, in the long run."""

BUDGET_CAP: Final = 20.0
"""Retries that may be saved up."""

BUDGET_START: Final = 3.0
"""Retries that a fresh budget allows, so that the first failures are not final."""

MAX_WORKSPACE_BUDGETS: Final = 4096
"""Workspaces whose budgets are kept; the ones used longest ago start afresh."""

MIN_REMAINING_S: Final = 0.05
"""With less time left to the deadline no new attempt is made."""

RETRY_AFTER_S: Final = 1.0
"""When a caller may come back with a request that certainly did not run."""
