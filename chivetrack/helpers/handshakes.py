"""TLS handshakes of a server: those that fail, and a server that survives them."""

import socket
from typing import Any

from chivetrack.exceptions import ChivetrackError
from chivetrack.helpers.log import get_logger

_LOGGER = get_logger("tls")


class HandshakeError(ChivetrackError):
    """A client did not complete the TLS handshake."""


class TlsServerMixin:
    """Goes before a gevent server class whose ``ssl_context`` is a ``Tls``.

    A balancer's probe connects and closes, every second for each instance. The server
    would print a traceback for each; this leaves a line at the level ``debug``.
    """

    def wrap_socket_and_handle(self, client_socket: socket.socket, address: Any) -> Any:
        """Do the handshake and serve the connection."""
        try:
            return super().wrap_socket_and_handle(client_socket, address)  # type: ignore[misc]
        except HandshakeError as error:
            _LOGGER.debug("A client ended in the handshake: {}.", error)
            return None
