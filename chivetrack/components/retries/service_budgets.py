"""The retry budgets of all services, as one router keeps its part of them."""

from chivetrack.components.retries.window import RetryWindow


class ServiceRetryBudgets:
    """One window a service, opened when its first request comes."""

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Take what ``RetryWindow`` takes."""
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
