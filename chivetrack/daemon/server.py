"""The HTTP servers of the daemon."""

from collections.abc import Callable
from typing import Any

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer

from chivetrack.components.caller_api.const import ENVIRON_SOCKET
from chivetrack.daemon.const import BACKLOG, HEADER_TIMEOUT_S, IDLE_TIMEOUT_S
from chivetrack.helpers.log import get_logger
from chivetrack.helpers.tls import Tls, TlsServerMixin

_LOGGER = get_logger("http")


class _RequestHandler(WSGIHandler):
    """Adds the caller's socket, time limits and closing connections during a stop."""

    server: "HttpServer"

    def get_environ(self) -> dict[str, Any]:
        """Return the environment with the socket, which shows a caller that leaves."""
        environ = super().get_environ()
        environ[ENVIRON_SOCKET] = self.socket
        return environ

    def read_requestline(self) -> str:
        """Read the first line; an idle connection is closed after a time."""
        with gevent.Timeout(IDLE_TIMEOUT_S, False):
            return super().read_requestline()
        return ""

    def read_request(self, raw_requestline: str) -> Any:
        """Read the headers; a caller that stalls in them is cut off."""
        with gevent.Timeout(HEADER_TIMEOUT_S, TimeoutError("headers did not arrive")):
            return super().read_request(raw_requestline)

    def run_application(self) -> None:
        """Run the application; during a stop the connection is closed after it."""
        if self.server.is_closing():
            self.close_connection = True
        super().run_application()

    def finalize_headers(self) -> None:
        """Tell the caller when the connection will not be used again."""
        if self.server.is_closing():
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))
        super().finalize_headers()

    def log_error(self, msg: str, *args: Any) -> None:
        """Write what the library complains about, without the caller's content."""
        _LOGGER.debug("Connection ended early.")

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """End the connection without a traceback on the caller's side.

        After the head has been sent the library sends no last chunk, so the caller
        sees that the answer is not whole.
        """
        if not isinstance(v, OSError):
            _LOGGER.debug("Answer ended early: {}.", type(v).__name__)
        if self.response_length:
            self.close_connection = True
            return
        self._send_error_response_if_possible(500)


class HttpServer(TlsServerMixin, WSGIServer):
    """A WSGI server whose connections close once ``is_closing`` says so."""

    def __init__(
        self,
        *,
        address: tuple[str, int],
        application: Callable[..., Any],
        is_closing: Callable[[], bool],
        tls: Tls | None = None,
    ) -> None:
        """Bind at ``start``; ``tls`` makes every connection encrypted."""
        options: dict[str, Any] = {} if tls is None else {"ssl_context": tls}
        super().__init__(
            address,
            application,
            backlog=BACKLOG,
            handler_class=_RequestHandler,
            log=None,
            error_log=None,
            **options,
        )
        self.is_closing = is_closing
