"""Counts the requests in progress at a listener and refuses new ones during a stop."""

from collections.abc import Callable, Iterable
from typing import Any

Application = Callable[..., Iterable[bytes]]


class CallGate:
    """WSGI wrapper that counts an application's requests and refuses new ones once closed."""

    def __init__(self, *, application: Application, refuse: Application) -> None:
        """Wrap ``application``; the gate is open at first.

        Once it is closed, requests go to ``refuse``, which answers that they have not run.
        """
        self._application = application
        self._refuse = refuse
        self.open_count = 0
        self.is_closed = False

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve one request, or refuse it if the gate is closed."""
        if self.is_closed:
            return self._refuse(environ, start_response)
        self.open_count += 1
        try:
            return self._application(environ, start_response)
        finally:
            self.open_count -= 1
