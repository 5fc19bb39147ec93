"""Retry budgets: retries may be only a share of the requests."""

from collections import OrderedDict

from chivetrack.components.retries.const import (
    BUDGET_CAP,
    BUDGET_RATIO,
    BUDGET_START,
    MAX_WORKSPACE_BUDGETS,
)


class RetryBudget:
    """Tokens that requests earn and retries spend."""

    def __init__(
        self, *, ratio: float = BUDGET_RATIO, cap: float = BUDGET_CAP, start: float = BUDGET_START
    ) -> None:
        """Earn ``ratio`` tokens a request, keep at most ``cap``."""
        self._ratio = ratio
        self._cap = cap
        self._tokens = start

    @property
    def has_token(self) -> bool:
        """Return whether a retry can be paid for."""
        return self._tokens >= 1.0

    def earn(self) -> None:
        """Count a request."""
        self._tokens = min(self._cap, self._tokens + self._ratio)

    def spend(self) -> None:
        """Pay for a retry."""
        self._tokens -= 1.0


class RetryBudgets:
    """The budget of the router and one for each workspace; a retry is paid from both.

    When a zone fails, every request fails once. Without a budget the retries double the
    load on what is left, which then fails too; with one, the extra load stays a tenth.
    The workspace's own keeps one workspace from spending the router's.
    """

    def __init__(self) -> None:
        """Start with fresh budgets."""
        self._router = RetryBudget()
        self._workspaces: OrderedDict[str, RetryBudget] = OrderedDict()

    def earn(self, workspace: str) -> None:
        """Count a request of a workspace; once per request, not per attempt."""
        self._router.earn()
        self._find(workspace).earn()

    def spend(self, workspace: str) -> bool:
        """Pay for a retry; return ``False`` when there is no budget for it."""
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
