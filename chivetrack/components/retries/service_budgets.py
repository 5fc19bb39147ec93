"""One router's share of the fleet's retry budgets, by service."""

from chivetrack.components.retries.window import RetryWindow


class ServiceRetryBudgets:
    """Holds one ``RetryWindow`` per service, created on first use."""

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Initialize with the arguments for each ``RetryWindow``."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._windows: dict[str, RetryWindow] = {}

    def __getitem__(self, service: str) -> RetryWindow:
        """Return the window of a service."""
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = RetryWindow(
                ratio=self._ratio, slack=self._slack, window_s=self._window_s
            )
        return window
