"""Retry budgets, which limit retries to a fraction of the requests."""

from collections import OrderedDict

from chivetrack.components.retries.const import (
    BUDGET_CAP,
    BUDGET_RATIO,
    BUDGET_START,
    MAX_WORKSPACE_BUDGETS,
)


class RetryBudget:
    """A token count to which each request adds and from which each retry subtracts."""

    def __init__(
        self, *, ratio: float = BUDGET_RATIO, cap: float = BUDGET_CAP, start: float = BUDGET_START
    ) -> None:
        """Initialize with ``start`` tokens; a request adds ``ratio``, up to ``cap``."""
        self._ratio = ratio
        self._cap = cap
        self._tokens = start

    @property
    def has_token(self) -> bool:
        """Return whether there is a token for a retry."""
        return self._tokens >= 1.0

    def earn(self) -> None:
        """Add the tokens of one request."""
        self._tokens = min(self._cap, self._tokens + self._ratio)

    def spend(self) -> None:
        """Remove the token of one retry."""
        self._tokens -= 1.0


class RetryBudgets:
    """The budgets of the router and of each workspace; a retry takes a token from both.

    When an availability zone fails, every request fails once. Without a budget, the retries
    would double the load on the remaining endpoints, which would then fail as well; with one,
    the extra load stays at a tenth. The budget of a workspace prevents it from using up the
    budget of the router.
    """

    def __init__(self) -> None:
        """Initialize with a new router budget and no workspaces."""
        self._router = RetryBudget()
        self._workspaces: OrderedDict[str, RetryBudget] = OrderedDict()

    def earn(self, workspace: str) -> None:
        """Add the tokens of a workspace's request; call once per request, not per attempt."""
        self._router.earn()
        self._find(workspace).earn()

    def spend(self, workspace: str) -> bool:
        """Remove the tokens of a retry, or return ``False`` if a budget has no token."""
        own = self._find(workspace)
        if not (own.has_token and self._router.has_token):
            return False
        own.spend()
        self._router.spend()
        return True

    def _find(self, workspace: str) -> RetryBudget:
        budget = self._workspaces.get(workspace)
        if budget is None:
            budget = self._workspaces[workspace] = RetryBudget()
        self._workspaces.move_to_end(workspace)
        if len(self._workspaces) > MAX_WORKSPACE_BUDGETS:
            self._workspaces.popitem(last=False)
        return budget
