"""HTTP listeners of an instance and their applications."""

from collections.abc import Callable
from dataclasses import dataclass

from bottle import Bottle

from chivetrack.components.settings.models import ListenerSettings
from chivetrack.daemon.encryption import Encryption
from chivetrack.daemon.server import HttpServer, ServerLimits
from chivetrack.helpers.sections.values import Address


@dataclass(frozen=True, slots=True, kw_only=True)
class Applications:
    """The application of each HTTP listener."""

    caller: Bottle
    resources: Bottle
    telemetry: Bottle


class Listeners:
    """Opens and closes the HTTP listeners."""

    def __init__(
        self,
        *,
        settings: ListenerSettings,
        applications: Applications,
        encryption: Encryption,
        is_closing: Callable[[], bool],
        limits: ServerLimits | None = None,
    ) -> None:
        """Create the servers; ``start`` opens them."""
        self._encryption = encryption
        self._is_closing = is_closing
        self._limits = limits
        self._servers = {
            "caller": self._create("caller", settings.caller, applications.caller),
            "resources": self._create("resources", settings.resources, applications.resources),
            "telemetry": self._create("telemetry", settings.telemetry, applications.telemetry),
        }

    def _create(self, name: str, address: Address, application: Bottle) -> HttpServer:
        return HttpServer(
            address=(address.host, address.port),
            application=application,
            is_closing=self._is_closing,
            tls=self._encryption.get(name),
            limits=self._limits,
        )

    def start(self) -> None:
        """Open all listeners; raise ``OSError`` if an address is in use."""
        for server in self._servers.values():
            server.start()

    def close_caller(self) -> None:
        """Accept no new connections from callers; open connections continue."""
        self._servers["caller"].stop_accepting()

    def stop(self) -> None:
        """Close all listeners and their connections."""
        for server in self._servers.values():
            server.stop(timeout=0)
