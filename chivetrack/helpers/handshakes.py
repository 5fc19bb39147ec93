"""Handling of failed TLS handshakes in gevent servers."""

import socket
from typing import Any

from chivetrack.exceptions import ChivetrackError
from chivetrack.helpers.log import get_logger

_LOGGER = get_logger("tls")


class HandshakeError(ChivetrackError):
    """A client did not complete the TLS handshake."""


class TlsServerMixin:
    """Mixin for a gevent server class whose ``ssl_context`` is a ``Tls``; list it first.

    A load balancer's probe connects to each instance every second and closes the connection
    at once. gevent would print a traceback for each probe; the mixin logs a line at level
    ``debug`` instead.
    """

    def wrap_socket_and_handle(self, client_socket: socket.socket, address: Any) -> Any:
        """Perform the handshake and serve the connection."""
        try:
            return super().wrap_socket_and_handle(client_socket, address)  # type: ignore[misc]
        except HandshakeError as error:
            _LOGGER.debug("TLS handshake with a client failed: {}.", error)
            return None
